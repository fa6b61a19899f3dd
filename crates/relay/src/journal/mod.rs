//! The journal: an append-only file of the messages that the relay accepted, their attempts and their ends.
//!
//! A written record survives the end of the process without a sync. The journal keeps an index of pending messages in
//! memory, from which the file is compacted. Its modules are the records (`record`) and their framing
//! (`record_framing`), the index (`pending_index`), the file (`journal_file`) and the space reserved for the
//! ends of messages (`reserve_file`).

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;

use policy::types::{Class, MessageId, Micros};
use relay_events::DeliveryFailure;
use runtime::Runtime;
use undeliverable::Outcome;

use journal_file::JournalFile;
use pending_index::PendingIndex;
use record::Record;
use reserve_file::ReserveFile;

use crate::completed_names::CompletedNames;

mod journal_file;
mod pending_index;
mod record;
mod record_framing;
mod reserve_file;
#[cfg(test)]
mod tests;

pub use pending_index::{DeliveryState, PendingMessage};
pub use record::{AcceptedMessage, Attempt, ResendOrigin};
pub use record_framing::{decode, encode, MAX_PAYLOAD_SIZE};

/// Share of the disk limit that the records of pending messages may take.
const PENDING_SHARE: f64 = 0.3;
/// Share of the disk limit that the stored names of ended messages may take.
pub const NAMES_SHARE: f64 = 0.05;
/// Share of the disk limit that the file may take before it is compacted. The old and the new file exist side by side
/// during compaction. Together they stay under the limit, with space left for the small records of messages that are
/// pending already.
const FILE_SHARE: f64 = 0.4;
/// Maximum number of characters of a host's name that are recorded.
const MAX_HOST_NAME_CHARS: usize = 64;

/// Error text for messages and attempts that are refused while no space is reserved for the ends of messages.
const NO_SPACE_FOR_ENDS: &str = "no disk space is reserved for the ends of messages";

/// The names of ended messages, which the journal stores and the event loop adds.
pub type SharedNames = Rc<RefCell<CompletedNames>>;

/// The journal of one state directory. A single process has it open.
pub struct Journal<R: Runtime> {
    file: JournalFile<R>,
    reserve: ReserveFile<R>,
    index: PendingIndex,
    /// Names of messages that have ended.
    completed_names: SharedNames,
    /// Whether records that could not be written are only in the index, so that the file would restore an older state.
    lacks_records: bool,
    /// Disk limit of the journal's folder, in bytes.
    disk_limit: f64,
}

impl<R: Runtime> Journal<R> {
    /// Opens the journal in a folder and reads the pending messages, and the names of those that ended. `limit` is the disk
    /// limit of the folder, in bytes, and `now` the time by the relay's clock.
    ///
    /// # Errors
    /// If the file cannot be read, or if it holds a record that a newer version of the program wrote.
    pub fn open(
        runtime: R,
        folder: &Path,
        limit: u64,
        completed_names: SharedNames,
        now: Micros,
    ) -> io::Result<Self> {
        let disk_limit = limit as f64;
        let (mut file, content) = JournalFile::open(runtime.clone(), folder.join("journal"))?;
        let mut index = PendingIndex::new();
        let valid_length = {
            let mut names = completed_names.borrow_mut();
            replay(&content, &mut index, &mut names, now)?
        };
        file.remove_unfinished_replacement();
        file.recover(valid_length as u64);
        let mut reserve = ReserveFile::new(runtime, file.path(), disk_limit);
        reserve.allocate();
        Ok(Journal {
            file,
            reserve,
            index,
            completed_names,
            lacks_records: false,
            disk_limit,
        })
    }

    /// Bytes that the records of pending messages may take.
    pub fn capacity(&self) -> usize {
        (self.disk_limit * PENDING_SHARE) as usize
    }

    /// Bytes that the records of pending messages take.
    pub fn pending_size(&self) -> usize {
        self.index.size() as usize
    }

    /// Length of the file in bytes.
    pub fn length(&self) -> usize {
        self.file.length() as usize
    }

    /// Maximum length of the file in bytes, whether or not it can be compacted.
    pub fn max_length(&self) -> usize {
        (self.disk_limit * (FILE_SHARE + PENDING_SHARE + NAMES_SHARE)) as usize
    }

    /// Whether space is reserved for the ends of messages. If not, the disk was full at the last try, and other records
    /// would take the space that the ends need.
    pub fn has_reserve(&self) -> bool {
        self.reserve.is_allocated()
    }

    /// Reserves the space for ends if it is missing, and returns whether it is reserved now.
    pub fn ensure_reserve(&mut self) -> bool {
        if !self.reserve.is_allocated() {
            self.reserve.allocate();
        }
        self.reserve.is_allocated()
    }

