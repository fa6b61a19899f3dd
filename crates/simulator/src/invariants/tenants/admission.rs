//! `admission`, `another's`: messages of a closed tenant are not accepted, and a client cannot submit for another tenant.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::tolerance::IN_FLIGHT_TOLERANCE;
use super::super::violation::Violations;
use crate::history::{History, SubmittedRequest};

/// Why a message must not be accepted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Bar {
    /// Its tenant is paused or removed.
    TenantClosed,
    /// Its client belongs to another tenant.
    Impersonated,
}

impl Bar {
    /// Name of the invariant in reports.
    fn invariant(self) -> &'static str {
        match self {
            Bar::TenantClosed => "admission",
            Bar::Impersonated => "another's",
        }
    }
}

/// Messages that must not be accepted.
#[derive(Default)]
pub(super) struct Admission {
    barred: BTreeMap<String, Bar>,
}

impl Admission {
    /// Records a request. `closed_since` is the time since which its tenant is closed; none if it is open.
    pub fn record_request(
        &mut self,
        history: &History,
        request: &SubmittedRequest,
        closed_since: Option<Duration>,
    ) {
        // Only the first request of a message counts.
        if history.messages.contains_key(&request.id) {
            return;
        }
        let is_closed = closed_since.is_some_and(|since| since + IN_FLIGHT_TOLERANCE < history.now);
        if request.is_impersonated {
            self.barred.insert(request.id.clone(), Bar::Impersonated);
        } else if is_closed {
            self.barred.insert(request.id.clone(), Bar::TenantClosed);
        }
    }

    /// Allows messages of a tenant again.
    pub fn reopen(&mut self, history: &History, tenant: &str) {
        let is_of_tenant = |id: &String| {
            let message = history.messages.get(id);
            message.is_some_and(|message| message.request.tenant == tenant)
        };
        self.barred
            .retain(|id, bar| *bar != Bar::TenantClosed || !is_of_tenant(id));
    }

    pub fn check_accepted(&self, id: &str, violations: &mut Violations) {
        if let Some(bar) = self.barred.get(id) {
            violations.report(bar.invariant(), format!("{id} is taken on"));
        }
    }

    pub fn check_call(&self, id: &str, violations: &mut Violations) {
        if self.barred.get(id) == Some(&Bar::Impersonated) {
            violations.report(Bar::Impersonated.invariant(), format!("{id} is called"));
        }
    }
}
