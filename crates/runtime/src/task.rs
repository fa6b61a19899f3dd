//! Tasks.

use std::future::Future;

/// The handle of a task. Dropping the handle does not end the task.
pub trait Task: 'static {
    /// Ends the task at its current `await`. The values that the task owns are dropped soon afterwards, not by this
    /// call.
    fn abort(&self);

    /// Completes once the task has ended and the values that it owned are dropped.
    fn join(&mut self) -> impl Future<Output = ()>;
}
