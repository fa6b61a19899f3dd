//! What a message costs the relay: CPU time of its process under a steady load on loopback sockets, for builds
//! side by side.

use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use madderpitch_seam::{Listener, Real, Stream, System};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

use crate::loopback::{configuration, free_address, stage, Process};
use crate::peers::clients::{frame, until_ready};
use crate::peers::discovery::{Discovery, Line};
use crate::peers::{read_request, Stage};

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
    let field = |n: usize| rest.split_whitespace().nth(n).and_then(|field| field.parse::<u64>().ok());
    field(11).zip(field(12)).map(|(user, system)| user + system).ok_or("no CPU time is told".into())
}

/// Measures the builds in turn, `rounds` times, and prints microseconds of CPU a message for each.
pub fn run(relays: &[PathBuf], rounds: u32, messages: u64) -> Result<bool, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    let mut all = vec![Vec::new(); relays.len()];
    for round in 1..=rounds {
        for (relay, all) in relays.iter().zip(&mut all) {
            let cost = tokio::task::LocalSet::new().block_on(&runtime, measure(relay, messages))?;
            println!("round {round}: {}: {cost:.1} us a message", relay.display());
            all.push(cost);
        }
    }
    for (relay, all) in relays.iter().zip(&mut all) {
        all.sort_by(f64::total_cmp);
        println!("{}: median {:.1} us, least {:.1} us", relay.display(), all[all.len() / 2], all[0]);
    }
    Ok(true)
}

async fn measure(relay: &Path, messages: u64) -> Result<f64, String> {
    let folder = tempfile::tempdir().map_err(|e| format!("no folder: {e}"))?;
    let (state, file) = (folder.path().join("state"), folder.path().join("config.json"));
    std::fs::create_dir(&state).map_err(|e| format!("no folder for the journal: {e}"))?;
    let (listen, discovery_at) = (free_address()?, free_address()?);
    let mut lines = Vec::new();
    let mut addresses = Vec::new();
    for block in 1..=PARTNERS {
        let (host, dial) = (format!("partner-{block}"), free_address()?);
        addresses.push(dial);
        lines.push(Line { host, dial, site: "a".into(), block, health: "up", share: 10_000 });
    }
    let discovery = Discovery::new(lines);
    let (config, rules) = configuration(listen, discovery_at, &state, &discovery.whole(), LEFT);
    std::fs::write(&file, config.to_string()).map_err(|e| format!("cannot write: {e}"))?;
    let system = Real;
    let stage = stage(rules);
    for address in addresses {
        let own = stage.clone();
        system.spawn(async move { drop(serve(own, address).await) });
    }
    let (_open, closing) = watch::channel(false);
    let served = discovery.serve(stage.clone(), discovery_at, closing);
    system.spawn(async move { drop(served.await) });
    let process = Process::start(relay, &[], &file, &state)?;
    let ready = system.timeout(Duration::from_secs(20), until_ready(&stage, listen)).await;
    ready.map_err(|_| format!("{} does not get ready", relay.display()))?;
    let before = ticks(process.id())?;
    let taken = Rc::new(RefCell::new(0));
    let (done, mut left) = tokio::sync::mpsc::channel::<()>(1);
    for client in 0..CLIENTS {
        let (taken, done) = (taken.clone(), done.clone());
        system.spawn(async move {
            let asked = async {
                let mut stream = system.connect(listen).await?;
                stream.set_nodelay()?;
                let mut text = BytesMut::new();
                for number in 0..messages / CLIENTS {
                    let id = format!("c{client:02}n{number:08}");
                    let list = format!("c=update,t=acme,d={LEFT},dest={}", 1 + number % u64::from(PARTNERS));
                    let request = frame(&[b"ENQUEUE", b"0", id.as_bytes(), list.as_bytes(), &[b'x'; 200]]);
                    stream.write_all(&request).await?;
                    while !text.ends_with(b"\r\n") {
                        if stream.read_buf(&mut text).await? == 0 {
                            return Err(std::io::ErrorKind::UnexpectedEof.into());
                        }
                    }
                    *taken.borrow_mut() += u64::from(text.starts_with(b"+"));
                    text.clear();
                    system.sleep(Duration::from_millis(PAUSE)).await;
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
    Ok((after - before) as f64 * 10_000.0 / taken as f64)
}

async fn serve(stage: Stage<Real>, at: std::net::SocketAddr) -> std::io::Result<()> {
    let listener = stage.system.listen(at).await?;
    loop {
        let mut stream = listener.accept().await?;
        let own = stage.clone();
        stage.system.spawn(async move {
            let mut text = BytesMut::new();
            while let Ok(Some(_)) = read_request(&own, &mut stream, &mut text).await {
                if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.is_err() {
                    return;
                }
            }
        });
    }
}
