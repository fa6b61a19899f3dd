//! Signals.

use std::future::Future;

/// A signal that the relay handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Stop gracefully: SIGTERM or SIGINT.
    Stop,
    /// Read the configuration again: SIGHUP.
    Reload,
}

/// The signals sent to the process, one at a time.
pub trait Signals: 'static {
    /// The next signal. No signal is lost if the future is dropped before it completes.
    fn next(&mut self) -> impl Future<Output = Signal>;
}
