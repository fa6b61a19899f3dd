//! The control socket: operators connect, send one command and get one reply.
//!
//! [`shared_state`] is the state that the relay's parts share, [`commands`] executes what operators send, [`server`] accepts
//! connections, and [`connection`] serves one of them. What the bytes mean is the crate `control`'s.

mod commands;
mod connection;
mod connection_slots;
mod server;
mod shared_state;

pub use server::{serve_operators, SOCKETS};
pub use shared_state::{end_of_failure, end_of_reply, ConnectionPolicy, Control};
