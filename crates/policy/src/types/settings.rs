//! Settings of the policy.

use serde::{Deserialize, Serialize};

use super::ids::Micros;
use super::tenant::Tenant;

/// Whether a message may be sent again after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// The message may be executed any number of times.
    Idempotent,
    /// Hosts that remember the message's idempotency key drop repeats, for a limited time.
    Keyed {
        /// How long hosts remember the key, from the first attempt that may have been executed.
        window: Micros,
        /// True if remembered keys are shared only within a zone; false if all hosts of the destination share them.
        zone_only: bool,
    },
    /// The message must not be executed twice.
    NonIdempotent,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// A delivery within this time after the first submission has the full value.
    pub latency_objective: Micros,
    /// Multiple of the message's expected work that is added to the latency objective.
    pub objective_stretch: f64,
    /// Time from the first submission to the deadline.
    pub time_to_live: Micros,
    /// Whether a message may be sent again after it may have been executed.
    pub idempotency: Idempotency,
    /// Value of one message.
    pub value: f64,
    /// Share of the value that is left at the deadline.
    pub late_value: f64,
    /// Messages with the same ordering key are sent one at a time, in the order of arrival.
    pub is_ordered: bool,
}

/// How the value of a message decreases after its latency objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueDecay {
    #[default]
    /// Linearly, down to the late value at the deadline.
    Linear,
    /// By half with each further period of the latency objective, but not below the late value.
    Halving,
}

/// What the listed weights of hosts mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    #[default]
    /// The weights have no meaning.
    Absent,
    /// The calls per second that the route accepts from all replicas together.
    Nominal,
    /// As [`Self::Nominal`], but up to half too high or too low.
    Rough,
}

/// What a value of a load report means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Share of the allowance that is left, from 0 to 1.
    AllowanceLeft,
    /// The limit in calls per second; zero if there is none.
    LimitPerSecond,
    /// A value that the policy does not use.
    Other,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DestinationKind {
    /// The hosts of a destination are separate routes.
    pub has_host_routes: bool,
    /// Maximum number of messages in one call.
    pub max_messages_per_call: usize,
}

/// Limits and durations that the platform prescribes or guarantees.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlatformRules {
    /// Longest interval between two polls of discovery, where it is polled.
    pub max_poll_interval: Micros,
    /// Minimum share of its capacity that a destination has right after an outage.
    pub initial_capacity_share: f64,
    /// Time after an outage until a destination has its full capacity.
    pub warm_up: Micros,
    /// A destination is overloaded above this multiple of its present capacity, for [`Self::overload_duration`].
    pub overload_factor: f64,
    /// How long calls must exceed [`Self::overload_factor`] for a destination to be overloaded.
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
    /// Value of a message above its tenant's quota, as a share of its full value.
    pub over_quota_value: f64,
    /// How the value of a message decreases after its latency objective.
    pub decay: ValueDecay,
    /// Fee for each message to a host that is a separate route, by zone of the host.
    pub zone_fees: Vec<f64>,
    /// Fee for each attempt that crosses zones.
    pub cross_zone_fee: f64,
    /// Maximum number of calls in flight, which is the number of slots.
    pub max_calls: usize,
    /// Maximum number of messages in the queue, waiting or in flight.
    pub max_queued: usize,
    /// Maximum total size of the messages in the queue, in bytes; zero for no bound.
    pub max_queued_bytes: usize,
    /// Maximum number of attempts for each message.
    pub max_attempts: usize,
    /// Longest Retry-After that clients honour; zero if they are given none.
    pub max_retry_after: Micros,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Hosts may be probed without a message.
    pub can_probe: bool,
    /// Changes of the host list are received only by polling discovery.
    pub polls_discovery: bool,
    /// Number of replicas of the relay, including this one.
    pub replicas: usize,
    /// Zone of this replica.
    pub zone: u8,
    /// Meaning of the listed weights.
    pub weight_source: WeightSource,
    /// Meaning of the values in load reports, in order.
    pub report_fields: Vec<ReportField>,
    /// Limits and durations of the platform.
    pub rules: PlatformRules,
    /// Minimum time between rounds.
    pub tick: Micros,
}

impl Settings {
    /// The value of `field` in a load report; `None` if the report does not contain it.
    #[must_use]
    pub fn reported_value(&self, field: ReportField, values: &[f32]) -> Option<f64> {
        let index = self
            .report_fields
            .iter()
            .position(|known| *known == field)?;
        values.get(index).map(|value| f64::from(*value))
    }
}
