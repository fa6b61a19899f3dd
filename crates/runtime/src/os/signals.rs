//! Signals of the operating system.

use std::io;

use tokio::signal::unix::{signal, SignalKind};

use crate::{Signal, Signals};

/// The signals SIGHUP, SIGTERM and SIGINT.
pub struct OsSignals {
    hangup: tokio::signal::unix::Signal,
    terminate: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
}

impl OsSignals {
    /// Installs the handlers.
    pub(super) fn new() -> io::Result<Self> {
        Ok(OsSignals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

impl Signals for OsSignals {
    async fn next(&mut self) -> Signal {
        tokio::select! {
            biased;
            Some(()) = self.terminate.recv() => Signal::Stop,
            Some(()) = self.interrupt.recv() => Signal::Stop,
            Some(()) = self.hangup.recv() => Signal::Reload,
            // No handler can receive any more signals: waiting forever avoids a busy loop.
            else => std::future::pending().await,
        }
    }
}
