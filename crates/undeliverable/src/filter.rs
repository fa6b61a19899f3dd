//! Which records are meant.

use serde::{Deserialize, Serialize};
use tenancy::Scope;

use crate::record::{Reason, Record, RecordState};
use crate::Micros;

/// Records that fit all that is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// Of this partner.
    pub destination: Option<u16>,
    /// Of this class.
    pub class: Option<String>,
    /// Given up for this reason.
    pub reason: Option<Reason>,
    /// Of this tenant.
    pub tenant: Option<String>,
    /// Of tenants that whoever asks may see.
    pub scope: Option<Scope>,
    /// Given up at this moment or later.
    pub since: Option<Micros>,
    /// Given up before this moment.
    pub until: Option<Micros>,
    /// Of which an attempt may have run, or none may.
    pub may_have_run: Option<bool>,
    /// In this state, by its word.
    pub state: Option<String>,
}

impl Filter {
    /// Whether a record fits.
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

    /// The same filter, for records that wait to be sent again.
    #[must_use]
    pub fn only_open(&self) -> Self {
        Filter {
            state: Some(RecordState::Open.as_str().into()),
            ..self.clone()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Idempotency;
    use crate::test_records::{attempt, record};

    #[test]
    fn a_record_fits_if_it_fits_all_that_is_set() {
        let one = record(Idempotency::NonIdempotent, vec![attempt(1, true)]);
        let all = Filter {
            destination: Some(3),
            class: Some("payout".into()),
            reason: Some(Reason::OutOfTime),
            tenant: Some("acme".into()),
            scope: Some(Scope(vec!["zeta".into(), "ac*".into()])),
            since: Some(5_000_000),
            until: Some(5_000_001),
            may_have_run: Some(true),
            state: Some("open".into()),
        };
        assert!(Filter::default().matches(&one) && all.matches(&one));
        let others = [
            Filter {
                destination: Some(4),
                ..all.clone()
            },
            Filter {
                class: Some("event".into()),
                ..all.clone()
            },
            Filter {
                reason: Some(Reason::GivenUp),
                ..all.clone()
            },
            Filter {
                tenant: Some("acme/2".into()),
                ..all.clone()
            },
            Filter {
                scope: Some(Scope(vec!["zeta".into()])),
                ..all.clone()
            },
            Filter {
                scope: Some(Scope(Vec::new())),
                ..all.clone()
            },
            Filter {
                since: Some(5_000_001),
                ..all.clone()
            },
            Filter {
                until: Some(5_000_000),
                ..all.clone()
            },
            Filter {
                may_have_run: Some(false),
                ..all.clone()
            },
            Filter {
                state: Some("sending".into()),
                ..all.clone()
            },
        ];
        assert!(others.iter().all(|filter| !filter.matches(&one)));
    }
}
