//! The in-memory index of pending messages: the state that results from the journal's records.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;

use policy::types::{Class, MessageId, Micros};
use relay_events::DeliveryFailure;
use tenancy::registry::tenant_name;
use undeliverable::Outcome;

use super::record::{AcceptedMessage, Attempt, Record, ResendOrigin};
use super::record_framing::encode;
use crate::completed_names::{CompletedNames, Repeatability};

/// A message that was accepted and has not been completed.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingMessage {
    /// The message as its client submitted it.
    pub accepted: AcceptedMessage,
    /// Attempts to deliver the message, by number.
    pub attempts: Vec<Attempt>,
    /// Numbers of the attempts without a record: no byte of their requests was written so far.
    unrecorded_attempts: BTreeSet<u8>,
    /// The final failure, of which the platform has not been notified yet; `None` while the message is to be delivered.
    pub failure: Option<DeliveryFailure>,
    /// The origin of a resent message; `None` for any other message.
    pub resend: Option<ResendOrigin>,
    /// Hosts of attempts and how the attempts ended, by the attempt's number.
    pub outcomes: BTreeMap<u8, (String, Outcome)>,
    /// The definition of the message's class when it was accepted; `None` for a message from a version of the program
    /// that did not record classes.
    pub class_version: Option<ClassVersion>,
    /// Whether a response has reported the message as delivered.
    pub delivery: DeliveryState,
    /// Bytes of the message's records.
    size: u64,
}

/// Whether a response has reported a pending message as delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryState {
    /// No response has.
    NotReported,
    /// A response has that is not confirmed yet. The file holds the end of the message, so that no other process delivers
    /// it again.
    Provisional,
    /// A response had that turned out to belong to another call. The file holds the message again.
    Reopened,
}

/// The definition of a class that was in force when a message was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassVersion {
    /// Increases with each declaration in the journal.
    version: u64,
    /// The definition, shared by the messages of this version.
    pub class: Rc<Class>,
}

impl PendingMessage {
    fn new(
        accepted: AcceptedMessage,
        resend: Option<ResendOrigin>,
        class_version: Option<ClassVersion>,
        size: u64,
    ) -> Self {
        let past_attempt = resend.and_then(|origin| origin.past_attempt);
        PendingMessage {
            accepted,
            attempts: past_attempt.into_iter().collect(),
            unrecorded_attempts: BTreeSet::new(),
            failure: None,
            resend,
            outcomes: BTreeMap::new(),
            class_version,
            delivery: DeliveryState::NotReported,
            size,
        }
    }

    /// The number of attempts that are part of the origin of a resent message and have no record of their own.
    fn inherited_attempts(&self) -> usize {
        let past_attempt = self.resend.and_then(|origin| origin.past_attempt);
        usize::from(past_attempt.is_some())
    }

    /// Adds an attempt, and removes any with the same or a higher number. Missing lower numbers are filled with attempts
    /// that have no record.
    fn put_attempt(&mut self, number: u8, attempt: Attempt) {
        let missing = self.attempts.len().min(usize::from(number)) as u8..number;
        self.truncate_attempts(number);
        let unsent = attempt.not_executed();
        self.attempts.resize(usize::from(number), unsent);
        self.attempts.push(attempt);
        self.unrecorded_attempts.extend(missing);
    }

    /// Adds an attempt that has no record and was not executed, like [`Self::put_attempt`].
    fn put_unrecorded_attempt(&mut self, number: u8, attempt: Attempt) {
        self.put_attempt(number, attempt.not_executed());
        self.unrecorded_attempts.insert(number);
    }

    /// Removes the attempts with this number or a higher one.
    fn truncate_attempts(&mut self, number: u8) {
        self.attempts.truncate(usize::from(number));
        self.unrecorded_attempts.retain(|other| *other < number);
    }

    /// Whether the journal has a record of an attempt.
    pub(super) fn has_record_of(&self, number: u8) -> bool {
        usize::from(number) < self.attempts.len() && !self.unrecorded_attempts.contains(&number)
    }

