//! Records the start of an attempt: the instant from which a host may execute it.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// Stores the start of an attempt persistently, so that it survives the process.
pub trait AttemptRecorder {
    /// Records that a host may execute the attempt from now on.
    ///
    /// # Errors
    /// Fails if the start cannot be stored or the attempt may no longer be made. Nothing is then written to the host.
    fn record_start(&self) -> io::Result<()>;

    /// Records that no host can have executed the attempt, as its request was not written completely.
    ///
    /// # Errors
    /// Fails if another process owns the record by now. The attempt still counts as started there.
    fn retract_start(&self) -> io::Result<()>;
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum StartState {
    /// Nothing has been written to a host.
    Pending,
    /// The start is recorded; bytes may have been written to a host.
    Recorded,
    /// The start could not be recorded; nothing may be written.
    Failed,
}

/// The state of one attempt's start, which is recorded immediately before the first byte of the request is written.
#[derive(Clone)]
pub struct AttemptStart {
    recorder: Rc<dyn AttemptRecorder>,
    state: Rc<Cell<StartState>>,
}

impl AttemptStart {
    /// Creates the start of an attempt for which nothing has been written yet.
    pub fn new(recorder: Rc<dyn AttemptRecorder>) -> Self {
        AttemptStart {
            recorder,
            state: Rc::new(Cell::new(StartState::Pending)),
        }
    }

    /// Records the start, unless it is already recorded.
    ///
    /// # Errors
    /// Returns the error of the recorder. Nothing may be written to the host then.
    pub(super) fn record(&self) -> io::Result<()> {
        if self.state.get() == StartState::Recorded {
            return Ok(());
        }
        let recorded = self.recorder.record_start();
        self.state.set(match recorded {
            Ok(()) => StartState::Recorded,
            Err(_) => StartState::Failed,
        });
        recorded
    }

    /// Retracts the start after a request that was not written completely.
    pub(super) fn retract(&self) {
        let is_recorded = self.state.get() == StartState::Recorded;
        if is_recorded && self.recorder.retract_start().is_ok() {
            self.state.set(StartState::Pending);
        }
    }

    /// Whether the start could not be recorded, so that the attempt has to end.
    pub(super) fn has_failed(&self) -> bool {
        self.state.get() == StartState::Failed
    }
}
