//! Messages by the names that clients gave them: those that arrive, those in hand, those that are over. A name is
//! its tenant's: two tenants may use the same.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use policy::types::MessageId;
use relay_events::Reply;
use tenancy::registry::name_of;
use tokio::sync::oneshot;

use crate::journal::AcceptedMessage;

/// So many messages that are over stay known by their names, each for as long as a client may ask again.
pub const KNOWN_OVER: (usize, Duration) = (4096, Duration::from_secs(30));

/// Those that were over within this are told to a process that takes over: a client waits 400 ms for its answer, and what it
/// sends once more it sends at once.
const TOLD_OVER: Duration = Duration::from_secs(1);

/// A client that waits for its answer.
type Waiting = oneshot::Sender<Reply>;

/// A message's name among those of all tenants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageName(String);

impl MessageName {
    /// The name of a message that was handed in for a tenant.
    pub fn new(tenant: &str, name: &str) -> Self {
        // The generation says nothing here.
        let tenant = name_of(tenant);
        // No tenant's name has a line break.
        MessageName(format!("{tenant}\n{name}"))
    }

    /// The name of a message that was taken on.
    pub fn of_message(taken: &AcceptedMessage) -> Self {
        MessageName::new(&taken.tenant, &taken.name)
    }
}

/// The messages of a relay by name.
#[derive(Default)]
pub struct InFlightMessages {
    /// Messages that the module has not decided on, with those who wait for the answer.
    arriving: BTreeMap<MessageId, (AcceptedMessage, Vec<Waiting>)>,
    /// Numbers of the messages in hand.
    numbers: BTreeMap<MessageName, MessageId>,
    /// Names of messages that were taken on and are over.
    recently_completed: BTreeSet<MessageName>,
    over_since: VecDeque<(Instant, MessageName)>,
}

impl InFlightMessages {
    /// Messages in hand, those that arrive among them.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Names of messages that are over and still known.
    pub fn recently_completed(&self) -> usize {
        self.recently_completed.len()
    }

    /// Answers a request for a message that is known by its name; gives the way back for one that is not.
    ///
    /// Guards against a second effect: a request with the name of a message that is over brings nothing new.
    pub fn answer_duplicate(&mut self, name: &MessageName, reply: Waiting) -> Option<Waiting> {
        // Sent once more on another connection: it is in hand already.
        if let Some(id) = self.numbers.get(name) {
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

    /// Whether a message of this name is in hand.
    pub fn contains(&self, name: &MessageName) -> bool {
        self.numbers.contains_key(name)
    }

    /// A new message, on which the module is to decide.
    pub fn add_arriving(&mut self, id: MessageId, taken: AcceptedMessage, reply: Waiting) {
        self.numbers.insert(MessageName::of_message(&taken), id);
        self.arriving.insert(id, (taken, vec![reply]));
    }

    /// The module did not take a message on; none if it did before.
    pub fn reject_arriving(&mut self, id: MessageId, reply: &Reply) -> Option<AcceptedMessage> {
        let (taken, replies) = self.arriving.remove(&id)?;
        self.numbers.remove(&MessageName::of_message(&taken));
        replies
            .into_iter()
            .for_each(|waiting| drop(waiting.send(reply.clone())));
        Some(taken)
    }

    /// Names of messages that were over lately, the last one first, for another process.
    pub fn recently_completed_names(&self, now: Instant) -> Vec<String> {
        let recent = self
            .over_since
            .iter()
            .rev()
            .take_while(|(since, _)| now - *since <= TOLD_OVER);
        recent.map(|(_, name)| name.0.clone()).collect()
    }

    /// The same, told by another process.
    pub fn restore_completed(&mut self, now: Instant, names: Vec<String>) {
        names
            .into_iter()
            .rev()
            .for_each(|name| self.complete(now, MessageName(name)));
    }

    /// The messages that the module has kept, with those who wait to hear so.
    pub fn take_arriving(&mut self) -> BTreeMap<MessageId, (AcceptedMessage, Vec<Waiting>)> {
        std::mem::take(&mut self.arriving)
    }

    /// A message from before a restart.
    pub fn insert_restored(&mut self, id: MessageId, taken: &AcceptedMessage) {
        self.numbers.insert(MessageName::of_message(taken), id);
    }

    /// A message that was not taken on after all.
    pub fn remove(&mut self, name: &MessageName) {
        self.numbers.remove(name);
    }

    /// A message that was taken on is over; its name is kept for a while.
    pub fn complete(&mut self, now: Instant, name: MessageName) {
        self.numbers.remove(&name);
        let (most, span) = KNOWN_OVER;
        let old = |(since, _): &(Instant, MessageName)| now - *since > span;
        while self.over_since.len() >= most || self.over_since.front().is_some_and(old) {
            let Some((_, gone)) = self.over_since.pop_front() else {
                break;
            };
            self.recently_completed.remove(&gone);
        }
        if self.recently_completed.insert(name.clone()) {
            self.over_since.push_back((now, name));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn name(number: usize) -> MessageName {
        MessageName::new("acme", &format!("m{number}"))
    }

    /// However many messages end within a second, a client that sends one of them once more is known to the next process.
    #[test]
    fn a_process_that_takes_over_knows_all_that_was_over_within_a_second() {
        let (mut old, mut new, start) = (
            InFlightMessages::default(),
            InFlightMessages::default(),
            Instant::now(),
        );
        old.complete(start, name(0));
        let now = start + TOLD_OVER + Duration::from_millis(1);
        (1..=2000).for_each(|number| old.complete(now, name(number)));
        new.restore_completed(now, old.recently_completed_names(now));
        assert_eq!(new.recently_completed(), 2000, "the first one is older");
        for number in [1, 257, 2000] {
            let (reply, mut answer) = oneshot::channel();
            assert!(new.answer_duplicate(&name(number), reply).is_none());
            assert_eq!(answer.try_recv(), Ok(Reply::Ok));
        }
        assert_eq!(
            old.recently_completed_names(now)[0],
            name(2000).0,
            "the last one comes first"
        );
    }
}
