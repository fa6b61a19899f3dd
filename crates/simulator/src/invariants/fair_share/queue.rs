//! Tenants' shares of the queue: a tenant's message is rejected only if the tenant holds its share, or if the queue is full of
//! messages that cannot be rejected.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::tolerance::{IN_FLIGHT_MESSAGES, SETTLE_TIME};
use super::weights::Weights;
use crate::history::{History, Message};

/// Time after its last submission for which a tenant counts in the sharing of the queue.
const RECENT_SUBMISSION: Duration = Duration::from_secs(11);
/// Time within which a response is read completely.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(6);
/// A message with less time left than this may be rejected because of its deadline.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(100);

/// Upper bounds of what the relay may hold, a rejected message included.
struct QueueUse<'a> {
    /// Messages of the rejected message's tenant, and their bytes.
    own_messages: usize,
    own_bytes: usize,
    /// Messages that cannot be rejected to free capacity, and their bytes.
    fixed_messages: usize,
    fixed_bytes: usize,
    /// Tenants that may hold messages.
    tenants: BTreeSet<&'a String>,
}

/// Checks a rejected message: its tenant must hold its share, or another reason for the rejection must exist. Returns a
/// description if neither is the case.
pub(super) fn unfair_rejection(
    history: &History,
    weights: &Weights,
    last_submissions: &BTreeMap<String, Duration>,
    message: &Message,
) -> Option<String> {
    let now = history.now;
    let tenant = &message.request.tenant;
    let is_restarting = history.termination_requested_at.is_some()
        || history.excused_until(now, Duration::ZERO) > now;
    let is_late = now + MIN_REMAINING_TIME >= message.request.deadline;
    if weights.is_limited(tenant) || is_restarting || history.disk_was_full || is_late {
        return None;
    }
    let queue = queue_use(history, message);
    let shares_queue = |name: &String| {
        let last = last_submissions.get(name);
        last.is_some_and(|at| *at + RECENT_SUBMISSION >= now) || queue.tenants.contains(name)
    };
    let share = weights.share_among(tenant, now, shares_queue);
    let max_messages = history.limits.max_queued_messages * 9 / 10;
    let max_bytes = history.limits.max_queued_bytes * 9 / 10;
    let in_flight_bytes = IN_FLIGHT_MESSAGES * history.limits.message_overhead_bytes;
    let has_room = queue.fixed_messages + IN_FLIGHT_MESSAGES < max_messages
        && queue.fixed_bytes + in_flight_bytes < max_bytes;
    let fair_messages = share * max_messages as f64;
    let fair_bytes = share * max_bytes as f64;
    let is_below_share = queue.own_messages + IN_FLIGHT_MESSAGES < fair_messages as usize
        && queue.own_bytes + in_flight_bytes < fair_bytes as usize;
    let QueueUse {
        own_messages,
        fixed_messages,
        ..
    } = queue;
    let id = &message.request.id;
    (has_room && is_below_share).then(|| {
        format!(
            "{id} is refused, and {tenant} holds {own_messages} of the {fair_messages:.1} that are its part ({fixed_messages} are fixed)"
        )
    })
}

/// Computes what the relay may hold, the rejected message included.
fn queue_use<'a>(history: &'a History, rejected: &Message) -> QueueUse<'a> {
    let now = history.now;
    let size =
        |message: &Message| message.request.body.len() + history.limits.message_overhead_bytes;
    let mut queue = QueueUse {
        own_messages: 1,
        own_bytes: size(rejected),
        fixed_messages: 0,
        fixed_bytes: size(rejected),
        tenants: BTreeSet::new(),
    };
    for (id, message) in &history.messages {
        // A response that arrives slowly is not read before its end.
        let may_be_reading = message
            .delivered_at
            .is_some_and(|at| at + MAX_RESPONSE_TIME > now);
        let is_gone = message.is_finished() && !may_be_reading
            || message.is_rejected
            || message.request.deadline + SETTLE_TIME < now;
        if is_gone || *id == rejected.request.id {
            continue;
        }
        let size = size(message);
        queue.tenants.insert(&message.request.tenant);
        if may_be_reading || message.may_have_executed() || message.accepted_at.is_none() {
            queue.fixed_messages += 1;
            queue.fixed_bytes += size;
        }
        if message.request.tenant == rejected.request.tenant {
            queue.own_messages += 1;
            queue.own_bytes += size;
        }
    }
    queue
}
