//! The index of messages by the names that clients gave them, and the clients that wait for a reply.

mod message_names;

use std::collections::BTreeMap;

use policy::types::{MessageId, Micros};
use relay_events::Reply;
use tokio::sync::oneshot;

use crate::completed_names::Repeatability;
use crate::journal::{AcceptedMessage, PendingMessage, SharedNames};

pub use message_names::MessageName;
use message_names::{MessageNames, NameUse};

/// The channel to a client that waits for its reply.
type ReplySender = oneshot::Sender<Reply>;

/// What becomes of a request, by the name of its message.
pub enum Submission {
    /// The message is new; the request is still to be answered.
    New(ReplySender),
    /// The message repeats a known one, which answers the request.
    Duplicate,
    /// A message of another tenant uses the name. This one must not be accepted, as neither a host nor the platform
    /// could tell the two apart.
    NameInUse(ReplySender),
}

/// The messages of a relay, by name.
#[derive(Default)]
pub struct InFlightMessages {
    /// Messages on which the policy has not decided, with the clients that wait for the reply.
    arriving: BTreeMap<MessageId, (AcceptedMessage, Vec<ReplySender>)>,
    names: MessageNames,
}

impl InFlightMessages {
    /// No messages in flight; `ended` has the names of those that ended before.
    pub fn new(ended: SharedNames) -> Self {
        InFlightMessages {
            arriving: BTreeMap::new(),
            names: MessageNames::new(ended),
        }
    }

    /// The number of messages in flight, arriving ones included.
    pub fn len(&self) -> usize {
        self.names.open_count()
    }

    /// The names of messages that have ended.
    pub fn ended(&self) -> &SharedNames {
        self.names.ended()
    }

    /// Answers a request whose message is in flight or recently completed. A duplicate must not be accepted, since it
    /// would be delivered a second time.
    pub fn answer_duplicate(&mut self, name: &MessageName, reply: ReplySender) -> Submission {
        match self.names.name_use(name) {
            NameUse::Unused => return Submission::New(reply),
            NameUse::OtherTenant => return Submission::NameInUse(reply),
            NameUse::EndedMessage => drop(reply.send(Reply::Ok)),
            // The client has resubmitted the message on another connection while it is in flight.
            NameUse::OpenMessage(id) => match self.arriving.get_mut(&id) {
                Some((_, replies)) => replies.push(reply),
                None => drop(reply.send(Reply::Ok)),
            },
        }
        Submission::Duplicate
    }

    /// Whether a message of this name is in flight, for any tenant.
    pub fn contains(&self, name: &MessageName) -> bool {
        self.names.is_open(name)
    }

    /// Whether a message of another tenant uses the name and is in flight, or its failure is still to be notified.
    pub fn is_name_shared(&self, name: &MessageName) -> bool {
        self.names.is_shared(name)
    }

    /// Adds a new message, on which the policy has yet to decide.
    pub fn add_arriving(&mut self, id: MessageId, message: AcceptedMessage, reply: ReplySender) {
        self.names.add_open(id, MessageName::of_message(&message));
        self.arriving.insert(id, (message, vec![reply]));
    }

    /// Sends the reply for an arriving message that the policy rejected, and returns the message. Returns `None` if the
    /// message is not among the arriving ones.
    pub fn reject_arriving(&mut self, id: MessageId, reply: &Reply) -> Option<AcceptedMessage> {
        let (message, replies) = self.arriving.remove(&id)?;
        self.names.remove_open(&MessageName::of_message(&message));
        for waiting in replies {
            drop(waiting.send(reply.clone()));
        }
        Some(message)
    }

    /// Restores the names that a process of an earlier version handed over; it did not tell whether they may be repeated.
    pub fn restore_completed(&mut self, now: Micros, names: &[String]) {
        for name in names {
            let name = MessageName::from_stored(name);
            self.complete(now, &name, Repeatability::NotRepeatable);
        }
    }

    /// Removes and returns the arriving messages with the clients that wait for the reply. Called once the rejected ones
    /// are removed, so that the policy has queued all of these.
    pub fn take_arriving(&mut self) -> BTreeMap<MessageId, (AcceptedMessage, Vec<ReplySender>)> {
        std::mem::take(&mut self.arriving)
    }

    /// Adds a message that is pending in the journal.
    pub fn insert_restored(&mut self, id: MessageId, message: &AcceptedMessage) {
        self.names.add_open(id, MessageName::of_message(message));
    }

    /// Removes a message that could not be accepted.
    pub fn remove(&mut self, name: &MessageName) {
        self.names.remove_open(name);
    }

    /// Moves a message of the journal from those in flight to those that have ended.
    pub fn complete_pending(&mut self, now: Micros, pending: &PendingMessage) {
        let name = MessageName::of_message(&pending.accepted);
        self.complete(now, &name, pending.repeatability());
    }

    /// Moves a message from those in flight to those that have ended.
    pub fn complete(&mut self, now: Micros, name: &MessageName, message: Repeatability) {
        self.names.end(now, name, message);
    }

    /// Keeps the name of a failed message in use until [`Self::notified`], as its notification goes out under it.
    pub fn await_notification(&mut self, name: MessageName) {
        self.names.add_unnotified(name);
    }

    /// The platform has accepted the notification of a failed message.
    pub fn notified(&mut self, name: &MessageName) {
        self.names.remove_unnotified(name);
    }
}

#[cfg(test)]
mod tests;
