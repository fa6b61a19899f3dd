//! What outlasts the process: an append-only file of what the relay has taken on and what became of it.
//!
//! A record is its length and CRC-32 (both 32 bits, little-endian), then its postcard text. What is written
//! survives the process without a sync. The journal also keeps what it holds in memory, so that it can
//! be written anew in short form.

use std::collections::BTreeMap;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use bytes::Bytes;
use policy::types::{Class, MessageId, Micros};
use relay_events::DeliveryFailure;
use runtime::{log, File, Runtime};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use undeliverable::{Outcome, RecordId};

const HEAD: usize = 8;
/// No record is longer: a body, its names and some room, or what one process hands over to another.
pub const LONGEST: usize = 256 * 1024;
/// Parts of the disk's limit: what is owed, and the file with it. While the file is written anew both stand
/// side by side and stay under the limit, with room for the small records of what is owed already.
const OWED_PART: f64 = 0.3;
const FILE_PART: f64 = 0.45;
/// Bytes that are kept free for the ends of messages, as a part of the limit and at most; some 500 ends.
const SPARE: (f64, f64) = (0.04, 16384.0);

/// A message as it was handed in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// Its name on the wire.
    pub name: String,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// Key of its order.
    pub ordering_key: Option<u64>,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: String,
    /// Where it must go.
    pub destination: u16,
    /// Deadline, in Unix time.
    pub deadline: Micros,
    /// It was handed in before.
    pub is_resubmitted: bool,
    /// Its content.
    pub body: Bytes,
}

/// Room in the journal that a message takes beside its body at most: its names, and the records of its attempts.
const BESIDE: usize = 768;

impl AcceptedMessage {
    /// Bytes that the message takes in the journal, at most.
    pub fn journal_size(&self) -> usize {
        self.body.len() + BESIDE
    }
}

/// An attempt on a message.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// When it was sent, in Unix time.
    pub sent_at: Micros,
    /// Zone of its host.
    pub zone: u8,
    /// False once it is known not to have run.
    pub may_have_executed: bool,
}

/// What a message that is sent again stems from.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResendOrigin {
    /// The record of the undeliverable message.
    pub record: RecordId,
    /// Which of its resends.
    pub number: u32,
    /// The first of its attempts that may have run, where its key is still remembered.
    pub past_attempt: Option<Attempt>,
}

// New kinds come last: a file of the version before is read by the numbers of the others.
#[derive(Serialize, Deserialize)]
enum Record {
    AcceptedMessage(MessageId, AcceptedMessage),
    /// With the attempt's number: one before it that could not be written was never sent.
    Out(MessageId, u8, Attempt),
    Outcome(MessageId, u8, bool),
    /// The platform must be told; until it has been, the message is owed.
    Verdict(MessageId, DeliveryFailure),
    Over(MessageId),
    /// A message is sent again.
    TakenAgain(MessageId, AcceptedMessage, ResendOrigin),
    /// The host of an attempt and how it ended; only where undeliverable messages are kept.
    Told(MessageId, u8, String, Outcome),
    /// What a class means for the messages that are taken from here on.
    Class(String, Class),
    /// Not a byte of an attempt was written, so that it is none.
    NotBegun(MessageId, u8),
}

/// A message that is owed its end.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingMessage {
    /// The message.
    pub accepted: AcceptedMessage,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Its end, of which the platform has not been told yet.
    pub failure: Option<DeliveryFailure>,
    /// What it stems from, if it is sent again.
    pub resend: Option<ResendOrigin>,
    /// Hosts of attempts and how they ended, by the attempt's number.
    pub outcomes: BTreeMap<u8, (String, Outcome)>,
    /// What it was taken under; unknown for one from before journals said so.
    pub class_version: Option<ClassVersion>,
    size: u64,
}

/// What a class meant from some place of the journal on.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassVersion {
    /// A number that grows with each change.
    version: u64,
    /// The class.
    pub class: Rc<Class>,
}

