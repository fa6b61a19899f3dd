//! The relay: what clients hand in goes to hosts as the decision module says, and a journal keeps what is owed.
//!
//! [`run`] is one process's whole life. All that it takes from its system goes through
//! [`runtime::Runtime`].

mod cached_state;
mod call_log;
mod classes;
mod client_connections;
mod config;
mod control_socket;
mod discovery_client;
mod event_loop;
mod host_connections;
mod host_directory;
mod in_flight;
mod journal;
mod operator_config;
mod process;
mod route_levels;
mod state_directory;
#[cfg(test)]
mod stored_format_tests;
mod tenant_service;
mod undeliverable_service;

pub use process::run;
