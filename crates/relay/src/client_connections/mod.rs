//! Client connections: RESP2 requests in, one reply for each, in the order of the requests.
//!
//! [`framing`], [`input_buffer`] and [`request`] decode input without I/O. [`request_memory`] limits the memory of requests
//! and [`turn_limiter`] the time that one client takes from others. [`registry`] tracks the open connections and selects the one to
//! close when capacity runs out. [`accept`] accepts new connections, [`connection`] serves one connection by means of
//! [`request_handler`], and [`lingering_close`] closes a connection without losing its last reply.

mod accept;
mod connection;
mod framing;
mod input_buffer;
mod lingering_close;
mod registry;
mod report;
mod request;
mod request_handler;
mod request_memory;
mod turn_limiter;

pub use accept::{accept_connections, PortSharing};
pub use lingering_close::close_lingering;
pub use registry::ClientConnections;
pub use report::report_request_memory;
pub use request::Authentication;
pub use request_memory::RequestMemoryLimits;

// The submodules import this type of the control socket from here.
use crate::control_socket::ConnectionPolicy;
