//! Control of a running relay: the operators' line protocol, the metrics, and the lifecycle (starting, serving,
//! draining, handing over, stopping). It performs no I/O: sockets, clocks and signals are the relay's.

pub mod lifecycle;
pub mod metrics;
pub mod protocol;

pub use lifecycle::{ConnectionStage, Lifecycle, LifecycleEvent, LifecycleState};
pub use metrics::{HostCounts, MessageEnd, Metrics};
pub use protocol::{Command, LineError, ParsedLine};
