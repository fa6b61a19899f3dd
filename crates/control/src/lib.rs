//! What operators say to a relay, and what it says of itself: the line protocol, the ledger of figures, and the
//! lifecycle (starting, serving, draining, handing over, stopping). No I/O: sockets, clocks and signals are the relay's.

pub mod lifecycle;
pub mod metrics;
pub mod protocol;

pub use lifecycle::{ConnectionStage, Lifecycle, LifecycleEvent, LifecycleState};
pub use metrics::{HostCounts, MessageEnd, Metrics};
pub use protocol::{Command, ParsedLine};
