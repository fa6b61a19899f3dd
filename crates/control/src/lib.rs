//! What operators say to a relay, and what it says of itself: the line protocol, the ledger of figures, and the
//! lifecycle (starting, serving, draining, handing over, stopping). No I/O: sockets, clocks and signals are the relay's.

pub mod lifecycle;
pub mod metrics;
pub mod protocol;

pub use lifecycle::{Lifecycle, Stage, State, Told};
pub use metrics::{End, Ledger, Targets};
pub use protocol::{Call, Line};
