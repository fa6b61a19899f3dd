//! Memory use of this process, as reported by Linux.

/// A line of `/proc/self/status`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MemoryField {
    /// Current resident memory.
    Resident,
    /// Peak resident memory since the process started.
    PeakResident,
}

impl MemoryField {
    fn prefix(self) -> &'static str {
        match self {
            MemoryField::Resident => "VmRSS:",
            MemoryField::PeakResident => "VmHWM:",
        }
    }
}

/// Reads a field, in kilobytes; 0 if the system does not report it.
pub(super) fn memory_kb(field: MemoryField) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix(field.prefix()))
        .and_then(|value| {
            value
                .trim_matches(|c: char| !c.is_ascii_digit())
                .parse()
                .ok()
        })
        .unwrap_or(0)
}
