//! Whether a process is alive, and the effect within which a scheduled kill strikes.
//!
//! Page files are written from other threads than the scheduler's too, so the state is atomic.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// The effect number of a kill that is not scheduled.
const NO_KILL_SCHEDULED: u64 = u64::MAX;

/// What becomes of one effect of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EffectStep {
    /// It is carried out.
    Done,
    /// The kill strikes within it.
    Killed,
    /// The process was dead before.
    Dead,
}

/// The life of one process.
#[derive(Debug)]
pub(super) struct ProcessLifetime {
    is_dead: AtomicBool,
    /// Effects on the world so far: writes, connections, file operations.
    effects: AtomicU64,
    /// Number of the effect within which the kill strikes.
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

    /// Whether a kill was scheduled at any time; it may have struck already.
    pub fn is_kill_scheduled(&self) -> bool {
        self.kill_at_effect.load(Ordering::SeqCst) != NO_KILL_SCHEDULED
    }

    /// Schedules the kill within the effect that comes after this many more.
    pub fn kill_after(&self, effects: u64) {
        self.kill_at_effect.store(
            self.effects.load(Ordering::SeqCst) + 1 + effects,
            Ordering::SeqCst,
        );
    }

    /// Counts an effect, and ends the process if the kill is due within it.
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
