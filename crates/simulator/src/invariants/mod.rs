//! The invariants that every run must satisfy, one in each file. They are checked by the [`History`] alone.
//!
//! Each invariant receives every observation of its relay before the history records it. The names under which violations are
//! reported are a part of the tool's output and must not change.

mod accounted_for;
mod call_contents;
mod concurrent_calls;
mod control_socket;
mod departing_hosts;
mod disk_usage;
mod double_execution;
mod drained_relay;
mod draining_hosts;
mod fair_share;
mod invariant;
mod malformed_input;
mod max_attempts;
mod metrics;
mod notice_validity;
mod ordered_delivery;
mod process_exit;
mod recovered_messages;
mod retry_after;
pub(crate) mod returning_destinations;
mod single_effect;
mod single_end;
mod step_limit;
mod tenants;
mod termination;
mod timely_end;
mod tolerance;
mod violation;

pub use invariant::Invariant;
pub use violation::{Violation, Violations};

/// All invariants of one relay. If an observation violates several, only the first is reported, so the most informative ones
/// come first.
#[must_use]
pub fn all() -> Vec<Box<dyn Invariant>> {
    vec![
        Box::new(call_contents::CallContents),
        Box::new(concurrent_calls::ConcurrentCalls),
        Box::new(double_execution::DoubleExecution),
        Box::new(max_attempts::MaxAttempts),
        Box::new(notice_validity::NoticeValidity),
        Box::new(single_end::SingleEnd::default()),
        Box::new(draining_hosts::DrainingHosts::default()),
        Box::new(departing_hosts::DepartingHosts::default()),
        Box::new(retry_after::RetryAfter::default()),
        Box::new(ordered_delivery::OrderedDelivery::default()),
        Box::new(process_exit::ProcessExit),
        Box::new(disk_usage::DiskUsage),
        Box::new(step_limit::StepLimit),
        Box::new(malformed_input::MalformedInput),
        Box::new(termination::Termination),
        Box::new(timely_end::TimelyEnd::default()),
        Box::new(recovered_messages::RecoveredMessages::default()),
        Box::new(single_effect::SingleEffect),
        Box::new(accounted_for::AccountedFor::default()),
        Box::new(tenants::Tenants::default()),
        Box::new(fair_share::FairShare::default()),
        Box::new(drained_relay::DrainedRelay::default()),
        Box::new(control_socket::ControlSocket),
        Box::new(metrics::Metrics::default()),
    ]
}