impl PendingMessage {
    fn new(
        message: AcceptedMessage,
        again: Option<ResendOrigin>,
        terms: Option<ClassVersion>,
        size: u64,
    ) -> Self {
        let attempts = again
            .and_then(|again| again.past_attempt)
            .into_iter()
            .collect();
        PendingMessage {
            accepted: message,
            attempts,
            failure: None,
            resend: again,
            outcomes: BTreeMap::new(),
            class_version: terms,
            size,
        }
    }
}

/// The journal.
pub struct Journal<R: Runtime> {
    runtime: R,
    path: PathBuf,
    file: R::File,
    length: u64,
    /// The file ends in half a record that could not be cut off.
    torn: bool,
    owed_size: u64,
    limit: f64,
    owed: BTreeMap<MessageId, PendingMessage>,
    /// What classes mean from here on, by name.
    terms: BTreeMap<String, ClassVersion>,
    versions: u64,
    next: MessageId,
    /// The spare file stands.
    spare: bool,
}

impl<R: Runtime> Journal<R> {
    /// Opens the journal in a folder, which may hold up to `limit` bytes, and reads what is owed.
    pub fn open(runtime: R, folder: &Path, limit: u64) -> io::Result<Self> {
        let path = folder.join("journal");
        let mut file = runtime.open(&path)?;
        let mut text = Vec::new();
        file.read_to_end(&mut text)?;
        let mut journal = Journal {
            runtime,
            path,
            file,
            length: 0,
            torn: false,
            owed_size: 0,
            limit: limit as f64,
            owed: BTreeMap::new(),
            terms: BTreeMap::new(),
            versions: 0,
            next: 1,
            spare: false,
        };
        let mut rest = &text[..];
        while let Some((record, size)) = decode(rest)? {
            journal.book(record, size as u64);
            rest = &rest[size..];
        }
        // Left by a process that ended while it wrote the journal anew.
        match journal.runtime.remove(&fresh_path(&journal.path)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        journal.length = (text.len() - rest.len()) as u64;
        if !rest.is_empty() {
            // The process ended within a write; nothing was promised on the strength of that record.
            log!(
                journal.runtime,
                "journal: dropped a torn tail of {} bytes",
                rest.len()
            );
            journal.file.set_len(journal.length)?;
        }
        journal.file.seek(SeekFrom::Start(journal.length))?;
        journal.keep_spare();
        Ok(journal)
    }

    /// Bytes of messages that the journal has room for.
    pub fn capacity(&self) -> usize {
        (self.limit * OWED_PART) as usize
    }

    /// Bytes of the file, and the most that it may have before and after it is written anew.
    pub fn length(&self) -> (usize, usize) {
        (
            self.length as usize,
            (self.limit * (FILE_PART + OWED_PART)) as usize,
        )
    }

    /// Whether room is set aside for the ends of messages; without it the disk was full when that was last tried,
    /// and whatever else is written would take the room of ends.
    pub fn has_spare(&self) -> bool {
        self.spare
    }

    /// The same, tried again where it was not.
    pub fn restore_spare(&mut self) -> bool {
        if !self.spare {
            self.keep_spare();
        }
        self.spare
    }

    /// All that is owed.
    pub fn pending(&self) -> &BTreeMap<MessageId, PendingMessage> {
        &self.owed
    }

    /// A number for a message that no other in the journal has.
    pub fn next_id(&mut self) -> MessageId {
        self.next += 1;
        self.next - 1
    }

    /// What classes mean from here on; those that are not named are in force no more.
    pub fn declare_classes<'a>(
        &mut self,
        classes: impl Iterator<Item = (&'a String, &'a Class)>,
    ) -> io::Result<()> {
        let mut written = Ok(());
        let classes: BTreeMap<&String, &Class> = classes.collect();
        self.terms.retain(|name, _| classes.contains_key(name));
        for (name, class) in classes {
            if self
                .terms
                .get(name)
                .is_none_or(|known| *known.class != *class)
            {
                written = written.and(self.write(Record::Class(name.clone(), class.clone())));
            }
        }
        written
    }

