//! Selects records by their properties.

use serde::{Deserialize, Serialize};
use tenancy::Scope;

use crate::record::{Reason, Record, RecordState};
use crate::Micros;

/// Conditions on a record. It matches if it meets every condition that is set; none matches every record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// The number of its destination.
    pub destination: Option<u16>,
    /// Its class.
    pub class: Option<String>,
    /// The reason why it was given up most recently.
    pub reason: Option<Reason>,
    /// Its tenant, by name.
    pub tenant: Option<String>,
    /// The tenants that the caller may see, of which it belongs to one.
    pub scope: Option<Scope>,
    /// It was given up at this moment or later, in Unix time.
    pub since: Option<Micros>,
    /// It was given up before this moment, in Unix time.
    pub until: Option<Micros>,
    /// Whether one of its attempts may have run.
    pub may_have_run: Option<bool>,
    /// Its state, by [`RecordState::as_str`].
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

    /// The same conditions on open records alone.
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
