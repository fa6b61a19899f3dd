//! Tasks of the tokio runtime.

use tokio::task::JoinHandle;

use crate::Task;

/// A task of the tokio runtime.
pub struct OsTask(JoinHandle<()>);

impl OsTask {
    pub(super) fn new(handle: JoinHandle<()>) -> Self {
        OsTask(handle)
    }
}

impl Task for OsTask {
    fn abort(&self) {
        self.0.abort();
    }

    async fn join(&mut self) {
        // The error of an aborted task is ignored, because that task has ended too.
        drop((&mut self.0).await);
    }
}
