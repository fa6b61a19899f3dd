//! Runs the whole relay on a virtual clock, injects faults that are scripted from a seed, and checks invariants.
//!
//! [`script::Script::draw`] draws a scenario from a seed, [`world::play`] plays it with the unmodified relay, and the
//! report contains the first violation of an invariant. The same seed gives the same scenario, step by step.

pub mod checker;
pub mod commands;
pub mod faults;
mod fleet_restarts;
pub mod history;
pub mod hosted;
pub mod invariants;
pub mod kept;
mod late_calls;
pub mod machine;
pub mod operated;
mod outages;
pub mod peers;
pub mod rng;
pub mod rolling;
pub mod script;
mod traffic;
pub mod vast;
pub mod world;
