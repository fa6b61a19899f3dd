//! Measures what a message costs the relay: CPU time and memory of its process under a steady load on loopback sockets, for
//! several builds and numbers of tenants side by side.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use runtime::{OsRuntime, Runtime, Stream};
use tempfile::TempDir;
use thiserror::Error;
use tokio::sync::mpsc;

use super::loopback::{
    block_on, enqueue_request, free_address, submit, LoopbackError, RelayCommand, RelayProcess,
    Submission, TestBed, MEASURED_CLIENTS, MEASURED_PARTNERS, READY_TIMEOUT, TENANT,
};
use super::CommandOutcome;
use crate::peers::connection::wait_until_ready;

/// Time between a reply and the same client's next message.
const CLIENT_PAUSE: Duration = Duration::from_millis(8);
/// Percentage of messages that a relay must accept for a measurement to count.
const MIN_ACCEPTED_PERCENT: u64 = 95;
/// Microseconds of a clock tick, the unit of CPU time in `/proc`.
const MICROS_PER_TICK: f64 = 10_000.0;
/// Index of the ticks in user mode among the fields of `/proc/PID/stat` after the program's name.
const STAT_USER_TICKS: usize = 11;
/// Index of the ticks in kernel mode.
const STAT_SYSTEM_TICKS: usize = 12;
/// Weight of a tenant in the registry.
const TENANT_WEIGHT: u32 = 100;

/// The parameters of a measurement.
#[derive(Clone, Debug)]
pub struct CostPlan {
    /// Relay programs to compare.
    pub programs: Vec<PathBuf>,
    /// Numbers of tenants, each measured with each program. If empty, only the tenant of the settings is used.
    pub tenants: Vec<u64>,
    /// Number of measurements of each combination.
    pub rounds: u32,
    /// Messages of one measurement.
    pub messages: u64,
}