    /// Whether a response that is not confirmed may end the message: not after it has failed or was reopened, and not if
    /// it is a resend, whose end needs a confirmed response.
    pub fn may_end_provisionally(&self) -> bool {
        let is_open = self.failure.is_none() && self.resend.is_none();
        is_open && self.delivery == DeliveryState::NotReported
    }

    /// Adds the name of a message that has ended. A failed one may come again if it surely has not run, or if it may be
    /// repeated.
    pub(super) fn add_name(&self, names: &mut CompletedNames, now: Micros) {
        let may_come_again = match self.failure {
            None => false,
            Some(DeliveryFailure::Deferred(_)) => true,
            Some(DeliveryFailure::Undeliverable) => {
                self.repeatability() == Repeatability::Repeatable
            }
        };
        if may_come_again {
            return;
        }
        let tenant = tenant_name(&self.accepted.tenant);
        names.insert(now, tenant, &self.accepted.name, self.repeatability());
    }

    /// Whether the message may be delivered again. A message without a definition of its class may not.
    pub fn repeatability(&self) -> Repeatability {
        let class = self.class_version.as_ref();
        class.map_or(Repeatability::NotRepeatable, |version| {
            Repeatability::from(&version.class.idempotency)
        })
    }

    fn version(&self) -> Option<u64> {
        self.class_version.as_ref().map(|class| class.version)
    }

    /// Appends the records from which this message can be restored.
    fn encode_records(&self, id: MessageId, snapshot: &mut Vec<u8>) -> io::Result<()> {
        let message = self.accepted.clone();
        snapshot.extend(encode(&match self.resend {
            Some(origin) => Record::ResendAccepted {
                id,
                message,
                origin,
            },
            None => Record::MessageAccepted { id, message },
        })?);
        let attempts = self.attempts.iter().enumerate();
        for (number, attempt) in attempts.skip(self.inherited_attempts()) {
            if !self.has_record_of(number as u8) {
                continue;
            }
            snapshot.extend(encode(&Record::AttemptStarted {
                id,
                number: number as u8,
                attempt: *attempt,
            })?);
        }
        for (number, (host, outcome)) in &self.outcomes {
            snapshot.extend(encode(&Record::HostOutcome {
                id,
                number: *number,
                host: host.clone(),
                outcome: *outcome,
            })?);
        }
        if let Some(failure) = self.failure {
            snapshot.extend(encode(&Record::DeliveryFailed { id, failure })?);
        }
        Ok(())
    }
}

/// All pending messages, and the class definitions that are in force.
pub(super) struct PendingIndex {
    messages: BTreeMap<MessageId, PendingMessage>,
    /// Bytes of the records of all pending messages.
    size: u64,
    /// Classes in force, by name.
    classes: BTreeMap<String, ClassVersion>,
    last_class_version: u64,
    next_id: MessageId,
}

impl PendingIndex {
    pub(super) fn new() -> Self {
        PendingIndex {
            messages: BTreeMap::new(),
            size: 0,
            classes: BTreeMap::new(),
            last_class_version: 0,
            next_id: 1,
        }
    }

    pub(super) fn messages(&self) -> &BTreeMap<MessageId, PendingMessage> {
        &self.messages
    }

    pub(super) fn get(&self, id: MessageId) -> Option<&PendingMessage> {
        self.messages.get(&id)
    }

    pub(super) fn size(&self) -> u64 {
        self.size
    }

    /// Returns an identifier that no message in the journal has.
    pub(super) fn next_id(&mut self) -> MessageId {
        let id = self.next_id;
        self.next_id += 1;
        id
    }

    /// Removes the classes that are not in `declared`.
    pub(super) fn retain_classes(&mut self, declared: &BTreeMap<&String, &Class>) {
        self.classes.retain(|name, _| declared.contains_key(name));
    }

    /// Whether a class is in force with exactly this definition.
    pub(super) fn has_class(&self, name: &str, class: &Class) -> bool {
        self.classes
            .get(name)
            .is_some_and(|known| *known.class == *class)
    }

