//! Client connections: RESP2 requests in, one reply for each, in the order of the requests.
//!
//! [`framing`] and [`request`] decode input without I/O. [`registry`] tracks the open connections and selects the one to
//! close when capacity runs out. [`accept`] accepts new connections, [`connection`] serves one connection by means of
//! [`request_handler`], and [`lingering_close`] closes a connection without losing its last reply.

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

// The submodules import this type of the control socket from here.
use crate::control_socket::ConnectionPolicy;

/// Number of bytes reserved in the buffer before each read.
const READ_BUFFER_BYTES: usize = 4 << 10;
