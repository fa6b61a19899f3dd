//! Signals to a process.

use std::future::poll_fn;
use std::task::Poll;

use runtime::{Signal, Signals};

use super::context::ProcessContext;

/// Receives the signals of a process in the order in which they were sent.
pub struct SimulatedSignals {
    context: ProcessContext,
}

impl SimulatedSignals {
    pub(super) fn new(context: ProcessContext) -> Self {
        SimulatedSignals { context }
    }
}

impl Signals for SimulatedSignals {
    async fn next(&mut self) -> Signal {
        poll_fn(|task| {
            let mut state = self.context.state.borrow_mut();
            let Some(process) = state.processes.get_mut(&self.context.process) else {
                return Poll::Pending;
            };
            match process.pending_signals.pop_front() {
                Some(signal) => Poll::Ready(signal),
                None => {
                    process.signal_waker = Some(task.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }
}
