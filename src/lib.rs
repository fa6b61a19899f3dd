#![doc = include_str!("../README.md")]

pub mod brain;
pub mod interface;
mod state;
pub mod wire;

pub use brain::Relay;
pub use interface::{Action, Event, Settings};
