//! One line for each event that the module is told and each action that it takes, for counts over a fleet.
//!
//! A line is `fleet`, the Unix time in milliseconds, a word and its values, which
//! `relay-experiments fleet` reads back. Bodies, keys and names of messages are never written.

use std::collections::BTreeMap;

use policy::types::*;
use policy::DeliveryPolicy;
use runtime::{log, Runtime};

use crate::host_directory::HostDirectory;
use crate::route_levels::Level;

/// Levels are written so often.
const LEVELS: Micros = 10_000_000;

/// Writes the lines; does nothing where the operator has not asked for them.
pub struct CallLog<R> {
    runtime: R,
    on: bool,
    /// Destinations of what is held, as an end names only its message; bounded by what is held.
    destinations: BTreeMap<MessageId, DestinationId>,
    /// When levels are next written.
    levels_at: Micros,
}

impl<R: Runtime> CallLog<R> {
    /// `on` as the operator file says.
    pub fn new(runtime: R, on: bool) -> Self {
        CallLog {
            runtime,
            on,
            destinations: BTreeMap::new(),
            levels_at: 0,
        }
    }

    /// The process has started with these settings.
    pub fn start(&self, now: Micros, settings: &Settings) {
        if self.on {
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
                now / 1000,
                rules.warm_up / 1000
            );
        }
    }

    /// A call has ended, for which a connection was opened or not.
    pub fn call(&self, now: Micros, id: MessageId, fresh: bool) {
        if self.on && fresh {
            let destination = self.destinations.get(&id).copied().unwrap_or(u16::MAX);
            log!(
                self.runtime,
                "fleet {} opened {destination} {id}",
                now / 1000
            );
        }
    }

    /// What the module is about to be told.
    pub fn events(&mut self, now: Micros, events: &[Event], directory: &HostDirectory) {
        if !self.on {
            return;
        }
        let at = now / 1000;
        for event in events {
            match event {
                Event::HostsUpdated { entries, .. } => entries.iter().for_each(|entry| {
                    let HostEntry { host, destination, state, weight, kind, .. } = entry;
                    let kind = *kind;
                    let name = directory.name_of(*host).unwrap_or_default();
                    log!(
                        self.runtime,
                        "fleet {at} list {destination} host={host} kind={kind} weight={weight} {state:?} name={name}"
                    );
                }),
                Event::MessageReceived(m) | Event::MessageRestored { message: m, .. } | Event::MessageResent { message: m, .. } => {
                    self.destinations.insert(m.id, m.destination);
                    let word = if matches!(event, Event::MessageReceived(_)) { "arrived" } else { "restored" };
                    let left = m.deadline.saturating_sub(now) / 1000;
                    log!(
                        self.runtime,
                        "fleet {at} {word} {} {} class={} left={left} again={}",
                        m.destination,
                        m.id,
                        m.class,
                        u8::from(m.is_resubmitted)
                    );
                }
                Event::AttemptEnded(end) => {
                    let destination = self.destinations.get(&end.id).copied().unwrap_or(u16::MAX);
                    let (outcome, wait) = match end.outcome {
                        AttemptOutcome::Rejected { retry_after } => ("Full".to_string(), retry_after / 1000),
                        other => (format!("{other:?}"), 0),
                    };
                    log!(
                        self.runtime,
                        "fleet {at} ended {destination} {} {outcome} wait={wait} took={} report={:?}",
                        end.id,
                        end.elapsed / 1000,
                        end.load_report
                    );
                    if end.is_final {
                        self.destinations.remove(&end.id);
                    }
                }
                Event::OutageRestored(outage) => {
                    log!(self.runtime, "fleet {at} outage {}", outage.destination);
                }
                _ => {}
            }
        }
    }

    /// Whether it is time to write how full the tables are.
    pub fn wants_levels(&mut self, now: Micros) -> bool {
        let due = self.on && now >= self.levels_at;
        self.levels_at = if due { now + LEVELS } else { self.levels_at };
        due
    }

    /// How full the tables are.
    pub fn levels(&self, now: Micros, levels: &[Level]) {
        let text: String = levels
            .iter()
            .map(|(name, has, most)| format!(" {name}={has}/{most}"))
            .collect();
        log!(self.runtime, "fleet {} levels{text}", now / 1000);
    }

    /// What the module has said.
    pub fn actions(&mut self, now: Micros, actions: &[Action], relay: &DeliveryPolicy) {
        if !self.on {
            return;
        }
        let at = now / 1000;
        for action in actions {
            let (word, id, to) = match action {
                Action::Send { id, host, .. } => ("send", id, format!(" to={host}")),
                Action::Reject { id, .. } => ("refuse", id, String::new()),
                Action::Fail(id) => ("fail", id, String::new()),
                _ => continue,
            };
            let destination = self.destinations.get(id).copied().unwrap_or(u16::MAX);
            let held = self.destinations.len();
            let standing = relay.describe_destination(destination);
            log!(
                self.runtime,
                "fleet {at} {word} {destination} {id} held={held}{to} {standing}"
            );
            if word != "send" {
                self.destinations.remove(id);
            }
        }
    }
}
