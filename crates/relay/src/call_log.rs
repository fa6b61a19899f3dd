//! The call log: one line for each event that the policy sees and each action that it takes, for statistics over a
//! fleet of relays.
//!
//! A line is `fleet`, the Unix time in milliseconds, a label and its values; `relay-experiments fleet` parses it.
//! Bodies, keys and names of messages are never written.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use policy::types::{
    Action, AttemptEnd, AttemptOutcome, DestinationId, Event, HostEntry, HostState, Message,
    MessageId, Micros, Settings,
};
use policy::DeliveryPolicy;
use runtime::{log, Runtime};

use crate::host_directory::HostDirectory;

/// How often table levels are written, in microseconds.
const LEVEL_INTERVAL: Micros = 10_000_000;
/// Microseconds in a millisecond, the unit of the lines.
const MICROS_PER_MS: Micros = 1000;
/// Stands for the destination of a message that is no longer known.
const UNKNOWN_DESTINATION: DestinationId = DestinationId::MAX;

/// How full a table is.
pub struct TableLevel {
    /// The table's name in the call log.
    pub name: &'static str,
    /// What the table holds.
    pub used: usize,
    /// The most that it may hold, in the same unit.
    pub capacity: usize,
}

/// Writes the call log; does nothing where the operator file does not ask for one.
pub struct CallLog<R> {
    runtime: R,
    is_enabled: bool,
    /// Destinations of the queued messages, as an event about a message's end has only its number. Bounded by the
    /// number of queued messages.
    destinations: BTreeMap<MessageId, DestinationId>,
    /// When levels are written next, in Unix time.
    next_levels_at: Micros,
}

impl<R: Runtime> CallLog<R> {
    /// A call log, enabled as the operator file sets it.
    pub fn new(runtime: R, is_enabled: bool) -> Self {
        CallLog {
            runtime,
            is_enabled,
            destinations: BTreeMap::new(),
            next_levels_at: 0,
        }
    }

    /// Records that the process has started with these settings.
    pub fn start(&self, now: Micros, settings: &Settings) {
        if !self.is_enabled {
            return;
        }
        let Settings {
            replicas,
            max_calls,
            max_queued,
            rules,
            ..
        } = settings;
        let discovery = if settings.polls_discovery {
            "ask"
        } else {
            "push"
        };
        log!(
            self.runtime,
            "fleet {} start siblings={replicas} slots={max_calls} held={max_queued} cold={} discovery={discovery}",
            now / MICROS_PER_MS,
            rules.warm_up / MICROS_PER_MS
        );
    }

    /// Records the end of a call, if a connection was opened for it.
    pub fn call(&self, now: Micros, id: MessageId, opened_connection: bool) {
        if self.is_enabled && opened_connection {
            let destination = self.destination_of(id);
            log!(
                self.runtime,
                "fleet {} opened {destination} {id}",
                now / MICROS_PER_MS
            );
        }
    }

    /// Records the events of a round, before the policy sees them.
    pub fn events(&mut self, now: Micros, events: &[Event], directory: &HostDirectory) {
        if !self.is_enabled {
            return;
        }
        for event in events {
            self.event(now, event, directory);
        }
    }

    fn event(&mut self, now: Micros, event: &Event, directory: &HostDirectory) {
        match event {
            Event::HostsUpdated { entries, .. } => {
                for entry in entries {
                    self.host_listed(now, entry, directory);
                }
            }
            Event::MessageReceived(message) => self.message_queued(now, "arrived", message),
            Event::MessageRestored { message, .. } | Event::MessageResent { message, .. } => {
                self.message_queued(now, "restored", message);
            }
            Event::AttemptEnded(end) => self.attempt_ended(now, end),
            Event::OutageRestored(outage) => log!(
                self.runtime,
                "fleet {} outage {}",
                now / MICROS_PER_MS,
                outage.destination
            ),
            _ => {}
        }
    }

    fn host_listed(&self, now: Micros, entry: &HostEntry, directory: &HostDirectory) {
        let HostEntry {
            host,
            destination,
            state,
            weight,
            kind,
            ..
        } = entry;
        let name = directory.name_of(*host).unwrap_or_default();
        log!(
            self.runtime,
            "fleet {} list {destination} host={host} kind={kind} weight={weight} {} name={name}",
            now / MICROS_PER_MS,
            state_label(*state)
        );
    }

