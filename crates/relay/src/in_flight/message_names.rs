//! Who uses which message name. Hosts and the platform know a message by its name alone, so a name belongs to one message
//! among all tenants while the message is open, and for some time after that.

use std::collections::{BTreeMap, BTreeSet};

use policy::types::{MessageId, Micros};
use tenancy::registry::tenant_name;

use crate::completed_names::{NameOwner, Repeatability};
use crate::journal::{AcceptedMessage, SharedNames};

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

    /// Reads the stored form of a hand-over snapshot. A text without a tenant names a message of no known tenant.
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
    /// Messages that have ended.
    ended: SharedNames,
}

impl MessageNames {
    /// No open messages; `ended` has the names of those that ended before.
    pub fn new(ended: SharedNames) -> Self {
        MessageNames {
            ended,
            ..MessageNames::default()
        }
    }

    /// The number of open messages.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// The names of messages that have ended.
    pub fn ended(&self) -> &SharedNames {
        &self.ended
    }

    /// Determines what a submission under a name is.
    pub fn name_use(&self, name: &MessageName) -> NameUse {
        if let Some(id) = self.open.get(name) {
            return NameUse::OpenMessage(*id);
        }
        let ended = self.ended.borrow().owner(&name.tenant, &name.name);
        if self.unnotified.contains(name) || ended == Some(NameOwner::SameTenant) {
            return NameUse::EndedMessage;
        }
        let is_used = self.is_open(name)
            || users_in(&self.unnotified, name).next().is_some()
            || ended.is_some();
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

    /// Moves a message from the open ones to the ended ones.
    pub fn end(&mut self, now: Micros, name: &MessageName, message: Repeatability) {
        self.open.remove(name);
        let mut ended = self.ended.borrow_mut();
        ended.insert(now, &name.tenant, &name.name, message);
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
