//! What a message costs the relay: CPU time and memory of its process under a steady load on loopback sockets, for
//! builds, and numbers of tenants, side by side.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, Stream};

use crate::loopback::{ask, block_on, free_address, quick, request, Process, Quick};
use crate::peers::connection::until_ready;

/// Clients that hand messages in, each the next once the last is answered and a little time has passed.
const CLIENTS: u64 = 16;
/// Time between two messages of a client, in milliseconds.
const PAUSE: u64 = 8;
/// Milliseconds that a message has.
const LEFT: u64 = 8_000;
/// Partners that answer at once.
const PARTNERS: u16 = 4;

/// CPU time of a process so far, in clock ticks of a hundredth of a second.
fn ticks(pid: u32) -> Result<u64, String> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).map_err(|e| e.to_string())?;
    // The name stands in brackets and may hold anything.
    let rest = text.rsplit_once(')').map_or("", |(_, rest)| rest);
    let field = |n: usize| {
        rest.split_whitespace()
            .nth(n)
            .and_then(|field| field.parse::<u64>().ok())
    };
    field(11)
        .zip(field(12))
        .map(|(user, runtime)| user + runtime)
        .ok_or("no CPU time is told".into())
}

/// Resident memory of a process, in KiB.
fn resident(pid: u32) -> Result<u64, String> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).map_err(|e| e.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|n| n.parse().ok());
    number.ok_or("no memory is told".into())
}

/// What is measured: a build, with the tenants of a registry or with that of the settings alone.
struct Case {
    relay: PathBuf,
    tenants: Option<u64>,
}

impl std::fmt::Display for Case {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.relay.display())?;
        self.tenants
            .map_or(Ok(()), |tenants| write!(f, " with {tenants} tenants"))
    }
}

struct Cost {
    /// Microseconds of CPU a message.
    us: f64,
    /// Resident KiB once ready, before the first message.
    ready_kib: u64,
}

/// Measures the builds in turn, each with each number of tenants, `rounds` times, and prints microseconds of CPU a
/// message and the resident memory at the start.
///
/// # Errors
///
/// One plain line if a program cannot be started or measured.
pub fn run(
    relays: &[PathBuf],
    tenants: &[u64],
    rounds: u32,
    messages: u64,
) -> Result<bool, String> {
    let numbers = match tenants {
        [] => vec![None],
        some => some.iter().copied().map(Some).collect(),
    };
    let cases: Vec<Case> = relays
        .iter()
        .flat_map(|relay| {
            numbers.iter().map(|tenants| Case {
                relay: relay.clone(),
                tenants: *tenants,
            })
        })
        .collect();
    let mut all: Vec<Vec<Cost>> = cases.iter().map(|_| Vec::new()).collect();
    for round in 1..=rounds {
        for (case, all) in cases.iter().zip(&mut all) {
            let cost = block_on(measure(case, messages))?;
            println!(
                "round {round}: {case}: {:.1} us a message, {} KiB at the start",
                cost.us, cost.ready_kib
            );
            all.push(cost);
        }
    }
    for (case, all) in cases.iter().zip(&mut all) {
        all.sort_by(|a, b| a.us.total_cmp(&b.us));
        let (middle, least) = (all[all.len() / 2].us, all[0].us);
        let memory = all.iter().map(|cost| cost.ready_kib).min().unwrap_or(0);
        println!("{case}: median {middle:.1} us, least {least:.1} us; {memory} KiB at the start");
    }
    Ok(true)
}

/// The operator file and registry of so many tenants in a folder; the file's path.
fn host(folder: &Path, tenants: u64) -> Result<PathBuf, String> {
    let names: Vec<String> = (0..tenants).map(tenant).collect();
    let text = crate::hosted::registry(names.iter().map(|name| (name.as_str(), 100, "secret")));
    for copy in ["tenants.a", "tenants.b"] {
        std::fs::write(folder.join(copy), &text).map_err(|e| format!("cannot write: {e}"))?;
    }
    let file = folder.join("operator.toml");
    let text = format!(
        "[tenants]\nfolder = {:?}\nauth = false\nimport = false\n",
        folder.display().to_string()
    );
    std::fs::write(&file, text).map_err(|e| format!("cannot write: {e}"))?;
    Ok(file)
}

fn tenant(number: u64) -> String {
    format!("tenant-{number:05}")
}

async fn measure(case: &Case, messages: u64) -> Result<Cost, String> {
    let relay = case.relay.as_path();
    let folder = tempfile::tempdir().map_err(|e| format!("no folder: {e}"))?;
    let listen = free_address()?;
    let Quick {
        stage,
        file,
        state,
        _open,
    } = quick(folder.path(), listen, PARTNERS, LEFT)?;
    let runtime = stage.runtime;
    let registry = folder.path().join("tenants");
    std::fs::create_dir(&registry).map_err(|e| format!("no folder for the tenants: {e}"))?;
    let operator = case
        .tenants
        .map(|tenants| host(&registry, tenants))
        .transpose()?;
    let operator = operator.map(|path| path.display().to_string());
    let arguments: Vec<&str> = operator
        .iter()
        .flat_map(|path| ["--operator", path])
        .collect();
    let process = Process::start(relay, &arguments, &file, &state)?;
    let ready = runtime
        .timeout(Duration::from_secs(20), until_ready(&stage, listen))
        .await;
    ready.map_err(|_| format!("{} does not get ready", relay.display()))?;
    let (before, ready_kib) = (ticks(process.id())?, resident(process.id())?);
    let taken = Rc::new(RefCell::new(0));
    let (done, mut left) = tokio::sync::mpsc::channel::<()>(1);
    for client in 0..CLIENTS {
        let (taken, done, tenants) = (taken.clone(), done.clone(), case.tenants);
        runtime.spawn(async move {
            let asked = async {
                let mut stream = runtime.connect(listen).await?;
                stream.set_nodelay()?;
                for number in 0..messages / CLIENTS {
                    let id = format!("c{client:02}n{number:08}");
                    // Each client goes round all tenants, from a place of its own.
                    let of = |tenants: u64| tenant((client * tenants / CLIENTS + number) % tenants);
                    let name = tenants.map_or("acme".into(), of);
                    let request = request(&id, &name, 1 + number % u64::from(PARTNERS), LEFT);
                    let answered = ask(&mut stream, &request).await?;
                    let answered = answered.ok_or(std::io::ErrorKind::UnexpectedEof)?;
                    *taken.borrow_mut() += u64::from(answered);
                    runtime.sleep(Duration::from_millis(PAUSE)).await;
                }
                Ok::<_, std::io::Error>(())
            };
            drop(asked.await);
            drop(done);
        });
    }
    drop(done);
    left.recv().await;
    let after = ticks(process.id())?;
    let taken = *taken.borrow();
    if taken * 100 < messages * 95 {
        return Err(format!("only {taken} of {messages} messages were taken on"));
    }
    Ok(Cost {
        us: (after - before) as f64 * 10_000.0 / taken as f64,
        ready_kib,
    })
}
