//! Whether a process lives, and when a kill is to strike within what it does. Files of pages are written from other
//! threads too, so that this is shared.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

const NEVER: u64 = u64::MAX;

/// What an effect of a process comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Done,
    /// The kill strikes within this one.
    Dies,
    /// It is dead already.
    Dead,
}

/// A process's life.
#[derive(Debug)]
pub(super) struct Life {
    dead: AtomicBool,
    /// What it has done to the world so far: writes, connections, file operations.
    effects: AtomicU64,
    kill_at: AtomicU64,
}

impl Default for Life {
    fn default() -> Self {
        Life {
            dead: AtomicBool::new(false),
            effects: AtomicU64::new(0),
            kill_at: AtomicU64::new(NEVER),
        }
    }
}

impl Life {
    pub fn alive(&self) -> bool {
        !self.dead.load(Ordering::SeqCst)
    }

    pub fn end(&self) {
        self.dead.store(true, Ordering::SeqCst);
    }

    /// A kill is due within an effect to come.
    pub fn kill_is_due(&self) -> bool {
        self.kill_at.load(Ordering::SeqCst) != NEVER
    }

    /// The kill strikes after so many more effects.
    pub fn kill_after(&self, effects: u64) {
        self.kill_at.store(
            self.effects.load(Ordering::SeqCst) + 1 + effects,
            Ordering::SeqCst,
        );
    }

    pub fn step(&self) -> Step {
        if !self.alive() {
            return Step::Dead;
        }
        let effects = self.effects.fetch_add(1, Ordering::SeqCst) + 1;
        if self.kill_at.load(Ordering::SeqCst) <= effects {
            self.end();
            return Step::Dies;
        }
        Step::Done
    }
}
