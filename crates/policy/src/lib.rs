//! Decides when and where to send, hold, retry, refuse or fail each message. It does no I/O: events go in,
//! actions come out.

pub mod brain;
pub mod interface;
pub mod sharing;
pub mod state;

pub use brain::Relay;
pub use interface::{Action, Event, Settings};
pub use sharing::Sharing;