    fn message_queued(&mut self, now: Micros, label: &str, message: &Message) {
        self.destinations.insert(message.id, message.destination);
        let time_left = message.deadline.saturating_sub(now) / MICROS_PER_MS;
        log!(
            self.runtime,
            "fleet {} {label} {} {} class={} left={time_left} again={}",
            now / MICROS_PER_MS,
            message.destination,
            message.id,
            message.class,
            u8::from(message.is_resubmitted)
        );
    }

    fn attempt_ended(&mut self, now: Micros, end: &AttemptEnd) {
        let destination = self.destination_of(end.id);
        let retry_after = match end.outcome {
            AttemptOutcome::Rejected { retry_after } => retry_after,
            _ => 0,
        };
        log!(
            self.runtime,
            "fleet {} ended {destination} {} {} wait={} took={} report={:?}",
            now / MICROS_PER_MS,
            end.id,
            outcome_label(end.outcome),
            retry_after / MICROS_PER_MS,
            end.elapsed / MICROS_PER_MS,
            end.load_report
        );
        if end.is_final {
            self.destinations.remove(&end.id);
        }
    }

    /// Whether table levels are to be written now; schedules the next time if so.
    pub fn wants_levels(&mut self, now: Micros) -> bool {
        let is_due = self.is_enabled && now >= self.next_levels_at;
        if is_due {
            self.next_levels_at = now + LEVEL_INTERVAL;
        }
        is_due
    }

    /// Records how full the tables are.
    pub fn levels(&self, now: Micros, levels: &[TableLevel]) {
        let text: String = levels
            .iter()
            .map(|level| format!(" {}={}/{}", level.name, level.used, level.capacity))
            .collect();
        log!(self.runtime, "fleet {} levels{text}", now / MICROS_PER_MS);
    }

    /// Records the actions of a round, before they are carried out.
    pub fn actions(&mut self, now: Micros, actions: &[Action], policy: &DeliveryPolicy) {
        if !self.is_enabled {
            return;
        }
        for action in actions {
            match action {
                Action::Send { id, host, .. } => {
                    self.action(now, "send", *id, &format!(" to={host}"), policy);
                }
                Action::Reject { id, .. } => self.message_ended(now, "refuse", *id, policy),
                Action::Fail(id) => self.message_ended(now, "fail", *id, policy),
                _ => {}
            }
        }
    }

    fn message_ended(&mut self, now: Micros, label: &str, id: MessageId, policy: &DeliveryPolicy) {
        self.action(now, label, id, "", policy);
        self.destinations.remove(&id);
    }

    fn action(
        &self,
        now: Micros,
        label: &str,
        id: MessageId,
        target: &str,
        policy: &DeliveryPolicy,
    ) {
        let destination = self.destination_of(id);
        let queued = self.destinations.len();
        let description = policy.describe_destination(destination);
        log!(
            self.runtime,
            "fleet {} {label} {destination} {id} held={queued}{target} {description}",
            now / MICROS_PER_MS
        );
    }

    fn destination_of(&self, id: MessageId) -> DestinationId {
        self.destinations
            .get(&id)
            .copied()
            .unwrap_or(UNKNOWN_DESTINATION)
    }
}

/// The label of an outcome. Tools that count over logs match it, also in logs of earlier versions.
fn outcome_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Delivered => "Ok",
        AttemptOutcome::Error => "Error",
        AttemptOutcome::Rejected { .. } => "Full",
        AttemptOutcome::Timeout => "Timeout",
        AttemptOutcome::ConnectFailed => "ConnectFailed",
        AttemptOutcome::Reset => "Reset",
        AttemptOutcome::ConnectionLost => "Dropped",
        AttemptOutcome::Cancelled => "Cancelled",
        AttemptOutcome::Obsolete => "Moot",
        AttemptOutcome::NotStarted => "NotBegun",
    }
}

/// The label of a host's state, matched like that of an outcome.
fn state_label(state: HostState) -> &'static str {
    match state {
        HostState::Ready => "Ready",
        HostState::Draining => "Draining",
        HostState::Removed => "Gone",
    }
}
