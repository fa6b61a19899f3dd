//! The handle of a spawned task.

use std::future::poll_fn;
use std::task::Poll;

use runtime::Task;

use super::scheduler::TaskId;
use super::state::SharedState;

/// Handle of a task on the machine. The task continues if the handle is dropped.
pub struct SimulatedTask {
    state: SharedState,
    id: TaskId,
}

impl SimulatedTask {
    pub(super) fn new(state: SharedState, id: TaskId) -> Self {
        SimulatedTask { state, id }
    }
}

impl Task for SimulatedTask {
    fn abort(&self) {
        self.state.borrow_mut().scheduler.abort(self.id);
    }

    async fn join(&mut self) {
        poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            if state.scheduler.has_ended(self.id, context.waker()) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }
}
