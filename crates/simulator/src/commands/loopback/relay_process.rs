//! A relay in its own process.

use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use runtime::{OsRuntime, Runtime};
use rustix::process::{kill_process, Pid, Signal};

use super::error::LoopbackError;

/// Interval at which the end of a process is polled.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of polls: a process has five seconds to end.
const MAX_EXIT_POLLS: u32 = 100;
/// Variables of this program's environment that a relay must not inherit.
const CLEARED_VARIABLES: [&str; 4] = [
    "BALANCER_LISTEN",
    "BALANCER_DISCOVERY",
    "BALANCER_CONTROL",
    "BALANCER_SOCKET_FD",
];

/// Parameters of the start of a relay.
pub(in crate::commands) struct RelayCommand<'a> {
    pub program: &'a Path,
    pub arguments: &'a [&'a str],
    pub configuration: &'a Path,
    pub state_directory: &'a Path,
    /// Environment variables in addition to those of every relay.
    pub variables: &'a [(&'a str, String)],
}

/// A relay's process. Dropping it kills the process.
pub(in crate::commands) struct RelayProcess {
    child: Child,
}

impl RelayProcess {
    /// Starts a relay with input and output connected to `/dev/null`.
    pub fn start(relay: &RelayCommand<'_>) -> Result<Self, LoopbackError> {
        let mut command = Command::new(relay.program);
        for name in CLEARED_VARIABLES {
            command.env_remove(name);
        }
        command
            .args(relay.arguments)
            .env("BALANCER_CONFIG", relay.configuration)
            .env("BALANCER_STATE", relay.state_directory)
            .envs(relay.variables.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        let child = command
            .spawn()
            .map_err(|source| LoopbackError::StartProgram {
                program: relay.program.into(),
                source,
            })?;
        Ok(RelayProcess { child })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Describes whether the process runs, or how it ended.
    pub fn status_text(&mut self) -> String {
        match self.child.try_wait() {
            Ok(Some(status)) => format!("has ended: {status}"),
            _ => "runs".into(),
        }
    }

    /// Sends SIGTERM. Returns whether the process then ends in time, with exit code 0.
    pub async fn stop(mut self, runtime: &OsRuntime) -> bool {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if pid.is_none_or(|pid| kill_process(pid, Signal::TERM).is_err()) {
            return false;
        }
        for _ in 0..MAX_EXIT_POLLS {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            runtime.sleep(EXIT_POLL_INTERVAL).await;
        }
        false
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        // Both calls fail if the process has ended already.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
