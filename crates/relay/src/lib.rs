//! The relay: accepts messages from clients and delivers them to hosts as the delivery policy decides. A journal
//! keeps each accepted message until it is delivered, or until the platform has accepted the notification of its failure.
//!
//! [`run`] is the complete lifecycle of one process. All access to the operating system goes through
//! [`runtime::Runtime`].

mod cached_state;
mod call_log;
mod classes;
mod client_connections;
mod clock_anchor;
mod completed_names;
mod config;
mod control_socket;
mod discovery_client;
mod event_loop;
mod host_connections;
mod host_directory;
mod in_flight;
mod journal;
mod memory_budget;
mod operator_config;
mod process;
mod state_directory;
#[cfg(test)]
mod stored_format_tests;
mod tenant_service;
#[cfg(test)]
mod test_support;
mod undeliverable_service;

pub use process::{run, RelayError};
