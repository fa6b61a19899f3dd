//! Who uses which message name. Hosts and the platform know a message by its name alone, so a name belongs to one message
//! among all tenants while the message is open, and for some time after that.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use policy::types::MessageId;
use tenancy::registry::tenant_name;

use crate::journal::AcceptedMessage;

/// The most completed messages whose names are remembered, to recognize duplicates.
pub const MAX_COMPLETED_NAMES: usize = 4096;
/// How long the name of a completed message is remembered: as long as a client may resubmit it.
const COMPLETED_NAME_TTL: Duration = Duration::from_secs(30);
/// Names of messages that completed within this time are handed over to the next process. A client waits 400 ms for its
/// reply and resubmits at once.
pub(super) const HANDOVER_WINDOW: Duration = Duration::from_secs(1);
/// Separates tenant and name where both are stored as one text. No tenant's name contains a line break.
const STORED_SEPARATOR: char = '\n';

/// A message's name, and the tenant whose message uses it. Names are ordered first, so that all users of a name are
/// neighbours.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageName {
    name: String,
    tenant: String,
}

impl MessageName {
    /// The name of a message that was submitted for a tenant. All generations of a tenant count as one.
    pub fn new(tenant: &str, name: &str) -> Self {
        MessageName {
            name: name.to_owned(),
            tenant: tenant_name(tenant).to_owned(),
        }
    }

    /// The name of an accepted message.
    pub fn of_message(message: &AcceptedMessage) -> Self {
        MessageName::new(&message.tenant, &message.name)
    }

    /// The stored form of the hand-over snapshot.
    pub(super) fn to_stored(&self) -> String {
        format!("{}{STORED_SEPARATOR}{}", self.tenant, self.name)
    }

    /// Reads the stored form. A text without a tenant names a message of no known tenant.
    pub(super) fn from_stored(stored: &str) -> Self {
        let (tenant, name) = stored.split_once(STORED_SEPARATOR).unwrap_or(("", stored));
        MessageName::new(tenant, name)
    }

    /// The smallest value of all users of the same name.
    fn first_user(&self) -> Self {
        MessageName::new("", &self.name)
    }
}

/// What a submission under a name is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameUse {
    /// No known message uses the name.
    Unused,
    /// The submission repeats a message that is open.
    OpenMessage(MessageId),
    /// The submission repeats a message that has ended.
    EndedMessage,
    /// A message of another tenant uses the name.
    OtherTenant,
}

/// The names of open messages and of recently ended ones.
#[derive(Default)]
pub struct MessageNames {
    open: BTreeMap<MessageName, MessageId>,
    /// Ended messages whose failure the platform has not accepted yet.
    unnotified: BTreeSet<MessageName>,
    /// Recently ended messages.
    ended: BTreeSet<MessageName>,
    /// The names in `ended` with the times of completion, oldest first.
    completions: VecDeque<(Instant, MessageName)>,
}

impl MessageNames {
    /// The number of open messages.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// The number of ended messages whose names are remembered for some time.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Determines what a submission under a name is.
    pub fn name_use(&self, name: &MessageName) -> NameUse {
        if let Some(id) = self.open.get(name) {
            return NameUse::OpenMessage(*id);
        }
        if self.unnotified.contains(name) || self.ended.contains(name) {
            return NameUse::EndedMessage;
        }
        let is_used = self.is_open(name)
            || users_in(&self.unnotified, name).next().is_some()
            || users_in(&self.ended, name).next().is_some();
        if is_used {
            NameUse::OtherTenant
        } else {
            NameUse::Unused
        }
    }

    /// Whether an open message of any tenant uses the name.
    pub fn is_open(&self, name: &MessageName) -> bool {
        self.open_users(name).next().is_some()
    }

    /// Whether a message of another tenant uses the name that is open or whose failure is still to be notified. Only
    /// versions before this check accepted such messages.
    pub fn is_shared(&self, name: &MessageName) -> bool {
        let mut users = self
            .open_users(name)
            .chain(users_in(&self.unnotified, name));
        users.any(|user| user != name)
    }

    /// Adds an open message.
    pub fn add_open(&mut self, id: MessageId, name: MessageName) {
        self.open.insert(name, id);
    }

    /// Removes an open message that was not accepted.
    pub fn remove_open(&mut self, name: &MessageName) {
        self.open.remove(name);
    }

    /// Adds an ended message whose failure the platform has not accepted yet. Its name stays in use until then.
    pub fn add_unnotified(&mut self, name: MessageName) {
        self.unnotified.insert(name);
    }

    /// Removes a message whose failure the platform has accepted.
    pub fn remove_unnotified(&mut self, name: &MessageName) {
        self.unnotified.remove(name);
    }

    /// Moves a message from the open ones to the ended ones. Names that are expired or exceed the maximum number are
    /// dropped.
    pub fn end(&mut self, now: Instant, name: MessageName) {
        self.open.remove(&name);
        self.drop_old_names(now);
        if self.ended.insert(name.clone()) {
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
            self.ended.remove(&name);
        }
    }

    /// Names of messages that ended within the hand-over window, the latest first.
    pub fn recently_ended(&self, now: Instant) -> impl Iterator<Item = &MessageName> {
        let completions = self.completions.iter().rev();
        completions
            .take_while(move |(completed_at, _)| now - *completed_at <= HANDOVER_WINDOW)
            .map(|(_, name)| name)
    }

    fn open_users<'a>(&'a self, name: &'a MessageName) -> impl Iterator<Item = &'a MessageName> {
        let users = self.open.range(name.first_user()..).map(|(user, _)| user);
        users.take_while(|user| user.name == name.name)
    }
}

/// All users of a name in a set.
fn users_in<'a>(
    users: &'a BTreeSet<MessageName>,
    name: &'a MessageName,
) -> impl Iterator<Item = &'a MessageName> {
    let users = users.range(name.first_user()..);
    users.take_while(|user| user.name == name.name)
}
