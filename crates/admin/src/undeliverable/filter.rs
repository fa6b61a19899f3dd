//! The filter of records for lists and batches.

use serde::{Deserialize, Serialize};
use tenancy::Scope;
use undeliverable::{Filter, Reason};
use utoipa::ToSchema;

use super::timestamp;
use crate::auth::Principal;
use crate::problem::Problem;

/// A filter of records; all fields that are present have to match.
#[derive(Clone, Debug, Default, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RecordFilter {
    /// Only records of this destination.
    pub destination: Option<u16>,
    /// Only records of this class.
    pub class: Option<String>,
    /// Only records of messages that were given up for this reason.
    pub reason: Option<String>,
    /// Only records of this tenant.
    pub tenant: Option<String>,
    /// Only messages given up at this time or later.
    #[schema(format = DateTime)]
    pub since: Option<String>,
    /// Only messages given up before this time.
    #[schema(format = DateTime)]
    pub until: Option<String>,
    /// Only messages of which an attempt may have executed, or only those of which none may.
    pub may_have_run: Option<bool>,
}

impl RecordFilter {
    /// Converts to the store's filter, limited to records that the principal may see and, if given, to records in
    /// `state`.
    ///
    /// # Errors
    ///
    /// A [`Problem`] with status 400 if the reason is unknown or a time is malformed.
    pub fn for_principal(
        self,
        principal: &Principal,
        state: Option<String>,
    ) -> Result<Filter, Problem> {
        let time = |parameter, text: Option<String>| {
            text.map(|text| timestamp::parse(parameter, &text))
                .transpose()
        };
        Ok(Filter {
            destination: self.destination,
            class: self.class,
            reason: self.reason.as_deref().map(parse_reason).transpose()?,
            tenant: self.tenant,
            scope: scope_limit(principal),
            since: time("since", self.since)?,
            until: time("until", self.until)?,
            may_have_run: self.may_have_run,
            state,
        })
    }
}

fn parse_reason(word: &str) -> Result<Reason, Problem> {
    Reason::parse(word).ok_or_else(|| {
        let words: Vec<&str> = Reason::ALL.iter().map(|reason| reason.as_str()).collect();
        Problem::malformed(format!("reason is none of {}", words.join(", ")))
    })
}

/// The scope that limits which records the principal sees; none if the principal sees all.
fn scope_limit(principal: &Principal) -> Option<Scope> {
    (!principal.scope.covers_all()).then(|| principal.scope.clone())
}

impl From<Filter> for RecordFilter {
    fn from(filter: Filter) -> Self {
        RecordFilter {
            destination: filter.destination,
            class: filter.class,
            reason: filter.reason.map(|reason| reason.as_str().into()),
            tenant: filter.tenant,
            since: filter.since.map(timestamp::format),
            until: filter.until.map(timestamp::format),
            may_have_run: filter.may_have_run,
        }
    }
}
