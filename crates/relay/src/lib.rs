//! The relay: what clients hand in goes to hosts as the decision module says, and a journal keeps what is owed.
//!
//! [`run`] is one process's whole life. All that it takes from its system goes through
//! [`madderpitch_seam::System`].

mod classes;
mod clients;
mod config;
mod control;
mod directory;
mod discovery;
mod driver;
mod feed;
mod hand;
mod hosts;
mod journal;
mod levels;
mod life;
mod memory;
mod operator;
mod ownership;
#[cfg(test)]
mod stored_format_tests;
mod tenants;
mod trace;
mod undeliverable;

pub use life::run;
