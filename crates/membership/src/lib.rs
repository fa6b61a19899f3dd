//! How far the list of hosts may be believed, and when discovery is asked for it. No I/O, no clock: every question
//! comes with its moment.

mod members;
pub mod pace;

pub use members::{Members, Terms, Word, ASKED_HOLD, HOLD, OLDER_FOR};