    /// Applies a record that takes `size` bytes in the file.
    pub(super) fn apply(&mut self, record: Record, size: u64) {
        match record {
            Record::MessageAccepted { id, message } => self.insert(id, message, None, size),
            Record::ResendAccepted {
                id,
                message,
                origin,
            } => self.insert(id, message, Some(origin), size),
            Record::AttemptStarted {
                id,
                number,
                attempt,
            } => self.update(id, size, |pending| pending.put_attempt(number, attempt)),
            Record::AttemptEnded {
                id,
                number,
                may_have_executed,
            } => self.update(id, 0, |pending| {
                if let Some(attempt) = pending.attempts.get_mut(usize::from(number)) {
                    attempt.may_have_executed = may_have_executed;
                }
            }),
            Record::AttemptDiscarded { id, number } => self.update(id, 0, |pending| {
                pending.truncate_attempts(number);
                pending.outcomes.remove(&number);
            }),
            Record::HostOutcome {
                id,
                number,
                host,
                outcome,
            } => self.update(id, size, |pending| {
                pending.outcomes.insert(number, (host, outcome));
            }),
            Record::DeliveryFailed { id, failure } => {
                self.update(id, size, |pending| pending.failure = Some(failure));
            }
            Record::MessageCompleted { id } | Record::MessageWithdrawn { id } => self.remove(id),
            // The journal keeps the names.
            Record::NamesCompleted { .. } => {}
            Record::ClassDeclared { name, class } => self.declare_class(name, class),
        }
    }

    /// Sets whether a response has reported a message as delivered.
    pub(super) fn set_delivery(&mut self, id: MessageId, delivery: DeliveryState) {
        self.update(id, 0, |pending| pending.delivery = delivery);
    }

    /// Adds an attempt without a record in the file.
    pub(super) fn put_unrecorded_attempt(&mut self, id: MessageId, number: u8, attempt: Attempt) {
        self.update(id, 0, |pending| {
            pending.put_unrecorded_attempt(number, attempt);
        });
    }

    fn insert(
        &mut self,
        id: MessageId,
        message: AcceptedMessage,
        origin: Option<ResendOrigin>,
        size: u64,
    ) {
        self.next_id = self.next_id.max(id + 1);
        self.size += size;
        let class_version = self.classes.get(&message.class).cloned();
        let pending = PendingMessage::new(message, origin, class_version, size);
        self.messages.insert(id, pending);
    }

    fn update(&mut self, id: MessageId, size: u64, change: impl FnOnce(&mut PendingMessage)) {
        if let Some(pending) = self.messages.get_mut(&id) {
            change(pending);
            pending.size += size;
            self.size += size;
        }
    }

    fn remove(&mut self, id: MessageId) {
        if let Some(pending) = self.messages.remove(&id) {
            self.size -= pending.size;
        }
    }

    fn declare_class(&mut self, name: String, class: Class) {
        self.last_class_version += 1;
        let declared = ClassVersion {
            version: self.last_class_version,
            class: Rc::new(class),
        };
        self.classes.insert(name, declared);
    }

    /// Appends the shortest sequence of records that restores this index.
    ///
    /// Messages are sorted by the version of their class, so that each version is declared once. Messages without a
    /// version are first, before any declaration.
    pub(super) fn encode_into(&self, snapshot: &mut Vec<u8>) -> io::Result<()> {
        snapshot.reserve_exact(self.size as usize);
        let pending = self.messages.iter();
        let mut messages: Vec<(&MessageId, &PendingMessage)> = pending
            .filter(|(_, pending)| pending.delivery != DeliveryState::Provisional)
            .collect();
        messages.sort_by_key(|(id, pending)| (pending.version(), **id));
        let mut declared_version = None;
        for (id, pending) in messages {
            if let Some(class) = &pending.class_version {
                if declared_version != Some(class.version) {
                    declared_version = Some(class.version);
                    snapshot.extend(encode_class(&pending.accepted.class, class)?);
                }
            }
            pending.encode_records(*id, snapshot)?;
        }
        for (name, class) in &self.classes {
            snapshot.extend(encode_class(name, class)?);
        }
        Ok(())
    }
}

fn encode_class(name: &str, version: &ClassVersion) -> io::Result<Vec<u8>> {
    encode(&Record::ClassDeclared {
        name: name.to_owned(),
        class: Class::clone(&version.class),
    })
}
