//! `upgrades`: measures the effect of upgrades on clients. A relay on loopback sockets is replaced by itself many times under a
//! steady load, while operators call its control socket.

mod load;
mod report;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use runtime::{OsRuntime, Runtime};
use rustix::io::{fcntl_setfd, FdFlags};
use thiserror::Error;

use super::loopback::{
    block_on, free_address, LoopbackError, RelayCommand, RelayProcess, TestBed, READY_TIMEOUT,
};
use super::CommandOutcome;
use crate::peers::connection::wait_until_accepting_clients;
use load::Load;
use report::{report, Upgrade};

/// Time between two upgrades, and before the first.
const UPGRADE_INTERVAL: Duration = Duration::from_millis(700);
/// An upgrade's effects on clients are over this long after the old process has ended.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// The measurement could not be carried out.
#[derive(Debug, Error)]
pub enum UpgradesError {
    /// The relay or its peers can't be started.
    #[error(transparent)]
    Loopback(#[from] LoopbackError),
    /// The temporary directory can't be created.
    #[error("cannot create a temporary directory: {0}")]
    Folder(#[source] io::Error),
    /// The listening socket can't be made inheritable.
    #[error("cannot make the listening socket inheritable: {0}")]
    InheritPort(#[source] io::Error),
    /// The first process did not become ready in time.
    #[error("{} did not become ready within 20 s", .0.display())]
    NotReady(PathBuf),
    /// A new process did not become ready in time.
    #[error("a new version did not become ready within 20 s; it {status}")]
    NewVersionNotReady {
        /// Whether it runs, or how it has ended.
        status: String,
    },
    /// A process that was replaced did not end in time, or with an error.
    #[error("an old version did not end in time and with exit code 0")]
    OldVersionFailed,
    /// The last process did not end in time, or with an error.
    #[error("the last version did not end in time and with exit code 0")]
    LastVersionFailed,
}

/// Replaces a relay by itself `times` times and prints what clients and operators observed. `pause` is the time between a reply
/// and the same client's next message. Fails if too many connections failed in an upgrade, or any outside of upgrades.
///
/// # Errors
///
/// If a program can't be started or stopped, or a port can't be bound.
pub fn run(program: &Path, times: u32, pause: Duration) -> Result<CommandOutcome, UpgradesError> {
    block_on(measure(program, times, pause))
}

async fn measure(
    program: &Path,
    times: u32,
    pause: Duration,
) -> Result<CommandOutcome, UpgradesError> {
    let folder = tempfile::tempdir().map_err(UpgradesError::Folder)?;
    let listener = TcpListener::bind("127.0.0.1:0").map_err(LoopbackError::NoPort)?;
    let listen = listener.local_addr().map_err(LoopbackError::NoPort)?;
    // Every process of the relay inherits the listener.
    fcntl_setfd(&listener, FdFlags::empty())
        .map_err(|error| UpgradesError::InheritPort(error.into()))?;
    let test_bed = TestBed::start(folder.path(), listen)?;
    let versions = Versions {
        program,
        listener: &listener,
        test_bed: &test_bed,
    };
    let mut serving = versions.start()?;
    if !versions.is_ready_in_time(&serving).await {
        return Err(UpgradesError::NotReady(program.into()));
    }
    let load = Load {
        listen,
        pause,
        control_address: Rc::new(Cell::new(serving.control_address)),
        log: Rc::<RefCell<_>>::default(),
        is_over: Rc::default(),
    };
    load.start();
    let mut upgrades = Vec::new();
    for _ in 0..times {
        OsRuntime.sleep(UPGRADE_INTERVAL).await;
        upgrades.push(versions.upgrade(&mut serving, &load).await?);
    }
    load.is_over.set(true);
    load.log.borrow_mut().is_upgrading = true;
    OsRuntime.sleep(SETTLE_TIME).await;
    if !serving.process.stop(&OsRuntime).await {
        return Err(UpgradesError::LastVersionFailed);
    }
    let log = load.log.borrow();
    Ok(report(&log, &upgrades))
}

/// A running version of the relay.
struct RunningVersion {
    process: RelayProcess,
    control_address: SocketAddr,
}

/// Starts one version of the relay after the other.
struct Versions<'a> {
    program: &'a Path,
    listener: &'a TcpListener,
    test_bed: &'a TestBed,
}

impl Versions<'_> {
    fn start(&self) -> Result<RunningVersion, LoopbackError> {
        let control_address = free_address()?;
        let process = RelayProcess::start(&RelayCommand {
            program: self.program,
            arguments: &[],
            configuration: &self.test_bed.configuration,
            state_directory: &self.test_bed.state_directory,
            variables: &[
                ("BALANCER_SOCKET_FD", self.listener.as_raw_fd().to_string()),
                ("BALANCER_CONTROL", control_address.to_string()),
            ],
        })?;
        Ok(RunningVersion {
            process,
            control_address,
        })
    }

    async fn is_ready_in_time(&self, version: &RunningVersion) -> bool {
        let ready = wait_until_accepting_clients(&self.test_bed.context, version.control_address);
        OsRuntime.timeout(READY_TIMEOUT, ready).await.is_ok()
    }

    /// Replaces the serving version by a new one, and waits until the upgrade has no effect on clients any more.
    async fn upgrade(
        &self,
        serving: &mut RunningVersion,
        load: &Load,
    ) -> Result<Upgrade, UpgradesError> {
        let started_at = Instant::now();
        load.log.borrow_mut().is_upgrading = true;
        let mut new = self.start()?;
        if !self.is_ready_in_time(&new).await {
            let status = new.process.status_text();
            return Err(UpgradesError::NewVersionNotReady { status });
        }
        let ready_after = started_at.elapsed();
        load.control_address.set(new.control_address);
        load.log.borrow_mut().is_upgrading = false;
        let old = std::mem::replace(serving, new);
        if !old.process.stop(&OsRuntime).await {
            return Err(UpgradesError::OldVersionFailed);
        }
        OsRuntime.sleep(SETTLE_TIME).await;
        Ok(Upgrade {
            started_at,
            ended_at: Instant::now(),
            ready_after,
        })
    }
}