    /// A message is taken on. Once this returns, it outlasts the process.
    pub fn accept_message(&mut self, id: MessageId, taken: AcceptedMessage) -> io::Result<()> {
        let room = self.limit * OWED_PART - self.owed_size as f64;
        if taken.journal_size() as f64 > room {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the journal's part of the disk is full",
            ));
        }
        self.write(Record::AcceptedMessage(id, taken))
    }

    /// A message is sent again. Once this returns, it outlasts the process.
    pub fn accept_resend(
        &mut self,
        id: MessageId,
        message: AcceptedMessage,
        again: ResendOrigin,
    ) -> io::Result<()> {
        let room = self.limit * OWED_PART - self.owed_size as f64;
        if message.journal_size() as f64 > room {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the journal's part of the disk is full",
            ));
        }
        self.write(Record::TakenAgain(id, message, again))
    }

    /// The host of an attempt, and how it ended.
    pub fn record_host(
        &mut self,
        id: MessageId,
        attempt: u8,
        host: &str,
        outcome: Outcome,
    ) -> io::Result<()> {
        if !self.owed.contains_key(&id) {
            return Ok(());
        }
        self.write(Record::Told(
            id,
            attempt,
            host.chars().take(64).collect(),
            outcome,
        ))
    }

    /// An attempt is about to go out.
    pub fn start_attempt(&mut self, id: MessageId, number: u8, attempt: Attempt) -> io::Result<()> {
        self.write(Record::Out(id, number, attempt))
    }

    /// An attempt came back, and the message was not delivered. What the journal says of it already takes no
    /// room: on a full disk that is for ends.
    pub fn record_outcome(
        &mut self,
        id: MessageId,
        attempt: u8,
        may_have_run: bool,
    ) -> io::Result<()> {
        let known = self
            .owed
            .get(&id)
            .and_then(|owed| owed.attempts.get(usize::from(attempt)));
        if known.is_none_or(|known| known.may_have_executed == may_have_run) {
            return Ok(());
        }
        self.write(Record::Outcome(id, attempt, may_have_run))
    }

    /// Not a byte of an attempt was written: it does not count, and the next one has its number.
    pub fn discard_attempt(&mut self, id: MessageId, attempt: u8) -> io::Result<()> {
        if self
            .owed
            .get(&id)
            .is_none_or(|owed| owed.attempts.len() != usize::from(attempt) + 1)
        {
            return Ok(());
        }
        self.write(Record::NotBegun(id, attempt))
    }

    /// The module has given a message up; the platform is to be told.
    pub fn record_failure(&mut self, id: MessageId, verdict: DeliveryFailure) -> io::Result<()> {
        self.write(Record::Verdict(id, verdict))
    }

    /// Nothing more is owed for a message.
    pub fn remove_message(&mut self, id: MessageId) -> io::Result<()> {
        if !self.owed.contains_key(&id) {
            return Ok(());
        }
        self.write(Record::Over(id))
    }

    /// Appends a record and books it, also when it can't be written: what happened has happened. But a
    /// message that can't be written is not taken on, and an attempt that can't be is not sent.
    fn write(&mut self, record: Record) -> io::Result<()> {
        let text = encode(&record)?;
        let length = self.length as f64 + text.len() as f64;
        let mut written = Ok(());
        if length > self.limit * FILE_PART {
            written = self.compact();
            // Where the file can't be written anew there is no second one: what is owed already may go on in
            // the room that was for it.
            let more = !matches!(record, Record::AcceptedMessage(..) | Record::TakenAgain(..))
                && length <= self.limit * (FILE_PART + OWED_PART);
            written = if more { Ok(()) } else { written };
        }
        let ends = matches!(record, Record::Verdict(..) | Record::Over(..));
        // Nothing new begins while there is no room for the ends of what has begun.
        let begins = matches!(
            record,
            Record::AcceptedMessage(..) | Record::TakenAgain(..) | Record::Out(..)
        );
        if begins && !self.restore_spare() {
            written = Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "no room for the ends of messages",
            ));
        }
        let written = written.and_then(|()| self.append(&text, ends));
        match record {
            Record::AcceptedMessage(..) | Record::TakenAgain(..) | Record::Told(..)
                if written.is_err() => {}
            Record::Out(id, number, attempt) if written.is_err() => {
                let unsent = Attempt {
                    may_have_executed: false,
                    ..attempt
                };
                self.book(Record::Out(id, number, unsent), 0);
            }
            record => self.book(record, text.len() as u64),
        }
        written
    }

    /// Adds a record's text to the file. An end may use the spare.
    fn append(&mut self, text: &[u8], ends: bool) -> io::Result<()> {
        if self.torn {
            self.cut()?;
        }
        let mut written = self.file.write_all(text);
        if written.is_err() && ends && self.give_up_spare() {
            written = self.cut().and_then(|()| self.file.write_all(text));
        }
        if written.is_ok() {
            self.length += text.len() as u64;
        } else {
            // What follows half a record could never be read again.
            self.torn = true;
            let runtime = self.runtime.clone();
            self.cut()
                .unwrap_or_else(|e| log!(runtime, "journal: cannot cut off half a record: {e}"));
        }
        written
    }

    /// Sets room aside for the ends of messages.
    ///
    /// Guards against a disk that others fill: an end that the platform was told of and that is not kept
    /// would be forgotten with the process, and its message sent again. Without it nothing new begins.
    fn keep_spare(&mut self) {
        let path = self.path.with_extension("spare");
        let text = vec![0; (self.limit * SPARE.0).min(SPARE.1) as usize];
        self.spare = self.runtime.write(&path, &text).is_ok();
        if !self.spare {
            drop(self.runtime.remove(&path));
        }
    }

    /// Frees what was set aside; false if that is gone already.
    fn give_up_spare(&mut self) -> bool {
        let spare = std::mem::take(&mut self.spare);
        spare
            && self
                .runtime
                .remove(&self.path.with_extension("spare"))
                .is_ok()
    }

    fn cut(&mut self) -> io::Result<()> {
        self.file.set_len(self.length)?;
        self.file.seek(SeekFrom::Start(self.length))?;
        self.torn = false;
        Ok(())
    }

    fn book(&mut self, record: Record, size: u64) {
        match record {
            Record::AcceptedMessage(id, taken) => {
                self.next = self.next.max(id + 1);
                self.owed_size += size;
                let terms = self.terms.get(&taken.class).cloned();
                self.owed
                    .insert(id, PendingMessage::new(taken, None, terms, size));
            }
            Record::TakenAgain(id, taken, again) => {
                self.next = self.next.max(id + 1);
                self.owed_size += size;
                let terms = self.terms.get(&taken.class).cloned();
                self.owed
                    .insert(id, PendingMessage::new(taken, Some(again), terms, size));
            }
            Record::Told(id, attempt, host, outcome) => {
                self.change(id, size, |owed| {
                    drop(owed.outcomes.insert(attempt, (host, outcome)))
                });
            }
            Record::Out(id, number, attempt) => self.change(id, size, |owed| {
                let unsent = Attempt {
                    may_have_executed: false,
                    ..attempt
                };
                owed.attempts.resize(usize::from(number), unsent);
                owed.attempts.push(attempt);
            }),
            Record::Outcome(id, attempt, may_have_run) => self.change(id, 0, |owed| {
                let attempt = owed.attempts.get_mut(usize::from(attempt));
                attempt
                    .into_iter()
                    .for_each(|attempt| attempt.may_have_executed = may_have_run);
            }),
            Record::NotBegun(id, attempt) => self.change(id, 0, |owed| {
                owed.attempts.truncate(usize::from(attempt));
                owed.outcomes.remove(&attempt);
            }),
            Record::Verdict(id, verdict) => {
                self.change(id, size, |owed| owed.failure = Some(verdict))
            }
            Record::Class(name, class) => {
                self.versions += 1;
                self.terms.insert(
                    name,
                    ClassVersion {
                        version: self.versions,
                        class: Rc::new(class),
                    },
                );
            }
            Record::Over(id) => self.owed_size -= self.owed.remove(&id).map_or(0, |owed| owed.size),
        }
    }

    fn change(&mut self, id: MessageId, size: u64, change: impl FnOnce(&mut PendingMessage)) {
        if let Some(owed) = self.owed.get_mut(&id) {
            change(owed);
            owed.size += size;
            self.owed_size += size;
        }
    }

    /// Writes what is owed to a new file and puts that in place of the old one.
    fn compact(&mut self) -> io::Result<()> {
        let path = fresh_path(&self.path);
        let mut text = Vec::with_capacity(self.owed_size as usize);
        // By what they were taken under, so that each version of a class is told once; those from before journals
        // said so come before all.
        let version =
            |owed: &PendingMessage| owed.class_version.as_ref().map(|terms| terms.version);
        let mut all: Vec<(&MessageId, &PendingMessage)> = self.owed.iter().collect();
        all.sort_by_key(|(id, owed)| (version(owed), **id));
        let mut told = None;
        for (id, owed) in all {
            if let Some(terms) = owed
                .class_version
                .as_ref()
                .filter(|terms| told != Some(terms.version))
            {
                told = Some(terms.version);
                let class = Class::clone(&terms.class);
                text.extend(encode(&Record::Class(owed.accepted.class.clone(), class))?);
            }
            let past = owed
                .resend
                .map_or(0, |again| usize::from(again.past_attempt.is_some()));
            text.extend(encode(&match owed.resend {
                Some(again) => Record::TakenAgain(*id, owed.accepted.clone(), again),
                None => Record::AcceptedMessage(*id, owed.accepted.clone()),
            })?);
            for (number, attempt) in owed.attempts.iter().enumerate().skip(past) {
                text.extend(encode(&Record::Out(*id, number as u8, *attempt))?);
            }
            for (attempt, (host, outcome)) in &owed.outcomes {
                text.extend(encode(&Record::Told(
                    *id,
                    *attempt,
                    host.clone(),
                    *outcome,
                ))?);
            }
            if let Some(verdict) = owed.failure {
                text.extend(encode(&Record::Verdict(*id, verdict))?);
            }
        }
        for (name, terms) in &self.terms {
            text.extend(encode(&Record::Class(
                name.clone(),
                Class::clone(&terms.class),
            ))?);
        }
        if text.len() as u64 >= self.length {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "all that the journal holds is owed",
            ));
        }
        let mut file = self.runtime.create(&path)?;
        file.write_all(&text)
            .inspect_err(|_| drop(self.runtime.remove(&path)))?;
        self.runtime.rename(&path, &self.path)?;
        (self.file, self.length, self.torn) = (file, text.len() as u64, false);
        Ok(())
    }
}