    /// All pending messages: those accepted and not yet completed.
    pub fn pending(&self) -> &BTreeMap<MessageId, PendingMessage> {
        self.index.messages()
    }

    /// Returns an identifier that no other message in the journal has.
    pub fn next_id(&mut self) -> MessageId {
        self.index.next_id()
    }

    /// Declares the classes for the messages that are accepted after this. Classes that are not named go out of force.
    ///
    /// # Errors
    /// The first error of a write. The remaining classes are declared nevertheless.
    pub fn declare_classes<'a>(
        &mut self,
        classes: impl Iterator<Item = (&'a String, &'a Class)>,
    ) -> io::Result<()> {
        let classes: BTreeMap<&String, &Class> = classes.collect();
        self.index.retain_classes(&classes);
        let mut result = Ok(());
        for (name, class) in classes {
            if !self.index.has_class(name, class) {
                result = result.and(self.write(Record::ClassDeclared {
                    name: name.clone(),
                    class: class.clone(),
                }));
            }
        }
        result
    }

    /// Accepts a message. Once this returns without an error, the message survives the end of the process.
    ///
    /// # Errors
    /// `StorageFull` if there is no space for the message or for its end; otherwise the error of the write.
    pub fn accept_message(&mut self, id: MessageId, message: AcceptedMessage) -> io::Result<()> {
        self.check_capacity(&message)?;
        self.write(Record::MessageAccepted { id, message })
    }

    /// Accepts the resend of an undeliverable message, like [`Journal::accept_message`].
    ///
    /// # Errors
    /// As for [`Journal::accept_message`].
    pub fn accept_resend(
        &mut self,
        id: MessageId,
        message: AcceptedMessage,
        origin: ResendOrigin,
    ) -> io::Result<()> {
        self.check_capacity(&message)?;
        self.write(Record::ResendAccepted {
            id,
            message,
            origin,
        })
    }

    /// Records the host of an attempt and how the attempt ended. Does nothing for a message that is not pending.
    ///
    /// # Errors
    /// The error of the write.
    pub fn record_host(
        &mut self,
        id: MessageId,
        attempt: u8,
        host: &str,
        outcome: Outcome,
    ) -> io::Result<()> {
        if self.index.get(id).is_none() {
            return Ok(());
        }
        self.write(Record::HostOutcome {
            id,
            number: attempt,
            host: host.chars().take(MAX_HOST_NAME_CHARS).collect(),
            outcome,
        })
    }

    /// Adds an attempt that is about to be made, without a record: no host can have executed it before
    /// [`Journal::start_attempt`].
    ///
    /// # Errors
    /// `StorageFull` if there is no space for the end of the message; the attempt must not be made then.
    pub fn prepare_attempt(
        &mut self,
        id: MessageId,
        number: u8,
        attempt: Attempt,
    ) -> io::Result<()> {
        self.index.put_unrecorded_attempt(id, number, attempt);
        if self.ensure_reserve() {
            Ok(())
        } else {
            Err(storage_full(NO_SPACE_FOR_ENDS))
        }
    }

    /// Whether the file states that an attempt of a pending message may have been executed.
    pub fn is_started(&self, id: MessageId, number: u8) -> bool {
        let pending = self.index.get(id);
        let pending = pending.filter(|pending| pending.delivery != DeliveryState::Provisional);
        let attempt = pending.and_then(|pending| pending.attempts.get(usize::from(number)));
        attempt.is_some_and(|attempt| attempt.may_have_executed)
    }

    /// Records an attempt right before the first byte of its request is written.
    ///
    /// # Errors
    /// `NotFound` if the message has ended; otherwise the error of the write. In both cases the request must not be sent.
    pub fn start_attempt(&mut self, id: MessageId, number: u8, attempt: Attempt) -> io::Result<()> {
        let is_open = self
            .index
            .get(id)
            .is_some_and(|pending| pending.failure.is_none());
        if !is_open {
            return Err(io::Error::new(
                io::ErrorKind::NotFound,
                "the message has ended",
            ));
        }
        self.write(Record::AttemptStarted {
            id,
            number,
            attempt,
        })
    }

    /// Records that an attempt ended without a delivery. An outcome that the journal already holds is not written again:
    /// on a full disk, the space is needed for the ends of messages.
    ///
    /// # Errors
    /// The error of the write.
    pub fn record_outcome(
        &mut self,
        id: MessageId,
        attempt: u8,
        may_have_executed: bool,
    ) -> io::Result<()> {
        let pending = self.index.get(id);
        let known = pending.and_then(|pending| pending.attempts.get(usize::from(attempt)));
        if known.is_none_or(|known| known.may_have_executed == may_have_executed) {
            return Ok(());
        }
        self.write(Record::AttemptEnded {
            id,
            number: attempt,
            may_have_executed,
        })
    }

    /// Records that the request of the latest attempt was not written completely. The attempt does not count, and the next
    /// one gets its number. Does nothing if the attempt is not the latest one.
    ///
    /// # Errors
    /// The error of the write.
    pub fn discard_attempt(&mut self, id: MessageId, attempt: u8) -> io::Result<()> {
        let attempts_with_this_last = usize::from(attempt) + 1;
        let pending = self.index.get(id);
        let Some(pending) =
            pending.filter(|pending| pending.attempts.len() == attempts_with_this_last)
        else {
            return Ok(());
        };
        let has_record = pending.has_record_of(attempt);
        let discarded = Record::AttemptDiscarded {
            id,
            number: attempt,
        };
        if has_record {
            self.write(discarded)
        } else {
            self.index.apply(discarded, 0);
            Ok(())
        }
    }

    /// Records that the request of the latest attempt was not written completely, but keeps the attempt: it continues on
    /// another connection, or counts as an attempt that was not executed.
    ///
    /// # Errors
    /// The error of the write.
    pub fn retract_attempt(
        &mut self,
        id: MessageId,
        number: u8,
        attempt: Attempt,
    ) -> io::Result<()> {
        let discarded = self.discard_attempt(id, number);
        self.index.put_unrecorded_attempt(id, number, attempt);
        discarded
    }

    /// Records that the delivery failed permanently and the platform has yet to be notified.
    ///
    /// # Errors
    /// The error of the write. In this process the failure takes effect nevertheless.
    pub fn record_failure(&mut self, id: MessageId, failure: DeliveryFailure) -> io::Result<()> {
        self.write(Record::DeliveryFailed { id, failure })
    }

    /// Records that a message needs no further work. Does nothing for a message that is not pending.
    ///
    /// # Errors
    /// The error of the write. In this process the message is removed nevertheless.
    pub fn remove_message(&mut self, id: MessageId) -> io::Result<()> {
        let completed = Record::MessageCompleted { id };
        match self.delivery(id) {
            None => Ok(()),
            Some(DeliveryState::Provisional) => {
                self.index.apply(completed, 0);
                Ok(())
            }
            Some(_) => self.write(completed),
        }
    }

    /// Records that a message was not accepted after all, so that its name is free. Does nothing for a message that is not
    /// pending.
    ///
    /// # Errors
    /// The error of the write. In this process the message is removed nevertheless.
    pub fn withdraw_message(&mut self, id: MessageId) -> io::Result<()> {
        if self.index.get(id).is_none() {
            return Ok(());
        }
        self.write(Record::MessageWithdrawn { id })
    }

    /// Records the end of a message that is probably delivered. The message remains pending in this process until
    /// [`Journal::remove_message`] confirms its end or [`Journal::reopen_message`] takes it back. Does nothing for a
    /// message that is not pending, or was delivered provisionally before.
    ///
    /// # Errors
    /// The error of the write. The message is provisionally delivered nevertheless.
    pub fn deliver_provisionally(&mut self, id: MessageId, now: Micros) -> io::Result<()> {
        let pending = self.index.get(id);
        let is_open = |pending: &&PendingMessage| pending.delivery == DeliveryState::NotReported;
        let Some(pending) = pending.filter(is_open) else {
            return Ok(());
        };
        // A snapshot does not contain the message from now on.
        pending.add_name(&mut self.completed_names.borrow_mut(), now);
        let completed = Record::MessageCompleted { id };
        let encoded = encode(&completed)?;
        let result = self
            .make_space(&completed, encoded.len())
            .and_then(|()| self.append(&completed, &encoded));
        self.lacks_records |= result.is_err();
        self.index.set_delivery(id, DeliveryState::Provisional);
        result
    }

    /// Takes back the provisional delivery of a message. Its records are missing from the file until
    /// [`Journal::write_missing_records`]. Does nothing for any other message.
    pub fn reopen_message(&mut self, id: MessageId) {
        if self.delivery(id) == Some(DeliveryState::Provisional) {
            self.index.set_delivery(id, DeliveryState::Reopened);
            self.lacks_records = true;
        }
    }

    fn delivery(&self, id: MessageId) -> Option<DeliveryState> {
        self.index.get(id).map(|pending| pending.delivery)
    }

    fn check_capacity(&self, message: &AcceptedMessage) -> io::Result<()> {
        let available = self.disk_limit * PENDING_SHARE - self.index.size() as f64;
        if message.journal_size() as f64 > available {
            return Err(storage_full(
                "pending messages have reached their share of the disk limit",
            ));
        }
        Ok(())
    }

    /// Appends a record and applies it to the index.
    fn write(&mut self, record: Record) -> io::Result<()> {
        let encoded = encode(&record)?;
        let result = self
            .make_space(&record, encoded.len())
            .and_then(|()| self.append(&record, &encoded));
        self.apply_written(record, encoded.len() as u64, result.is_ok());
        result
    }

    /// Prepares the file for a record: compacts it if it exceeds its share of the disk limit, and reserves space for the
    /// end of work that the record starts.
    fn make_space(&mut self, record: &Record, size: usize) -> io::Result<()> {
        let mut result = Ok(());
        let length = self.file.length() as f64 + size as f64;
        if length > self.disk_limit * FILE_SHARE {
            result = self.compact();
            // If compaction fails there is no second file, and messages that are pending already may use its space.
            let fits = length <= self.disk_limit * (FILE_SHARE + PENDING_SHARE + NAMES_SHARE);
            if fits && !record.accepts_message() {
                result = Ok(());
            }
        }
        // No new work starts while there is no space for the ends of the work that has started.
        if record.starts_work() && !self.ensure_reserve() {
            result = Err(storage_full(NO_SPACE_FOR_ENDS));
        }
        result
    }

    /// Appends an encoded record. The end of a message may use the reserved space.
    fn append(&mut self, record: &Record, encoded: &[u8]) -> io::Result<()> {
        let reserve = &mut self.reserve;
        let ends_work = record.ends_work();
        self.file.append(encoded, || ends_work && reserve.release())
    }

    /// Applies a record to the index, even if it could not be written, as the event that it states has happened. The
    /// exceptions: a message whose record could not be written is not accepted, and an attempt is not sent.
    fn apply_written(&mut self, record: Record, size: u64, is_written: bool) {
        match record {
            record if is_written => self.index.apply(record, size),
            Record::MessageAccepted { .. }
            | Record::ResendAccepted { .. }
            | Record::HostOutcome { .. } => {}
            Record::AttemptStarted {
                id,
                number,
                attempt,
            } => self.index.put_unrecorded_attempt(id, number, attempt),
            record => {
                self.lacks_records = true;
                self.index.apply(record, size);
            }
        }
    }

    /// Whether the file lacks records that could not be written. A process that starts from the file would repeat work
    /// that has ended.
    pub fn lacks_records(&self) -> bool {
        self.lacks_records
    }

    /// Writes the missing records by replacing the file with one that holds the current state.
    ///
    /// # Errors
    /// The error of the write, or `StorageFull` if the old and the new file together exceed the maximum length.
    pub fn write_missing_records(&mut self) -> io::Result<()> {
        let snapshot = self.encode_snapshot()?;
        let both = self.file.length() + snapshot.len() as u64;
        if both > self.max_length() as u64 {
            return Err(storage_full(
                "no space for a new journal file beside the old one",
            ));
        }
        self.replace_file(&snapshot)
    }

    fn replace_file(&mut self, snapshot: &[u8]) -> io::Result<()> {
        self.file.replace(snapshot)?;
        self.lacks_records = false;
        Ok(())
    }

    /// Encodes the names of ended messages, then the shortest sequence of records that restores the index.
    fn encode_snapshot(&self) -> io::Result<Vec<u8>> {
        let names = self.completed_names.borrow();
        let mut snapshot = Vec::new();
        for block in names.to_stored() {
            let seed = names.seed();
            snapshot.extend(encode(&Record::NamesCompleted { seed, names: block })?);
        }
        self.index.encode_into(&mut snapshot)?;
        Ok(snapshot)
    }

    /// Replaces the file with one that holds only the pending messages and the classes in force.
    fn compact(&mut self) -> io::Result<()> {
        let snapshot = self.encode_snapshot()?;
        if snapshot.len() as u64 >= self.file.length() {
            return Err(storage_full("compaction would not shorten the journal"));
        }
        self.replace_file(&snapshot)
    }
}

/// Applies all complete records of the file's content and returns their total length in bytes.
fn replay(
    content: &[u8],
    index: &mut PendingIndex,
    names: &mut CompletedNames,
    now: Micros,
) -> io::Result<usize> {
    let mut position = 0;
    while let Some((record, size)) = decode(&content[position..])? {
        match &record {
            Record::MessageCompleted { id } => {
                if let Some(pending) = index.get(*id) {
                    pending.add_name(names, now);
                }
            }
            Record::NamesCompleted {
                seed,
                names: stored,
            } => names.restore(now, *seed, stored),
            _ => {}
        }
        index.apply(record, size as u64);
        position += size;
    }
    Ok(position)
}

fn storage_full(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::StorageFull, reason)
}
