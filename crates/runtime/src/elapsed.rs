//! The error of a timeout.

use std::io;

/// A timeout elapsed before the future completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("it took too long")]
pub struct Elapsed;

impl From<Elapsed> for io::Error {
    fn from(elapsed: Elapsed) -> Self {
        io::Error::new(io::ErrorKind::TimedOut, elapsed)
    }
}
