//! The whole relay on a virtual clock, against faults scripted from a seed, with a checker of the invariants.
//!
//! [`script::Script::draw`] makes a day from a seed, [`world::play`] plays it round the relay as it is, and the
//! report says whether an invariant was violated, when and how. The same seed gives the same day, step by step.

pub mod checker;
pub mod commands;
pub mod faults;
pub mod history;
pub mod hosted;
pub mod invariants;
pub mod kept;
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
