//! The call log: one line for each event that the policy handles and each action that it takes, for statistics over a
//! fleet of relays.
//!
//! A line has the form `call_log: event time_ms=T key=value`, with `T` in Unix milliseconds. `relay-experiments fleet`
//! parses it, as well as the format of earlier versions, `fleet T label values`. Bodies, keys and names of messages are
//! never written.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use policy::types::{
    Action, AttemptEnd, AttemptOutcome, DestinationId, Event, HostEntry, HostState, Message,
    MessageId, Micros, Settings,
};
use policy::DeliveryPolicy;
use runtime::{log, Runtime};

use crate::host_connections::{CloseCounts, CloseReason};
use crate::host_directory::HostDirectory;

/// Interval between log lines with the table levels, in microseconds.
const TABLE_LEVELS_INTERVAL: Micros = 10_000_000;
/// Microseconds per millisecond, the unit of times in the log lines.
const MICROS_PER_MS: Micros = 1000;
/// Logged as the destination of a message whose destination is no longer known.
const UNKNOWN_DESTINATION: DestinationId = DestinationId::MAX;

/// The occupancy of a table.
pub struct TableLevel {
    /// The table's name in the call log.
    pub name: &'static str,
    /// Current occupancy, in the unit of the table.
    pub used: usize,
    /// Maximum occupancy, in the same unit.
    pub capacity: usize,
}

/// Writes the call log; does nothing unless the operator file enables it.
pub struct CallLog<R> {
    runtime: R,
    is_enabled: bool,
    /// Destinations of the queued messages. They are stored here because an event about the end of a message contains
    /// only the message's number. The number of queued messages limits the size of this map.
    destinations: BTreeMap<MessageId, DestinationId>,
    /// When the table levels are due next, in microseconds of Unix time.
    next_table_levels_at: Micros,
}

impl<R: Runtime> CallLog<R> {
    /// Creates a call log; `is_enabled` is the setting of the operator file.
    pub fn new(runtime: R, is_enabled: bool) -> Self {
        CallLog {
            runtime,
            is_enabled,
            destinations: BTreeMap::new(),
            next_table_levels_at: 0,
        }
    }

