//! Tenants' shares of a destination's calls and of the relay's slots.

use std::collections::BTreeMap;
use std::time::Duration;

use super::tolerance::IN_FLIGHT_MESSAGES;
use super::weights::Weights;
use crate::history::{History, Idempotency, Message};

/// Number of calls that a tenant may be behind its share at a destination: a quantum of 4, and the calls of one round.
const MAX_CALLS_BEHIND: f64 = 10.0;
/// Slot time that a tenant may be behind its share, in seconds of all slots.
const MAX_SLOT_SECONDS_BEHIND: f64 = 0.5;
/// Fewer calls than this at a destination are no evidence.
const MIN_CALLS: u64 = 40;

/// Slot time used so far.
#[derive(Clone, Copy, Default)]
struct SlotTime {
    /// Of one tenant.
    own: Duration,
    /// Of all tenants.
    all: Duration,
}

/// Progress at a destination since a tenant has continuously had messages for it.
#[derive(Clone, Copy, Default)]
struct Progress {
    own_calls: u64,
    all_calls: u64,
    /// Slot time at the start of that time.
    slot_time_before: SlotTime,
}

impl Progress {
    fn starting_with(slot_time: SlotTime) -> Self {
        Progress {
            slot_time_before: slot_time,
            ..Progress::default()
        }
    }
}

/// A tenant's sendable messages for a destination.
#[derive(Default)]
struct Backlog {
    messages: usize,
    progress: Progress,
}

#[derive(Default)]
pub(super) struct CallShares {
    /// By destination and tenant.
    backlogs: BTreeMap<(u16, String), Backlog>,
    /// Slot time of calls that have ended, by tenant.
    slot_time: BTreeMap<String, Duration>,
    /// By destination: whether it is down.
    down: BTreeMap<u16, bool>,
}

/// Whether an accepted message could be sent at once, if other messages did not hold it back.
fn is_sendable(message: &Message) -> bool {
    message.request.idempotency != Idempotency::NonIdempotent
        && message.request.ordering_key.is_none()
        && !message.is_abandoned
        && message.calls.is_empty()
        && !message.is_finished()
}

impl CallShares {
    pub fn clear_backlogs(&mut self) {
        self.backlogs.clear();
    }

    /// Restarts the counts of progress.
    pub fn restart_counts(&mut self) {
        for backlog in self.backlogs.values_mut() {
            backlog.progress = Progress::default();
        }
    }

    pub fn record_outage(&mut self, destination: u16, is_down: bool) {
        self.down.insert(destination, is_down);
        for ((at, _), backlog) in &mut self.backlogs {
            if *at == destination {
                backlog.progress = Progress::default();
            }
        }
    }

    /// Whether a destination is down.
    pub fn is_down(&self, destination: u16) -> bool {
        self.down.get(&destination).copied().unwrap_or(false)
    }

    /// Records the slot time of a tenant's call that has ended.
    pub fn record_slot_time(&mut self, tenant: &str, slot_time: Duration) {
        *self.slot_time.entry(tenant.into()).or_default() += slot_time;
    }

    /// Records that a message is accepted.
    pub fn record_accepted(&mut self, history: &History, message: &Message) {
        if !is_sendable(message) {
            return;
        }
        let tenant = message.request.tenant.clone();
        let slot_time = self.slot_time(history, &tenant);
        let key = (message.request.destination, tenant);
        let backlog = self.backlogs.entry(key).or_default();
        if backlog.messages == 0 {
            backlog.progress = Progress::starting_with(slot_time);
        }
        backlog.messages += 1;
    }

    /// Records that a message is sent, or ends without a call.
    pub fn record_left_backlog(&mut self, message: &Message) {
        if message.accepted_at.is_none() || !is_sendable(message) {
            return;
        }
        let request = &message.request;
        let key = (request.destination, request.tenant.clone());
        if let Some(backlog) = self.backlogs.get_mut(&key) {
            backlog.messages = backlog.messages.saturating_sub(1);
        }
    }

    /// Counts a call of a message, and describes the tenants that have messages for its destination and are behind.
    pub fn tenants_behind(
        &mut self,
        history: &History,
        weights: &Weights,
        message: &Message,
    ) -> Vec<String> {
        let mut behind = Vec::new();
        let destination = message.request.destination;
        // If the queue is full of messages that cannot be rejected to free capacity, they are sent first.
        let is_full =
            unsheddable(history) + IN_FLIGHT_MESSAGES > history.limits.max_queued_messages * 8 / 10;
        let is_exempt = is_full || self.is_down(destination);
        for tenant in weights.names() {
            let slot_time = self.slot_time(history, tenant);
            let key = (destination, tenant.clone());
            let Some(backlog) = self.backlogs.get_mut(&key) else {
                continue;
            };
            if backlog.messages == 0 || weights.is_limited(tenant) || is_exempt {
                backlog.progress = Progress::starting_with(slot_time);
                continue;
            }
            let progress = &mut backlog.progress;
            progress.all_calls += 1;
            progress.own_calls += u64::from(message.request.tenant == *tenant);
            let share = weights.share(tenant, history.now);
            if is_behind(history, progress, slot_time, share) {
                let Progress {
                    own_calls,
                    all_calls,
                    ..
                } = progress;
                let fair_calls = share * *all_calls as f64;
                behind.push(format!(
                    "{tenant} asked all along and got {own_calls} of {all_calls} calls to {destination}, its share is {fair_calls:.1}"
                ));
            }
        }
        behind
    }

    /// Slot time so far of one tenant and of all tenants. Calls in flight count up to now.
    fn slot_time(&self, history: &History, tenant: &str) -> SlotTime {
        let mut slot_time = SlotTime {
            own: self.slot_time.get(tenant).copied().unwrap_or_default(),
            all: self.slot_time.values().sum(),
        };
        for id in &history.open {
            let Some(message) = history.messages.get(id) else {
                continue;
            };
            let calls = message.calls.iter();
            let in_flight =
                calls.filter(|call| call.is_in_flight() && call.process == history.process);
            let so_far: Duration = in_flight.map(|call| history.now - call.last_byte_at).sum();
            slot_time.all += so_far;
            if message.request.tenant == tenant {
                slot_time.own += so_far;
            }
        }
        slot_time
    }
}

/// Whether a tenant is behind its share of both the calls and the slots.
fn is_behind(history: &History, progress: &Progress, slot_time: SlotTime, share: f64) -> bool {
    let before = progress.slot_time_before;
    let own_slots = slot_time.own.saturating_sub(before.own).as_secs_f64();
    let all_slots = slot_time.all.saturating_sub(before.all).as_secs_f64();
    let fair_calls = share * progress.all_calls as f64;
    let max_slots_behind = MAX_SLOT_SECONDS_BEHIND * history.limits.max_in_flight as f64;
    progress.all_calls >= MIN_CALLS
        && progress.own_calls as f64 + MAX_CALLS_BEHIND < fair_calls
        && own_slots + max_slots_behind < share * all_slots
}

/// Number of messages that must not be rejected to free capacity for others.
fn unsheddable(history: &History) -> usize {
    let open = history.open.iter();
    open.filter_map(|id| history.messages.get(id))
        .filter(|message| message.may_have_executed())
        .count()
}
