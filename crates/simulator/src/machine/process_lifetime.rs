//! Whether a process is alive, and the effect during which a scheduled kill takes place.
//!
//! The state is atomic because page files are also written from threads other than the scheduler's.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Value of `kill_at_effect` while no kill is scheduled.
const NO_KILL_SCHEDULED: u64 = u64::MAX;

/// The outcome of counting one effect of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EffectStep {
    /// It is carried out.
    Done,
    /// The process is killed during it.
    Killed,
    /// The process was already dead.
    Dead,
}

/// The lifetime of one process.
#[derive(Debug)]
pub(super) struct ProcessLifetime {
    is_dead: AtomicBool,
    /// Number of effects so far: writes, connections, file operations.
    effects: AtomicU64,
    /// Number of the effect during which the process is killed.
    kill_at_effect: AtomicU64,
}

impl Default for ProcessLifetime {
    fn default() -> Self {
        ProcessLifetime {
            is_dead: AtomicBool::new(false),
            effects: AtomicU64::new(0),
            kill_at_effect: AtomicU64::new(NO_KILL_SCHEDULED),
        }
    }
}

impl ProcessLifetime {
    pub fn is_alive(&self) -> bool {
        !self.is_dead.load(Ordering::SeqCst)
    }

    pub fn end(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
    }

    /// Whether a kill was scheduled at any time; it may already have taken place.
    pub fn is_kill_scheduled(&self) -> bool {
        self.kill_at_effect.load(Ordering::SeqCst) != NO_KILL_SCHEDULED
    }

    /// Schedules the kill during the next effect after `effects` further ones.
    pub fn kill_after(&self, effects: u64) {
        self.kill_at_effect.store(
            self.effects.load(Ordering::SeqCst) + 1 + effects,
            Ordering::SeqCst,
        );
    }

    /// Counts an effect, and ends the process if the kill is due during it.
    pub fn step(&self) -> EffectStep {
        if !self.is_alive() {
            return EffectStep::Dead;
        }
        let effects = self.effects.fetch_add(1, Ordering::SeqCst) + 1;
        if self.kill_at_effect.load(Ordering::SeqCst) <= effects {
            self.end();
            return EffectStep::Killed;
        }
        EffectStep::Done
    }
}
