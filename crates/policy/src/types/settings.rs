//! Settings of the policy.

use serde::{Deserialize, Serialize};

use super::ids::Micros;
use super::tenant::Tenant;

/// Whether a message may be sent again after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// Hosts that know its idempotency key drop repeats, for a while.
    Keyed {
        /// How long hosts remember the key, from the first attempt that may have been executed.
        window: Micros,
        /// True if only hosts of one zone share the memory; false if all of the destination do.
        zone_only: bool,
    },
    /// It must not be executed twice.
    NonIdempotent,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// A delivery within this time from the first submission has the full value.
    pub latency_objective: Micros,
    /// The latency objective grows by this many times the message's own expected work.
    pub objective_stretch: f64,
    /// Time to the deadline, from the first submission.
    pub time_to_live: Micros,
    /// Whether a message may be sent again.
    pub idempotency: Idempotency,
    /// Value of one message.
    pub value: f64,
    /// Share of the value that is left at the deadline.
    pub late_value: f64,
    /// Messages with the same ordering key are sent one at a time, in the order of their arrival.
    pub is_ordered: bool,
}

/// How the value of a message falls after its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueDecay {
    #[default]
    /// Linearly, down to the late value at the deadline.
    Linear,
    /// By half with each further latency objective, not below the late value.
    Halving,
}

/// What the listed weights of hosts mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    #[default]
    /// Nothing.
    Absent,
    /// The calls a second that the route takes from all replicas.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// What a value of a load report means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Share of the allowance that is left, from 0 to 1.
    AllowanceLeft,
    /// The limit in calls a second; zero where there is none.
    LimitPerSecond,
    /// A value that the policy does not use.
    Other,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DestinationKind {
    /// The hosts of a destination are separate routes.
    pub has_host_routes: bool,
    /// Messages that may share one call.
    pub max_messages_per_call: usize,
}

/// The platform's rules in figures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlatformRules {
    /// Where discovery is polled: longest interval between two polls.
    pub max_poll_interval: Micros,
    /// Share of its capacity that a destination has at least when it is back from an outage.
    pub initial_capacity_share: f64,
    /// Time after which it has all of its capacity.
    pub warm_up: Micros,
    /// It is overloaded above this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_duration: Micros,
    /// How long an ordering key is blocked after an attempt that may still be running.
    pub ordering_delay: Micros,
}

/// Settings of the policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Classes of message, by index.
    pub classes: Vec<Class>,
    /// Kinds of destination, by index.
    pub kinds: Vec<DestinationKind>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a message over its tenant's quota, as a share of its full value.
    pub over_quota_value: f64,
    /// How the value of a message falls after its latency objective.
    pub decay: ValueDecay,
    /// Fee by zone for each message to a host that is a separate route.
    pub zone_fees: Vec<f64>,
    /// Fee for each attempt that crosses zones.
    pub cross_zone_fee: f64,
    /// Calls in flight at most.
    pub max_calls: usize,
    /// Messages in the queue at most, waiting or in flight.
    pub max_queued: usize,
    /// Bytes of these messages at most; zero where nothing bounds them.
    pub max_queued_bytes: usize,
    /// Attempts for each message at most.
    pub max_attempts: usize,
    /// The longest Retry-After that clients heed; zero if they are given none.
    pub max_retry_after: Micros,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Hosts may be probed.
    pub can_probe: bool,
    /// Changes of the list of hosts come only when discovery is polled.
    pub polls_discovery: bool,
    /// Replicas of the relay, this one included.
    pub replicas: usize,
    /// Zone of this replica.
    pub zone: u8,
    /// Meaning of the listed weights.
    pub weight_source: WeightSource,
    /// Meaning of the values in load reports, in order.
    pub report_fields: Vec<ReportField>,
    /// The platform's rules.
    pub rules: PlatformRules,
    /// Least time between rounds.
    pub tick: Micros,
}

impl Settings {
    /// The value of a field in a load report, if it has one.
    #[must_use]
    pub fn reported_value(&self, field: ReportField, values: &[f32]) -> Option<f64> {
        let index = self
            .report_fields
            .iter()
            .position(|known| *known == field)?;
        values.get(index).map(|value| f64::from(*value))
    }
}
