//! A filter that selects records by their properties.

use serde::{Deserialize, Serialize};
use tenancy::Scope;

use crate::record::{Reason, Record, RecordState};
use crate::Micros;

/// Conditions on a record. A record matches if it meets every condition that is set; an empty filter matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// The number of the message's destination.
    pub destination: Option<u16>,
    /// The message's class.
    pub class: Option<String>,
    /// Why the message was given up most recently.
    pub reason: Option<Reason>,
    /// The name of the message's tenant.
    pub tenant: Option<String>,
    /// The tenants that the caller may see; the message's tenant must be one of them.
    pub scope: Option<Scope>,
    /// The message was given up at this time or later, in Unix time.
    pub since: Option<Micros>,
    /// The message was given up before this time, in Unix time.
    pub until: Option<Micros>,
    /// Whether one of its attempts may have run.
    pub may_have_run: Option<bool>,
    /// The record's state, as given by [`RecordState::as_str`].
    pub state: Option<String>,
}

impl Filter {
    /// Whether a record meets every condition that is set.
    #[must_use]
    pub fn matches(&self, record: &Record) -> bool {
        let origin = &record.origin;
        let tenant = origin.tenant_name();
        self.destination
            .is_none_or(|wanted| wanted == origin.destination)
            && self
                .class
                .as_ref()
                .is_none_or(|wanted| *wanted == origin.class)
            && self.reason.is_none_or(|wanted| wanted == record.reason)
            && self.tenant.as_ref().is_none_or(|wanted| wanted == tenant)
            && self.scope.as_ref().is_none_or(|scope| scope.covers(tenant))
            && self.since.is_none_or(|since| record.given_up_at >= since)
            && self.until.is_none_or(|until| record.given_up_at < until)
            && self
                .may_have_run
                .is_none_or(|wanted| wanted == record.may_have_run())
            && self
                .state
                .as_ref()
                .is_none_or(|wanted| *wanted == record.state.as_str())
    }

    /// This filter, restricted to open records.
    #[must_use]
    pub fn only_open(&self) -> Self {
        Filter {
            state: Some(RecordState::Open.as_str().into()),
            ..self.clone()
        }
    }
}

#[cfg(test)]
mod tests;
