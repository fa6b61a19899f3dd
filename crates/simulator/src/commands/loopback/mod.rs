//! Relay processes on loopback sockets, shared by the demo and the measurements.

mod configuration;
mod error;
mod relay_process;
mod submission;
mod test_bed;

use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

pub use error::LoopbackError;

pub(super) use configuration::{configuration, peer_context};
pub(super) use relay_process::{RelayCommand, RelayProcess};
pub(super) use submission::{enqueue_request, submit, Submission};
pub(super) use test_bed::TestBed;

/// Maximum time until a relay is ready.
pub(super) const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time to live of a message, in milliseconds.
pub(super) const MESSAGE_TTL_MS: u64 = 8_000;
/// The one tenant of the settings.
pub(super) const TENANT: &str = "acme";
/// Number of partners in a measurement. They respond at once.
pub(super) const MEASURED_PARTNERS: u16 = 4;
/// Number of clients in a measurement. Each submits its next message a while after the last reply.
pub(super) const MEASURED_CLIENTS: u64 = 16;

/// A loopback address whose port was free at the time of the call.
pub(super) fn free_address() -> Result<SocketAddr, LoopbackError> {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .map_err(LoopbackError::NoPort)
}

/// Runs a future on its own tokio runtime. The tasks that it has spawned end with it.
pub(super) fn block_on<T, E: From<LoopbackError>>(
    future: impl Future<Output = Result<T, E>>,
) -> Result<T, E> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(LoopbackError::AsyncRuntime)?;
    tokio::task::LocalSet::new().block_on(&runtime, future)
}
