//! `disk`: the relay's state directory stays within its limit.

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Observation};

pub struct DiskUsage;

impl Invariant for DiskUsage {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        let Observation::DiskUsage(bytes) = observation else {
            return;
        };
        let max_bytes = history.limits.max_disk_bytes;
        if *bytes > max_bytes {
            violations.report(
                "disk",
                format!("the folder holds {bytes} bytes, {max_bytes} may be"),
            );
        }
    }
}
