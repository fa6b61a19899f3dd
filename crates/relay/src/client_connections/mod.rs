//! Client connections: RESP2 requests in, one reply for each, in the order of the requests.
//!
//! [`framing`] and [`request`] decode input without I/O. [`registry`] knows the open connections and decides which of
//! them is closed when capacity runs out. [`accept`] takes new connections, [`connection`] serves one of them with the
//! help of [`request_handler`], and [`lingering_close`] ends one without losing the last reply.

mod accept;
mod connection;
mod framing;
mod lingering_close;
mod registry;
mod request;
mod request_handler;

pub use accept::{accept_connections, PortSharing};
pub use lingering_close::close_lingering;
pub use registry::ClientConnections;
pub use request::Authentication;

// The control socket's type for what connections may do; named here alone.
use crate::control_socket::ConnectionPolicy;

/// Bytes that are reserved in a buffer before each read.
const READ_BUFFER_BYTES: usize = 4 << 10;