/// A measurement could not be carried out.
#[derive(Debug, Error)]
pub enum CostError {
    /// The relay or its peers can't be started.
    #[error(transparent)]
    Loopback(#[from] LoopbackError),
    /// The temporary directory can't be created.
    #[error("cannot create a temporary directory: {0}")]
    Folder(#[source] io::Error),
    /// The directory of the tenant registry can't be created.
    #[error("cannot create the directory of the tenant registry: {0}")]
    RegistryFolder(#[source] io::Error),
    /// The registry or the operator file can't be written.
    #[error("cannot write the tenant registry or the operator file: {0}")]
    WriteFile(#[source] io::Error),
    /// The relay's process can't be read in `/proc`.
    #[error(transparent)]
    ReadProcess(io::Error),
    /// `/proc` has no CPU time of the relay's process.
    #[error("/proc reports no CPU time for the relay's process")]
    NoCpuTime,
    /// `/proc` has no resident memory of the relay's process.
    #[error("/proc reports no resident memory for the relay's process")]
    NoMemory,
    /// The relay did not become ready in time.
    #[error("{} did not become ready within 20 s", .0.display())]
    NotReady(PathBuf),
    /// The relay rejected too many messages.
    #[error("only {accepted} of {messages} messages were accepted")]
    TooFewAccepted {
        /// Messages that were accepted.
        accepted: u64,
        /// Messages of the round.
        messages: u64,
    },
}

/// One combination to measure: a build, with the tenants of a registry or only that of the settings.
struct Case {
    program: PathBuf,
    tenants: Option<u64>,
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.program.display())?;
        self.tenants
            .map_or(Ok(()), |tenants| write!(f, " with {tenants} tenants"))
    }
}

/// Result of one measurement.
struct Cost {
    /// CPU time of a message, in microseconds.
    cpu_micros: f64,
    /// Resident memory once ready and before the first message, in KiB.
    ready_kib: u64,
}

/// Measures the builds in turn, each with each number of tenants, and prints the CPU time of a message and the resident
/// memory at the start.
///
/// # Errors
///
/// If a program can't be started or measured.
pub fn run(plan: &CostPlan) -> Result<CommandOutcome, CostError> {
    let cases = cases(plan);
    let mut costs: Vec<Vec<Cost>> = cases.iter().map(|_| Vec::new()).collect();
    for round in 1..=plan.rounds {
        for (case, costs) in cases.iter().zip(&mut costs) {
            let cost = block_on(measure(case, plan.messages))?;
            println!(
                "round {round}: {case}: {:.1} us a message, {} KiB at the start",
                cost.cpu_micros, cost.ready_kib
            );
            costs.push(cost);
        }
    }
    for (case, costs) in cases.iter().zip(&mut costs) {
        print_summary(case, costs);
    }
    Ok(CommandOutcome::Passed)
}

fn cases(plan: &CostPlan) -> Vec<Case> {
    let tenant_numbers: Vec<Option<u64>> = match plan.tenants.as_slice() {
        [] => vec![None],
        numbers => numbers.iter().copied().map(Some).collect(),
    };
    let cases_of = |program: &PathBuf| {
        let case = |tenants: &Option<u64>| Case {
            program: program.clone(),
            tenants: *tenants,
        };
        tenant_numbers.iter().map(case).collect::<Vec<Case>>()
    };
    plan.programs.iter().flat_map(cases_of).collect()
}

fn print_summary(case: &Case, costs: &mut [Cost]) {
    costs.sort_by(|a, b| a.cpu_micros.total_cmp(&b.cpu_micros));
    let (median, least) = (costs[costs.len() / 2].cpu_micros, costs[0].cpu_micros);
    let memory = costs.iter().map(|cost| cost.ready_kib).min().unwrap_or(0);
    println!("{case}: median {median:.1} us, least {least:.1} us; {memory} KiB at the start");
}

/// Starts a relay, applies load until all messages have a reply, and measures the cost.
async fn measure(case: &Case, messages: u64) -> Result<Cost, CostError> {
    let folder = tempfile::tempdir().map_err(CostError::Folder)?;
    let listen = free_address()?;
    let test_bed = TestBed::start(folder.path(), listen)?;
    let process = start_relay(case, &folder, &test_bed)?;
    test_bed
        .context
        .runtime
        .timeout(READY_TIMEOUT, wait_until_ready(&test_bed.context, listen))
        .await
        .map_err(|_| CostError::NotReady(case.program.clone()))?;
    let ticks_before = cpu_ticks(process.id())?;
    let ready_kib = resident_kib(process.id())?;
    let accepted = apply_load(listen, case.tenants, messages).await;
    let ticks_after = cpu_ticks(process.id())?;
    if accepted * 100 < messages * MIN_ACCEPTED_PERCENT {
        return Err(CostError::TooFewAccepted { accepted, messages });
    }
    Ok(Cost {
        cpu_micros: (ticks_after - ticks_before) as f64 * MICROS_PER_TICK / accepted as f64,
        ready_kib,
    })
}

fn start_relay(
    case: &Case,
    folder: &TempDir,
    test_bed: &TestBed,
) -> Result<RelayProcess, CostError> {
    let registry = folder.path().join("tenants");
    std::fs::create_dir(&registry).map_err(CostError::RegistryFolder)?;
    let operator_file = case
        .tenants
        .map(|tenants| write_registry(&registry, tenants))
        .transpose()?
        .map(|path| path.display().to_string());
    let arguments: Vec<&str> = operator_file
        .iter()
        .flat_map(|path| ["--operator", path])
        .collect();
    let process = RelayProcess::start(&RelayCommand {
        program: &case.program,
        arguments: &arguments,
        configuration: &test_bed.configuration,
        state_directory: &test_bed.state_directory,
        variables: &[],
    })?;
    Ok(process)
}

/// Writes a registry of this many tenants to a directory, and an operator file that refers to it. Returns the path of the
/// operator file.
fn write_registry(folder: &Path, tenants: u64) -> Result<PathBuf, CostError> {
    let names: Vec<String> = (0..tenants).map(tenant_name).collect();
    let registry = crate::hosted::encode_registry(
        names
            .iter()
            .map(|name| (name.as_str(), TENANT_WEIGHT, "secret")),
    );
    for replica in ["tenants.a", "tenants.b"] {
        std::fs::write(folder.join(replica), &registry).map_err(CostError::WriteFile)?;
    }
    let operator_file = folder.join("operator.toml");
    let text = format!(
        "[tenants]\nfolder = {:?}\nauth = false\nimport = false\n",
        folder.display().to_string()
    );
    std::fs::write(&operator_file, text).map_err(CostError::WriteFile)?;
    Ok(operator_file)
}

fn tenant_name(number: u64) -> String {
    format!("tenant-{number:05}")
}

/// Submits the messages from all clients at once. Returns how many the relay has accepted.
async fn apply_load(listen: SocketAddr, tenants: Option<u64>, messages: u64) -> u64 {
    let accepted = Rc::new(Cell::new(0));
    let (running, mut all_ended) = mpsc::channel::<()>(1);
    for client in 0..MEASURED_CLIENTS {
        let load = ClientLoad {
            client,
            tenants,
            messages: messages / MEASURED_CLIENTS,
            accepted: Rc::clone(&accepted),
        };
        let running = running.clone();
        OsRuntime.spawn(async move {
            // A client whose connection breaks stops submitting. The check for too few accepted messages detects it.
            drop(load.submit_all(listen).await);
            drop(running);
        });
    }
    drop(running);
    // Returns once every client has dropped its sender.
    all_ended.recv().await;
    accepted.get()
}

/// The messages of one client.
struct ClientLoad {
    client: u64,
    tenants: Option<u64>,
    messages: u64,
    /// Accepted messages of all clients.
    accepted: Rc<Cell<u64>>,
}

impl ClientLoad {
    async fn submit_all(&self, listen: SocketAddr) -> io::Result<()> {
        let mut stream = OsRuntime.connect(listen).await?;
        stream.set_nodelay()?;
        for number in 0..self.messages {
            let id = format!("c{:02}n{number:08}", self.client);
            let destination = 1 + number % u64::from(MEASURED_PARTNERS);
            let request = enqueue_request(&id, &self.tenant(number), destination);
            match submit(&mut stream, &request).await? {
                Submission::Accepted => self.accepted.set(self.accepted.get() + 1),
                Submission::Rejected => {}
                Submission::Unanswered => return Err(io::ErrorKind::UnexpectedEof.into()),
            }
            OsRuntime.sleep(CLIENT_PAUSE).await;
        }
        Ok(())
    }

    /// The tenant of a message. Each client cycles through all tenants, starting with a different one.
    fn tenant(&self, number: u64) -> String {
        match self.tenants {
            Some(tenants) => {
                let first = self.client * tenants / MEASURED_CLIENTS;
                tenant_name((first + number) % tenants)
            }
            None => TENANT.into(),
        }
    }
}

/// CPU time of a process so far, in clock ticks of a hundredth of a second.
fn cpu_ticks(pid: u32) -> Result<u64, CostError> {
    let stat =
        std::fs::read_to_string(format!("/proc/{pid}/stat")).map_err(CostError::ReadProcess)?;
    // The program's name is in parentheses and may contain any character.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let field = |index: usize| {
        fields
            .split_whitespace()
            .nth(index)
            .and_then(|field| field.parse::<u64>().ok())
    };
    field(STAT_USER_TICKS)
        .zip(field(STAT_SYSTEM_TICKS))
        .map(|(user, system)| user + system)
        .ok_or(CostError::NoCpuTime)
}

/// Resident memory of a process, in KiB.
fn resident_kib(pid: u32) -> Result<u64, CostError> {
    let status =
        std::fs::read_to_string(format!("/proc/{pid}/status")).map_err(CostError::ReadProcess)?;
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|line| line.split_whitespace().next())
        .and_then(|number| number.parse().ok())
        .ok_or(CostError::NoMemory)
}
