//! The whole relay on a virtual clock, against faults scripted from a seed, with a checker of the rules.
//!
//! [`script::Script::draw`] makes a day from a seed, [`world::play`] plays it round the relay as it is, and the
//! report says whether a rule was broken, when and how. The same seed gives the same day, step by step.

pub mod checker;
pub mod commands;
pub mod faults;
pub mod hosted;
pub mod kept;
pub mod machine;
pub mod operated;
pub mod peers;
pub mod rng;
pub mod rolling;
pub mod rules;
pub mod script;
pub mod vast;
pub mod world;
