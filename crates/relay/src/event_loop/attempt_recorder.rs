//! Records the starts of attempts in the journal, right before the first byte of a request.

use std::cell::RefCell;
use std::io;
use std::rc::{Rc, Weak};

use policy::types::MessageId;
use runtime::{log, Runtime};
use undeliverable::Outcome;

use super::persistence::log_write_error;
use crate::host_connections::AttemptRecorder;
use crate::journal::{Attempt, Journal};

/// Records the start of one attempt.
pub(super) struct JournalAttemptRecorder<R: Runtime> {
    pub(super) runtime: R,
    /// Dropped once another process owns the state directory.
    pub(super) journal: Weak<RefCell<Journal<R>>>,
    pub(super) id: MessageId,
    pub(super) number: u8,
    pub(super) attempt: Attempt,
    /// Name of the attempt's host, recorded for undeliverable messages; `None` if these are not stored.
    pub(super) host: Option<String>,
}

impl<R: Runtime> JournalAttemptRecorder<R> {
    fn journal(&self) -> io::Result<Rc<RefCell<Journal<R>>>> {
        self.journal.upgrade().ok_or_else(|| {
            io::Error::new(
                io::ErrorKind::NotFound,
                "another process has the state directory",
            )
        })
    }
}

impl<R: Runtime> AttemptRecorder for JournalAttemptRecorder<R> {
    fn record_start(&self) -> io::Result<()> {
        let journal = self.journal()?;
        let mut journal = journal.borrow_mut();
        let started = journal.start_attempt(self.id, self.number, self.attempt);
        if let Err(error) = &started {
            log!(self.runtime, "journal: attempt_not_recorded error={error}");
        } else if let Some(host) = &self.host {
            let recorded = journal.record_host(self.id, self.number, host, Outcome::Unknown);
            log_write_error(&self.runtime, recorded);
        }
        started
    }

    fn retract_start(&self) -> io::Result<()> {
        let journal = self.journal()?;
        let retracted = journal
            .borrow_mut()
            .retract_attempt(self.id, self.number, self.attempt);
        // If the write fails, the retraction still takes effect in this process, which writes it later.
        log_write_error(&self.runtime, retracted);
        Ok(())
    }
}
