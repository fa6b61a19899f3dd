//! The clock anchor: a file that lets the relay's clock continue from one process to the next.
//!
//! Deadlines, outages, rates and the like are stored in Unix time, as shown by the relay's clock. The wall clock may be
//! stepped at any time, so the relay reads it once per boot of the machine and from then on only counts monotonic time.
//! The anchor holds the time of the relay's clock at one reading of the machine's monotonic clock. A later process
//! reads the monotonic clock again and adds the time that has elapsed since the anchor.
//!
//! The monotonic clock restarts with each boot of the machine. After a reboot, and where there is no anchor (as after a
//! version that wrote none), the relay's clock starts at the wall clock. Time spans across that gap are then only as
//! accurate as the wall clock.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use policy::types::Micros;
use relay_events::Clock;
use runtime::{log, BootId, BootTime, Runtime};
use serde::{Deserialize, Serialize};

/// Name of the file in the state directory.
const FILE_NAME: &str = "clock";
/// Extension of the file while it is written.
const TEMPORARY_EXTENSION: &str = "new";
/// Minimum delay of the next try after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// A difference between the wall clock and the relay's clock is logged if it is larger than this.
const LOGGED_DIFFERENCE: Duration = Duration::from_secs(1);

/// The time of the relay's clock at one reading of the machine's monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClockAnchor {
    boot: String,
    monotonic_us: Micros,
    unix_us: Micros,
}

impl ClockAnchor {
    fn new(reading: BootTime, unix_us: Micros) -> Self {
        let BootId(boot) = reading.boot;
        ClockAnchor {
            boot,
            monotonic_us: reading.elapsed.as_micros() as Micros,
            unix_us,
        }
    }

    /// The time of the relay's clock at a reading, in microseconds of Unix time; `None` if the reading is of another boot
    /// or from before the anchor.
    fn unix_at(&self, reading: &BootTime) -> Option<Micros> {
        if self.boot != reading.boot.0 {
            return None;
        }
        let monotonic_us = reading.elapsed.as_micros() as Micros;
        let elapsed = monotonic_us.checked_sub(self.monotonic_us)?;
        self.unix_us.checked_add(elapsed)
    }

    fn load(runtime: &impl Runtime, folder: &Path) -> Option<Self> {
        let text = runtime.read(&folder.join(FILE_NAME)).ok()?;
        serde_json::from_slice(&text).ok()
    }
}

/// Starts the relay's clock. It continues the previous process' clock if the anchor allows that, and starts at the wall
/// clock otherwise.
pub fn start_clock<R: Runtime>(runtime: &R, folder: &Path) -> Clock<R> {
    let continued = continued_time(runtime, folder);
    let unix = continued.unwrap_or_else(|| runtime.unix_time().as_micros() as Micros);
    Clock::new(runtime.clone(), unix)
}

/// Logs a wall clock that was stepped since the relay's clock started from it.
pub fn log_difference<R: Runtime>(runtime: &R, clock: &Clock<R>) {
    let wall_clock = runtime.unix_time().as_micros() as Micros;
    let ahead = wall_clock as i64 - clock.now() as i64;
    if ahead.unsigned_abs() > LOGGED_DIFFERENCE.as_micros() as u64 {
        log!(*runtime, "clock: wall_clock_stepped ahead_us={ahead}");
    }
}

fn continued_time(runtime: &impl Runtime, folder: &Path) -> Option<Micros> {
    let reading = runtime.boot_time().ok()?;
    ClockAnchor::load(runtime, folder)?.unix_at(&reading)
}

/// Ensures that the anchor of the relay's clock is on disk before any time of that clock is stored.
pub struct AnchorFile {
    path: PathBuf,
    is_written: bool,
    retry_at: Option<Instant>,
}

impl AnchorFile {
    /// The file in a state directory that this process owns. An existing file stays unchanged if the relay's clock has
    /// continued from it.
    pub fn new(runtime: &impl Runtime, folder: &Path) -> Self {
        AnchorFile {
            path: folder.join(FILE_NAME),
            is_written: continued_time(runtime, folder).is_some(),
            retry_at: None,
        }
    }

    /// Writes the file if it is missing or of another boot, and returns whether it is in place. After a failure the next
    /// write is tried after [`RETRY_DELAY`] at the earliest.
    ///
    /// No file is needed, and none is written, on a system whose monotonic clock cannot be read.
    pub fn ensure_written<R: Runtime>(&mut self, runtime: &R, clock: &Clock<R>) -> bool {
        let now = runtime.now();
        if self.is_written || self.retry_at.is_some_and(|at| now < at) {
            return self.is_written;
        }
        match self.write(runtime, clock) {
            Ok(()) => self.is_written = true,
            Err(error) => {
                log!(*runtime, "clock: anchor_not_written error={error}");
                self.retry_at = Some(now + RETRY_DELAY);
            }
        }
        self.is_written
    }

    fn write<R: Runtime>(&self, runtime: &R, clock: &Clock<R>) -> io::Result<()> {
        let Ok(reading) = runtime.boot_time() else {
            return Ok(());
        };
        let anchor = serde_json::to_vec(&ClockAnchor::new(reading, clock.now()))?;
        let replacement = self.path.with_extension(TEMPORARY_EXTENSION);
        runtime
            .write(&replacement, &anchor)
            .and_then(|()| runtime.rename(&replacement, &self.path))
            .inspect_err(|_| drop(runtime.remove(&replacement)))
    }
}

#[cfg(test)]
mod tests;
