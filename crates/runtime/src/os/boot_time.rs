//! Readings of the monotonic clock that can be stored.

use std::io;
use std::time::Duration;

use nix::time::{clock_gettime, ClockId};

use crate::boot_time::{BootId, BootTime};

/// Contains the identifier of the current boot.
const BOOT_ID_FILE: &str = "/proc/sys/kernel/random/boot_id";

/// Reads the clock that [`std::time::Instant`] counts on.
///
/// An `Instant` has no stored form, so this is the only place that does not read the time through the standard library:
/// it makes the same call of the C library, `clock_gettime(CLOCK_MONOTONIC)`, as the standard library does.
///
/// # Errors
/// The boot's identifier cannot be read, or the system has no such clock.
pub(super) fn read() -> io::Result<BootTime> {
    let boot = std::fs::read_to_string(BOOT_ID_FILE)?;
    let elapsed = clock_gettime(ClockId::CLOCK_MONOTONIC)?;
    Ok(BootTime {
        boot: BootId(boot.trim().to_owned()),
        elapsed: Duration::from(elapsed),
    })
}
