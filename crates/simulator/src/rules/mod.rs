//! The rules, each in a file of its own. All are told the same, before it is booked in the facts that they share.

pub mod facts;

mod calls;
mod door;
mod drains;
mod effects;
mod ends;
mod figures;
mod kept;
mod leaving;
mod lost;
mod order;
mod process;
pub(crate) mod returns;
mod shares;
mod tenants;
mod untried;
mod waits;

use std::time::Duration;

use facts::{Facts, Seen};

/// What is under way counts for so long.
const SLACK: Duration = Duration::from_millis(50);
/// What was told less than this before a kill may not have reached the disk.
const NOT_KEPT: Duration = Duration::from_millis(100);

/// Breaches found: the rule's name, and what happened.
pub type Broken = Vec<(&'static str, String)>;

/// A rule, or a few that belong together.
pub trait Rule {
    /// Looks at what passed, and at what passed before.
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken);
}

/// Name of the rule that is about all relays together.
pub(crate) const NOT_PUSHED_OVER: &str = "not pushed over";

/// All rules that are about one relay. The first breach of a moment is the one that is told, so that their order is that of what says most.
#[must_use]
pub fn all() -> Vec<Box<dyn Rule>> {
    vec![
        Box::new(calls::Calls),
        Box::new(effects::Effects),
        Box::new(ends::Ends::default()),
        Box::new(drains::Drains::default()),
        Box::new(leaving::Leaving::default()),
        Box::new(waits::Waits::default()),
        Box::new(order::Order::default()),
        Box::new(process::Process),
        Box::new(lost::Lost::default()),
        Box::new(untried::Untried::default()),
        Box::new(kept::Kept::default()),
        Box::new(tenants::Tenants::default()),
        Box::new(shares::Shares::default()),
        Box::new(door::Door::default()),
        Box::new(figures::Figures::default()),
    ]
}
