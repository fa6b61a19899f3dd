//! The index of messages by the names that clients gave them: arriving, in flight and recently completed. Names are
//! scoped by tenant: two tenants may use the same name.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use policy::types::MessageId;
use relay_events::Reply;
use tenancy::registry::tenant_name;
use tokio::sync::oneshot;

use crate::journal::AcceptedMessage;

/// The most completed messages whose names are remembered, to recognize duplicates.
pub const MAX_COMPLETED_NAMES: usize = 4096;
/// How long the name of a completed message is remembered: as long as a client may resubmit it.
const COMPLETED_NAME_TTL: Duration = Duration::from_secs(30);
/// Names of messages that completed within this time are handed over to the next process. A client waits 400 ms for its
/// reply and resubmits at once.
const HANDOVER_WINDOW: Duration = Duration::from_secs(1);

/// The channel to a client that waits for its reply.
type ReplySender = oneshot::Sender<Reply>;

/// A message's name, unique among all tenants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageName(String);

impl MessageName {
    /// The name of a message that was submitted for a tenant.
    pub fn new(tenant: &str, name: &str) -> Self {
        // Names are shared by all generations of a tenant.
        let tenant = tenant_name(tenant);
        // The separator is unambiguous: no tenant's name contains a line break.
        MessageName(format!("{tenant}\n{name}"))
    }

    /// The name of an accepted message.
    pub fn of_message(message: &AcceptedMessage) -> Self {
        MessageName::new(&message.tenant, &message.name)
    }
}

/// The messages of a relay, by name.
#[derive(Default)]
pub struct InFlightMessages {
    /// Messages on which the policy has not decided, with the clients that wait for the reply.
    arriving: BTreeMap<MessageId, (AcceptedMessage, Vec<ReplySender>)>,
    /// Identifiers of the messages in flight.
    ids: BTreeMap<MessageName, MessageId>,
    /// Names of recently completed messages, for the check of duplicates.
    recently_completed: BTreeSet<MessageName>,
    /// The names in `recently_completed` with the times of completion, oldest first.
    completions: VecDeque<(Instant, MessageName)>,
}

impl InFlightMessages {
    /// The number of messages in flight, arriving ones included.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// The number of completed messages whose names are remembered.
    pub fn recently_completed(&self) -> usize {
        self.recently_completed.len()
    }

    /// Answers a request whose message is in flight or recently completed. Returns the reply channel if the message is
    /// new. A duplicate must not be accepted, since it would be delivered a second time.
    pub fn answer_duplicate(
        &mut self,
        name: &MessageName,
        reply: ReplySender,
    ) -> Option<ReplySender> {
        // The client has resubmitted the message on another connection while it is in flight.
        if let Some(id) = self.ids.get(name) {
            match self.arriving.get_mut(id) {
                Some((_, replies)) => replies.push(reply),
                None => drop(reply.send(Reply::Ok)),
            }
            return None;
        }
        if self.recently_completed.contains(name) {
            drop(reply.send(Reply::Ok));
            return None;
        }
        Some(reply)
    }

    /// Whether a message of this name is in flight.
    pub fn contains(&self, name: &MessageName) -> bool {
        self.ids.contains_key(name)
    }

    /// Adds a new message, on which the policy has yet to decide.
    pub fn add_arriving(&mut self, id: MessageId, message: AcceptedMessage, reply: ReplySender) {
        self.ids.insert(MessageName::of_message(&message), id);
        self.arriving.insert(id, (message, vec![reply]));
    }

    /// Sends the reply for an arriving message that the policy rejected, and returns the message. Returns `None` if the
    /// message is not among the arriving ones.
    pub fn reject_arriving(&mut self, id: MessageId, reply: &Reply) -> Option<AcceptedMessage> {
        let (message, replies) = self.arriving.remove(&id)?;
        self.ids.remove(&MessageName::of_message(&message));
        for waiting in replies {
            drop(waiting.send(reply.clone()));
        }
        Some(message)
    }

    /// Names of messages that completed within the hand-over window, the latest first.
    pub fn recently_completed_names(&self, now: Instant) -> Vec<String> {
        let recent = self
            .completions
            .iter()
            .rev()
            .take_while(|(completed_at, _)| now - *completed_at <= HANDOVER_WINDOW);
        recent.map(|(_, name)| name.0.clone()).collect()
    }

    /// Restores the names that another process handed over, the latest first.
    pub fn restore_completed(&mut self, now: Instant, names: Vec<String>) {
        for name in names.into_iter().rev() {
            self.complete(now, MessageName(name));
        }
    }

    /// Removes and returns the arriving messages with the clients that wait for the reply. Called once the rejected ones
    /// are removed, so that the policy has queued all of these.
    pub fn take_arriving(&mut self) -> BTreeMap<MessageId, (AcceptedMessage, Vec<ReplySender>)> {
        std::mem::take(&mut self.arriving)
    }

    /// Adds a message that is pending in the journal.
    pub fn insert_restored(&mut self, id: MessageId, message: &AcceptedMessage) {
        self.ids.insert(MessageName::of_message(message), id);
    }

    /// Removes a message that could not be accepted.
    pub fn remove(&mut self, name: &MessageName) {
        self.ids.remove(name);
    }

    /// Moves a message from those in flight to those recently completed. Names that are expired or exceed the maximum
    /// number are dropped.
    pub fn complete(&mut self, now: Instant, name: MessageName) {
        self.ids.remove(&name);
        self.drop_old_names(now);
        if self.recently_completed.insert(name.clone()) {
            self.completions.push_back((now, name));
        }
    }

    /// Drops expired names, and the oldest ones until there is space for one more name.
    fn drop_old_names(&mut self, now: Instant) {
        let is_expired =
            |(completed_at, _): &(Instant, MessageName)| now - *completed_at > COMPLETED_NAME_TTL;
        while self.completions.len() >= MAX_COMPLETED_NAMES
            || self.completions.front().is_some_and(is_expired)
        {
            let Some((_, name)) = self.completions.pop_front() else {
                break;
            };
            self.recently_completed.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests;
