//! The control socket: operators connect, send one command and get one reply.
//!
//! [`shared_state`] holds the state that the parts of the relay share, [`commands`] executes operators' commands,
//! [`server`] accepts connections, and [`connection`] serves one of them. The protocol is defined in the crate `control`.

mod commands;
mod connection;
mod connection_slots;
mod server;
mod shared_state;

pub use server::{serve_operators, SOCKETS};
pub use shared_state::{message_end_for_failure, message_end_for_reply, ConnectionPolicy, Control};
