//! Tasks.

use std::future::Future;

/// A task that was started. Dropping the handle does not end the task.
pub trait Task: 'static {
    /// Ends the task at its current `await`. What the task holds is dropped soon afterwards, not by this call.
    fn abort(&self);

    /// Completes once the task has ended and what it held is dropped.
    fn join(&mut self) -> impl Future<Output = ()>;
}