    /// Records that the process started with these settings.
    pub fn record_start(&self, now: Micros, settings: &Settings) {
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
            "poll"
        } else {
            "push"
        };
        log!(
            self.runtime,
            "call_log: process_started time_ms={} replicas={replicas} max_calls={max_calls} max_queued={max_queued} warm_up_ms={} discovery={discovery}",
            now / MICROS_PER_MS,
            rules.warm_up / MICROS_PER_MS
        );
    }

    /// Records the end of a call, if a connection was opened for it.
    pub fn record_call(&self, now: Micros, id: MessageId, opened_connection: bool) {
        if self.is_enabled && opened_connection {
            let destination = self.destination_of(id);
            log!(
                self.runtime,
                "call_log: connection_opened time_ms={} destination={destination} message={id}",
                now / MICROS_PER_MS
            );
        }
    }

    /// Records the events of a round. Must be called before the policy handles them.
    pub fn record_events(&mut self, now: Micros, events: &[Event], directory: &HostDirectory) {
        if !self.is_enabled {
            return;
        }
        for event in events {
            self.record_event(now, event, directory);
        }
    }

    fn record_event(&mut self, now: Micros, event: &Event, directory: &HostDirectory) {
        match event {
            Event::HostsUpdated { entries, .. } => {
                for entry in entries {
                    self.record_listed_host(now, entry, directory);
                }
            }
            Event::MessageReceived(message) => {
                self.record_queued_message(now, "message_arrived", message)
            }
            Event::MessageRestored { message, .. }
            | Event::MessageResent { message, .. }
            | Event::MessageAdopted { message, .. } => {
                self.record_queued_message(now, "message_restored", message);
            }
            Event::AttemptEnded(end) => self.record_ended_attempt(now, end),
            Event::OutageRestored(outage) => log!(
                self.runtime,
                "call_log: outage_restored time_ms={} destination={}",
                now / MICROS_PER_MS,
                outage.destination
            ),
            _ => {}
        }
    }

    fn record_listed_host(&self, now: Micros, entry: &HostEntry, directory: &HostDirectory) {
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
            "call_log: host_listed time_ms={} destination={destination} host={host} kind={kind} weight={weight} state={} name={name}",
            now / MICROS_PER_MS,
            state_label(*state)
        );
    }

    fn record_queued_message(&mut self, now: Micros, event: &str, message: &Message) {
        self.destinations.insert(message.id, message.destination);
        let time_left = message.deadline.saturating_sub(now) / MICROS_PER_MS;
        log!(
            self.runtime,
            "call_log: {event} time_ms={} destination={} message={} class={} time_left_ms={time_left} resubmitted={}",
            now / MICROS_PER_MS,
            message.destination,
            message.id,
            message.class,
            u8::from(message.is_resubmitted)
        );
    }

    fn record_ended_attempt(&mut self, now: Micros, end: &AttemptEnd) {
        let destination = self.destination_of(end.id);
        let retry_after = match end.outcome {
            AttemptOutcome::Rejected { retry_after } => retry_after,
            _ => 0,
        };
        log!(
            self.runtime,
            "call_log: attempt_ended time_ms={} destination={destination} message={} outcome={} retry_after_ms={} elapsed_ms={} report={}",
            now / MICROS_PER_MS,
            end.id,
            outcome_label(end.outcome),
            retry_after / MICROS_PER_MS,
            end.elapsed / MICROS_PER_MS,
            join_values(&end.load_report)
        );
        if end.is_final {
            self.destinations.remove(&end.id);
        }
    }

    /// Whether the table levels are due. If so, schedules the next time.
    pub fn table_levels_due(&mut self, now: Micros) -> bool {
        let is_due = self.is_enabled && now >= self.next_table_levels_at;
        if is_due {
            self.next_table_levels_at = now + TABLE_LEVELS_INTERVAL;
        }
        is_due
    }

    /// Records the occupancy of the tables.
    pub fn record_table_levels(&self, now: Micros, levels: &[TableLevel]) {
        let text: String = levels
            .iter()
            .map(|level| format!(" {}={}/{}", level.name, level.used, level.capacity))
            .collect();
        log!(
            self.runtime,
            "call_log: table_levels time_ms={}{text}",
            now / MICROS_PER_MS
        );
    }

    /// Records how many connections to hosts were closed so far, by reason.
    pub fn record_closed_connections(&self, now: Micros, counts: &CloseCounts) {
        let text: String = CloseReason::ALL
            .iter()
            .map(|reason| format!(" {}={}", reason.name(), counts.get(*reason)))
            .collect();
        log!(
            self.runtime,
            "call_log: connections_closed time_ms={}{text}",
            now / MICROS_PER_MS
        );
    }

    /// Records the actions of a round. Must be called before they are executed.
    pub fn record_actions(&mut self, now: Micros, actions: &[Action], policy: &DeliveryPolicy) {
        if !self.is_enabled {
            return;
        }
        for action in actions {
            match action {
                Action::Send { id, host, .. } => {
                    self.record_action(now, "attempt_sent", *id, &format!(" host={host}"), policy);
                }
                Action::Reject { id, .. } => {
                    self.record_ended_message(now, "message_rejected", *id, policy)
                }
                Action::Fail(id) => self.record_ended_message(now, "message_failed", *id, policy),
                _ => {}
            }
        }
    }

    fn record_ended_message(
        &mut self,
        now: Micros,
        event: &str,
        id: MessageId,
        policy: &DeliveryPolicy,
    ) {
        self.record_action(now, event, id, "", policy);
        self.destinations.remove(&id);
    }

    fn record_action(
        &self,
        now: Micros,
        event: &str,
        id: MessageId,
        target: &str,
        policy: &DeliveryPolicy,
    ) {
        let destination = self.destination_of(id);
        let queued = self.destinations.len();
        let routes = policy.describe_destination(destination);
        log!(
            self.runtime,
            "call_log: {event} time_ms={} destination={destination} message={id} queued={queued}{target} {routes}",
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

/// The label of an outcome. Tools that evaluate logs match it.
fn outcome_label(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Delivered => "delivered",
        AttemptOutcome::Error => "error",
        AttemptOutcome::Rejected { .. } => "rejected",
        AttemptOutcome::Timeout => "timeout",
        AttemptOutcome::ConnectFailed => "connect_failed",
        AttemptOutcome::Reset => "reset",
        AttemptOutcome::ConnectionLost => "connection_lost",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::Obsolete => "obsolete",
        AttemptOutcome::NotStarted => "not_started",
    }
}

/// The label of a host's state. Tools that evaluate logs match it.
fn state_label(state: HostState) -> &'static str {
    match state {
        HostState::Ready => "ready",
        HostState::Draining => "draining",
        HostState::Removed => "removed",
    }
}

/// Joins the values of a load report with commas; `-` if there are none.
fn join_values(report: &[f32]) -> String {
    if report.is_empty() {
        return "-".into();
    }
    let values: Vec<String> = report.iter().map(f32::to_string).collect();
    values.join(",")
}
