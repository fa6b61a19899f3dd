//! The sub-commands of `relay-simulator`, one in each module. Each prints its result, and returns its outcome or a typed error
//! that prints as one line.

pub mod cost;
pub mod demo;
mod loopback;
mod outcome;
pub mod replay;
pub mod run;
pub mod shrink;
pub mod upgrades;

pub use loopback::LoopbackError;
pub use outcome::CommandOutcome;

use crate::script::Script;

/// Prints the faults of a script, each with its start and end.
fn print_faults(script: &Script) {
    for fault in &script.faults {
        println!(
            "from {} ms until {} ms: {:?}",
            fault.from, fault.until, fault.behavior
        );
    }
}
