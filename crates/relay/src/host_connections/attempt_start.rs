//! The start of an attempt: the moment from which a host may execute it.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

/// Keeps the start of an attempt where it outlasts the process.
pub trait AttemptRecorder {
    /// Records that a host may execute the attempt from now on.
    ///
    /// # Errors
    /// If it cannot be recorded, or the attempt must not be made any more. Nothing is written to the host then.
    fn record_start(&self) -> io::Result<()>;

    /// Records that no host can have executed the attempt, as its request was not written completely.
    ///
    /// # Errors
    /// If the record is another process' by now. The attempt still counts as started there.
    fn retract_start(&self) -> io::Result<()>;
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum StartState {
    /// Nothing was written to a host.
    Pending,
    /// The start is recorded; bytes may have been written.
    Recorded,
    /// The start could not be recorded; nothing may be written.
    Failed,
}

/// Whether the start of one attempt is recorded. It is, from right before the first byte of the request on.
#[derive(Clone)]
pub struct AttemptStart {
    recorder: Rc<dyn AttemptRecorder>,
    state: Rc<Cell<StartState>>,
}

impl AttemptStart {
    /// The start of an attempt for which nothing was written yet.
    pub fn new(recorder: Rc<dyn AttemptRecorder>) -> Self {
        AttemptStart {
            recorder,
            state: Rc::new(Cell::new(StartState::Pending)),
        }
    }

    /// Records the start, if that was not done before.
    ///
    /// # Errors
    /// The error of the recorder; nothing may be written then.
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

    /// Takes the start back after a request that was not written completely.
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
