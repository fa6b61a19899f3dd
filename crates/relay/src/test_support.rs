//! Helpers shared by the unit tests of several modules.

use std::future::Future;

/// Runs a test that spawns local tasks, on a single-threaded runtime like the relay's.
pub(crate) fn run_local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
