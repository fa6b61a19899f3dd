//! The limits that invariants check a relay against during a scenario.

use std::collections::BTreeMap;
use std::time::Duration;

/// Limits from the platform's settings, and the scenario's conditions that invariants depend on.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts per message when the scenario starts.
    pub max_attempts: usize,
    /// How long an ordering key is paused after a call that might still be running.
    pub ordering_pause: Duration,
    /// Share of its capacity (0 to 1) that a destination has when it recovers from an outage.
    pub warm_up_initial_share: f64,
    /// Time from a destination's recovery until it has its full capacity.
    pub warm_up_time: Duration,
    /// A destination counts as overloaded if its load exceeds this multiple of its capacity over `overload_window`.
    pub overload_factor: f64,
    /// Time over which a destination's load is measured, for `overload_factor`.
    pub overload_window: Duration,
    /// Time from the relay's notification until a draining or removed host must receive no new calls.
    pub drain_grace: Duration,
    /// Time from the end of a message's latency objective until its deadline.
    pub time_after_objective: Duration,
    /// Maximum size of the relay's state directory, in bytes.
    pub max_disk_bytes: u64,
    /// Calls per second that each destination can serve.
    pub capacity: BTreeMap<u16, f64>,
    /// Maximum number of calls that the relay may have in flight.
    pub max_in_flight: usize,
    /// Maximum number of messages that the relay may hold.
    pub max_queued_messages: usize,
    /// Maximum total size of the messages that the relay may hold, in bytes.
    pub max_queued_bytes: usize,
    /// Maximum size of a message without its body, in bytes.
    pub message_overhead_bytes: usize,
    /// Names and weights of the tenants; set in scenarios with several tenants.
    pub tenants: Vec<(String, u64)>,
    /// Whether data that the relay writes to a host may be lost in transit, so that the relay sends more calls than hosts
    /// receive.
    pub requests_may_vanish: bool,
    /// Destinations whose responses may reach the relay corrupted, each with the time from which this may happen.
    pub corrupted_responses: Vec<(u16, Duration)>,
    /// A class that is in the settings during a part of the run only.
    pub transient_class: Option<&'static str>,
    /// Whether each relay has its own discovery agent, which pushes host lists. If not, all relays poll one shared
    /// discovery, and polls may have to wait.
    pub discovery_is_pushed: bool,
    /// Whether undeliverable messages are recorded and resent.
    pub undeliverable_are_resent: bool,
    /// Whether the store of undeliverable messages is damaged, so that records may be lost.
    pub undeliverable_store_is_damaged: bool,
}
