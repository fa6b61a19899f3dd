//! `abandoned`: if a tenant is removed with its queued messages rejected, they end at once.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::violation::Violations;
use super::known_tenant::KnownTenant;
use crate::history::{History, Message};

/// Time within which the messages end.
const PROMPT_END_TIME: Duration = Duration::from_secs(1);

/// When destinations recovered from their last outage.
#[derive(Default)]
pub(super) struct Recoveries {
    /// By destination; none while it is down.
    recovered_at: BTreeMap<u16, Option<Duration>>,
}

impl Recoveries {
    pub fn record_outage(&mut self, now: Duration, destination: u16, is_down: bool) {
        let recovered_at = (!is_down).then_some(now);
        self.recovered_at.insert(destination, recovered_at);
    }

    /// When a destination recovered: zero if it was never down, none while it is down.
    fn of(&self, destination: u16) -> Option<Duration> {
        let recovered_at = self.recovered_at.get(&destination);
        recovered_at.copied().unwrap_or(Some(Duration::ZERO))
    }
}

/// Reports the first message of a removed tenant that should have ended by now.
pub(super) fn check_rejected(
    history: &History,
    tenants: &BTreeMap<String, KnownTenant>,
    recoveries: &Recoveries,
    violations: &mut Violations,
) {
    for (name, tenant) in tenants {
        let Some(rejected_since) = tenant.rejected_since else {
            continue;
        };
        for id in &history.open {
            let message = history.messages.get(id);
            let message = message.filter(|message| message.request.tenant == *name);
            let Some(message) = message else { continue };
            // Messages of an earlier tenant of this name end as the earlier tenant's specification says.
            let is_of_removed = message
                .accepted_at
                .is_some_and(|accepted_at| accepted_at < rejected_since)
                && message.submitted_at >= tenant.created_at;
            if !is_of_removed || message.calls.iter().any(|call| call.is_in_flight()) {
                continue;
            }
            // The end of a call to an unreachable destination is not observed.
            let Some(recovered_at) = recoveries.of(message.request.destination) else {
                continue;
            };
            let since = last_call_end(message).max(rejected_since).max(recovered_at);
            if history.is_past_due(since, PROMPT_END_TIME) {
                let since = since.as_secs_f64();
                return violations.report(
                    "abandoned",
                    format!("{id} of {name}, which ends at once since {since:.3}, has no end"),
                );
            }
        }
    }
}

/// When the last call of a message ended, zero if it had none.
fn last_call_end(message: &Message) -> Duration {
    let calls = message.calls.iter();
    let ends = calls.filter_map(|call| {
        let responded_at = call.response.map(|response| response.at);
        call.closed_at.max(responded_at)
    });
    ends.max().unwrap_or_default()
}
