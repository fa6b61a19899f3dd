//! What a relay is held to on a scenario's run.

use std::collections::BTreeMap;
use std::time::Duration;

/// Limits of the platform's settings, and what the scenario lets happen, as far as invariants depend on it.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts that a message may have at the start.
    pub max_attempts: usize,
    /// How long an ordering key pauses after a call that might still be running.
    pub ordering_pause: Duration,
    /// Share of its capacity that a destination has when it returns from an outage, 0 to 1.
    pub warm_up_initial_share: f64,
    /// Time from its return until a destination has its whole capacity.
    pub warm_up_time: Duration,
    /// A destination is overloaded above this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... over this time.
    pub overload_window: Duration,
    /// Time from the relay's notification until a host that drains or is gone gets nothing new.
    pub drain_grace: Duration,
    /// Time from the end of a message's latency objective until its deadline.
    pub time_after_objective: Duration,
    /// Bytes that the relay's state directory may hold.
    pub max_disk_bytes: u64,
    /// Calls a second that each destination takes.
    pub capacity: BTreeMap<u16, f64>,
    /// Calls that the relay may have in flight.
    pub max_in_flight: usize,
    /// Messages that the relay may hold.
    pub max_queued_messages: usize,
    /// Bytes of messages that the relay may hold.
    pub max_queued_bytes: usize,
    /// Bytes that a message takes at most beside its body.
    pub message_overhead_bytes: usize,
    /// Names and weights of the tenants, in scenarios that have several.
    pub tenants: Vec<(String, u64)>,
    /// What the relay writes to a host may vanish on its way, so that it sends more calls than hosts receive.
    pub requests_may_vanish: bool,
    /// Destinations whose responses may not reach the relay as they were sent, and from when on.
    pub corrupted_responses: Vec<(u16, Duration)>,
    /// A class that is in the settings for a part of the run only.
    pub transient_class: Option<&'static str>,
    /// Lists are pushed by a discovery agent of the relay's own; if not, relays poll one discovery, and polls may
    /// wait.
    pub discovery_is_pushed: bool,
    /// Undeliverable messages are recorded and sent again.
    pub undeliverable_are_resent: bool,
    /// The store of undeliverable messages is damaged, so that records may be lost.
    pub undeliverable_store_is_damaged: bool,
}