fn fresh_path(path: &Path) -> PathBuf {
    path.with_extension("new")
}

/// A value as a record: its length and CRC-32, then its postcard text.
pub fn encode(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let text = postcard::to_extend(value, vec![0; HEAD]).map_err(io::Error::other)?;
    let (length, sum) = ((text.len() - HEAD) as u32, crc32fast::hash(&text[HEAD..]));
    let mut text = text;
    text[..4].copy_from_slice(&length.to_le_bytes());
    text[4..HEAD].copy_from_slice(&sum.to_le_bytes());
    Ok(text)
}

/// The first record of a text and its size; none if it is torn or spoilt. An error if it is whole and says nothing that
/// this program knows: a newer one wrote it, and cutting it off would lose what it owes.
pub fn decode<T: DeserializeOwned>(text: &[u8]) -> io::Result<Option<(T, usize)>> {
    let Some((length, sum)) = text.get(..HEAD).map(|head| head.split_at(4)) else {
        return Ok(None);
    };
    let number = |bytes: &[u8]| {
        bytes
            .iter()
            .rev()
            .fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
    };
    let (length, sum) = (number(length) as usize, number(sum));
    let body = text
        .get(HEAD..HEAD + length.min(LONGEST))
        .filter(|_| (1..=LONGEST).contains(&length));
    let Some(body) = body.filter(|body| crc32fast::hash(body) == sum) else {
        return Ok(None);
    };
    match postcard::from_bytes(body) {
        Ok(value) => Ok(Some((value, HEAD + length))),
        Err(_) => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "a newer version of the program wrote it",
        )),
    }
}
