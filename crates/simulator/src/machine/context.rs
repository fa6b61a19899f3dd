//! A process's access to the machine, shared by its runtime, sockets and files.

use std::io;
use std::path::Path;
use std::time::{Duration, Instant};

use super::planted_fault::PlantedFault;
use super::process::{EffectOutcome, ProcessId};
use super::sleep::Sleep;
use super::state::SharedState;

/// The machine's state and the process that acts on it.
#[derive(Clone)]
pub(super) struct ProcessContext {
    pub state: SharedState,
    pub process: ProcessId,
}

impl ProcessContext {
    /// Returns the current time of the process's monotonic clock.
    pub fn now(&self) -> Instant {
        let state = self.state.borrow();
        state.clock_origin + state.local_time(self.process)
    }

    pub fn sleep_until(&self, at: Instant) -> Sleep {
        let state = self.state.borrow();
        let at = state.global_time(
            self.process,
            at.saturating_duration_since(state.clock_origin),
        );
        // Like tokio's timers: a resolution of one millisecond, and never early.
        let at = Duration::from_millis(at.as_micros().div_ceil(1000) as u64);
        Sleep::new(self.state.clone(), at)
    }

    pub fn sleep(&self, duration: Duration) -> Sleep {
        self.sleep_until(self.now() + duration)
    }

    pub fn planted_fault(&self) -> Option<PlantedFault> {
        self.state.borrow().planted_fault(self.process)
    }

    /// Counts an effect of the process.
    ///
    /// # Errors
    ///
    /// `Other` if the process is dead, or is killed before the effect is carried out.
    pub fn effect(&self) -> io::Result<()> {
        match self.state.borrow_mut().count_effect(self.process) {
            EffectOutcome::Done | EffectOutcome::Killed { done: true } => Ok(()),
            EffectOutcome::Killed { done: false } | EffectOutcome::Dead => {
                Err(io::ErrorKind::Other.into())
            }
        }
    }

    /// Counts an effect on a file, and adds it to the digest of effects.
    ///
    /// # Errors
    ///
    /// As for [`ProcessContext::effect`].
    pub fn file_effect(&self, effect: &str, path: &Path) -> io::Result<()> {
        let path = path.to_string_lossy();
        self.state
            .borrow_mut()
            .record_effect(self.process, effect, path.as_bytes());
        self.effect()
    }
}
