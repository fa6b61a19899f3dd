//! What the tests of several modules share.

use std::future::Future;

/// Runs a test that spawns tasks, on one thread as the relay does.
pub(crate) fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
