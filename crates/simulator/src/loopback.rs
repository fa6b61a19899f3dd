//! OsRuntime processes on loopback sockets: what the demo and the measurement of cost share.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use runtime::{Listener, OsRuntime, Runtime};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

use crate::checker::Checker;
use crate::history::Limits;
use crate::peers::connection::frame;
use crate::peers::discovery::{Discovery, HostEntry};
use crate::peers::{read_request, PeerContext};
use crate::script::Script;

/// A relay's process, which does not outlive this.
pub(crate) struct Process(Child);

impl Process {
    /// Starts a program, with its arguments, as a relay with this configuration and folder.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        config: &Path,
        state: &Path,
    ) -> Result<Self, String> {
        Process::with(program, arguments, config, state, &[])
    }

    /// The same with more variables.
    pub fn with(
        program: &Path,
        arguments: &[&str],
        config: &Path,
        state: &Path,
        variables: &[(&str, String)],
    ) -> Result<Self, String> {
        let mut command = Command::new(program);
        for name in [
            "BALANCER_LISTEN",
            "BALANCER_DISCOVERY",
            "BALANCER_CONTROL",
            "BALANCER_SOCKET_FD",
        ] {
            command.env_remove(name);
        }
        command
            .args(arguments)
            .env("BALANCER_CONFIG", config)
            .env("BALANCER_STATE", state);
        command.envs(variables.iter().map(|(name, value)| (name, value)));
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        command
            .spawn()
            .map(Process)
            .map_err(|e| format!("cannot start {}: {e}", program.display()))
    }

    /// Its number.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Whether it has ended, and how.
    pub fn told(&mut self) -> String {
        match self.0.try_wait() {
            Ok(Some(status)) => format!("has ended: {status}"),
            _ => "runs".into(),
        }
    }

    /// SIGTERM; whether it then ended well within five seconds.
    pub async fn stop(mut self, runtime: &OsRuntime) -> bool {
        let pid = i32::try_from(self.0.id()).ok().and_then(Pid::from_raw);
        if pid.is_none_or(|pid| kill_process(pid, Signal::TERM).is_err()) {
            return false;
        }
        for _ in 0..100 {
            if let Ok(Some(status)) = self.0.try_wait() {
                return status.success();
            }
            runtime.sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

pub(crate) fn free_address() -> Result<SocketAddr, String> {
    let bound = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    bound.map_err(|e| format!("no loopback port: {e}"))
}

/// The configuration of a simulated day, with other addresses and `left` milliseconds for each message.
pub(crate) fn configuration(
    relay: SocketAddr,
    discovery: SocketAddr,
    state: &Path,
    known: &Value,
    left: u64,
) -> (Value, Limits) {
    let script = Script::draw(0);
    let mut config = script.config(0, &script.settings, known, discovery);
    config["listen"] = relay.to_string().into();
    config["state"] = state.to_string_lossy().into_owned().into();
    config["limits"]["disk_mb"] = 3.0.into();
    config["settings"]["limits"]["mostHeld"] = 200.into();
    config["settings"]["familyInfo"]["callsOut"] = 16.into();
    for class in config["settings"]["services"]
        .as_array_mut()
        .into_iter()
        .flatten()
    {
        class["giveUp"] = (left * 1000).into();
        class["fifoByKey"] = false.into();
        class["keyScope"] = "all".into();
    }
    let capacity: BTreeMap<u16, f64> = (1..=3).map(|block| (block, 60.0)).collect();
    (
        config,
        Limits {
            max_disk_bytes: 3_000_000,
            capacity,
            ..script.limits
        },
    )
}

/// A stage on real sockets, where it is not known when the relay closes one, only when a host hears of it.
pub(crate) fn stage(limits: Limits) -> PeerContext<OsRuntime> {
    PeerContext {
        runtime: OsRuntime,
        start: OsRuntime.now(),
        relay: 0,
        checker: Rc::new(RefCell::new(Checker::new(limits, 1))),
        is_connection_open: Rc::new(|_| false),
        is_connection_readable: Rc::new(|_| true),
        trace: Rc::new(|_| {}),
    }
}

/// Partners that answer at once, a discovery that lists them, and the files of a relay that calls them.
pub(crate) struct Quick {
    pub stage: PeerContext<OsRuntime>,
    /// The configuration.
    pub file: PathBuf,
    /// The relay's folder.
    pub state: PathBuf,
    /// Discovery ends with it.
    pub _open: watch::Sender<bool>,
}

/// Starts so many partners, for a relay that listens at an address and whose messages have `left` milliseconds.
pub(crate) fn quick(
    folder: &Path,
    listen: SocketAddr,
    partners: u16,
    left: u64,
) -> Result<Quick, String> {
    let (state, file) = (folder.join("state"), folder.join("config.json"));
    std::fs::create_dir(&state).map_err(|e| format!("no folder for the journal: {e}"))?;
    let discovery_at = free_address()?;
    let mut lines = Vec::new();
    let mut addresses = Vec::new();
    for block in 1..=partners {
        let (host, dial) = (format!("partner-{block}"), free_address()?);
        addresses.push(dial);
        lines.push(HostEntry {
            host,
            address: dial,
            zone: "a".into(),
            destination: block,
            health: "up",
            calls_per_second: 10_000,
        });
    }
    let discovery = Discovery::new(lines);
    let (config, limits) = configuration(
        listen,
        discovery_at,
        &state,
        &discovery.full_snapshot(),
        left,
    );
    std::fs::write(&file, config.to_string()).map_err(|e| format!("cannot write: {e}"))?;
    let stage = stage(limits);
    for address in addresses {
        let own = stage.clone();
        stage
            .runtime
            .spawn(async move { drop(serve(own, address).await) });
    }
    let (_open, closing) = watch::channel(false);
    let served = discovery.serve(stage.clone(), discovery_at, closing);
    stage.runtime.spawn(async move { drop(served.await) });
    Ok(Quick {
        stage,
        file,
        state,
        _open,
    })
}

async fn serve(stage: PeerContext<OsRuntime>, at: SocketAddr) -> io::Result<()> {
    let listener = stage.runtime.listen(at).await?;
    loop {
        let mut stream = listener.accept().await?;
        let own = stage.clone();
        stage.runtime.spawn(async move {
            let mut text = BytesMut::new();
            while let Ok(Some(_)) = read_request(&own, &mut stream, &mut text).await {
                if stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
    }
}

/// A message of 200 bytes that a client hands in.
pub(crate) fn request(id: &str, tenant: &str, destination: u64, left: u64) -> Vec<u8> {
    let list = format!("c=update,t={tenant},d={left},dest={destination}");
    frame(&[
        b"ENQUEUE",
        b"0",
        id.as_bytes(),
        list.as_bytes(),
        &[b'x'; 200],
    ])
}

/// Whether a message was taken on; none if the connection ended before it was answered.
pub(crate) async fn ask(
    stream: &mut <OsRuntime as Runtime>::Stream,
    request: &[u8],
) -> io::Result<Option<bool>> {
    stream.write_all(request).await?;
    let mut text = BytesMut::new();
    while !text.ends_with(b"\r\n") {
        if stream.read_buf(&mut text).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(text.starts_with(b"+")))
}

/// Runs something on a runtime of its own; what it has spawned ends with it.
pub(crate) fn block_on<T>(what: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, what)
}
