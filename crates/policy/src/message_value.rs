//! The value of delivering a message as a function of the time of delivery.

use crate::queued_message::QueuedMessage;
use crate::state::DeliveryPolicy;
use crate::tuning::{DELAY_HORIZON, EARLY_OBJECTIVE_COST, SECOND};
use crate::types::{Micros, ValueDecay};

impl DeliveryPolicy {
    /// Value of a delivery at the time `at`; zero from the deadline on.
    pub(crate) fn value_at(&self, queued: &QueuedMessage, at: Micros) -> f64 {
        let class = self.class(&queued.message);
        let deadline = queued.message.deadline;
        if at >= deadline {
            return 0.0;
        }
        let late = at.saturating_sub(queued.objective_at) as f64;
        let late_span = (deadline - queued.objective_at).max(1) as f64;
        let objective = class.latency_objective.max(1) as f64;
        let share = match self.settings.decay {
            ValueDecay::Linear => 1.0 - (1.0 - class.late_value) * late / late_span,
            ValueDecay::Halving => 0.5f64.powf(late / objective).max(class.late_value),
        };
        queued.value * share
    }

    /// Value that is lost by waiting for another [`DELAY_HORIZON`], plus a small cost that grows as the latency
    /// objective approaches.
    pub(crate) fn cost_of_delay(&self, queued: &QueuedMessage) -> f64 {
        let value = self.value_at(queued, self.now);
        let time_left = queued.objective_at.saturating_sub(self.now) as f64 / SECOND as f64;
        let loss = value - self.value_at(queued, self.now + DELAY_HORIZON);
        loss + EARLY_OBJECTIVE_COST * value / (1.0 + time_left)
    }
}
