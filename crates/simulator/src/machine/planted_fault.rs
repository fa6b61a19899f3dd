//! Faults planted between a relay and its machine, which verify that the checker detects a safeguard that does not work.

/// A fault by which the machine makes one of a relay's safeguards ineffective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// Journal records of accepted messages are not written to disk.
    DropAcceptedRecords,
    /// Journal records of attempts are not written to disk.
    DropAttemptRecords,
    /// Connections to hosts stay open when the relay closes them.
    KeepCallsOpen,
    /// Hosts that discovery lists as draining appear as up.
    HideDraining,
    /// The wait that a response requests reads as zero.
    HideBackoff,
    /// Connections to a host's address reach another host.
    MisrouteConnections,
    /// The process's clocks run at four fifths of normal speed.
    SlowClock,
    /// Notices are lost, although their writes succeed.
    DropNotifications,
    /// Changes of tenants are not written to disk.
    DropTenantChanges,
    /// A lock that another process holds is granted again.
    ShareLocks,
    /// Client connections stay open when the relay closes them.
    KeepClientsOpen,
    /// Delivery counts in the control socket's metrics read as zero.
    ZeroDeliveryMetrics,
    /// Metrics written to the control socket are lost, and none of its connections is closed.
    MuteControlSocket,
    /// Reading the configuration always returns its first content.
    StaleConfiguration,
    /// Wall and boot clocks of processes that start after the first are one minute ahead, so that every message has
    /// expired.
    ClockAhead,
}

/// Request line of a notice to the platform.
const NOTICE_REQUEST: &[u8] = b"POST /v1/notices";
/// First line of the control socket's response with metrics.
const METRICS_RESPONSE: &[u8] = b"ok figures";
/// Prefix of the metrics that count deliveries.
const DELIVERY_METRIC: &[u8] = b"relay.success.";
/// The header with which a host requests a wait, in milliseconds.
const BACKOFF_HEADER: &[u8] = b"X-Backoff-Ms: ";
/// The health of a draining host in discovery's list.
const HEALTH_DRAINING: &[u8] = b"\"draining\"";
/// The health of a usable host, padded to the same length.
const HEALTH_UP: &[u8] = b"\"up\"      ";
/// Offset of the kind in a journal record, after its length and checksum.
const RECORD_KIND_OFFSET: usize = 8;
/// Kind of the journal's record of an accepted message.
const RECORD_ACCEPTED: u8 = 0;
/// Kind of the journal's record of an attempt.
const RECORD_ATTEMPT: u8 = 1;

impl PlantedFault {
    /// Whether bytes that the affected process writes to a connection are lost, although the write succeeds.
    pub(super) fn drops_sent(self, bytes: &[u8]) -> bool {
        match self {
            PlantedFault::DropNotifications => bytes.starts_with(NOTICE_REQUEST),
            PlantedFault::MuteControlSocket => bytes.starts_with(METRICS_RESPONSE),
            _ => false,
        }
    }

    /// Returns what is sent in place of bytes that the affected process writes, if replaced; the length is the same.
    pub(super) fn replace_sent(self, bytes: &[u8]) -> Option<Vec<u8>> {
        (self == PlantedFault::ZeroDeliveryMetrics).then(|| zero_delivery_metrics(bytes))
    }

    /// Returns what the affected process reads in place of bytes that its peer writes, if replaced; the length is the
    /// same.
    pub(super) fn replace_received(self, bytes: &[u8]) -> Option<Vec<u8>> {
        match self {
            PlantedFault::HideDraining => Some(replace_all(bytes, HEALTH_DRAINING, HEALTH_UP)),
            PlantedFault::HideBackoff => Some(zero_backoff(bytes)),
            _ => None,
        }
    }

    /// Whether bytes that the affected process writes to a file are lost, although the write succeeds.
    pub(super) fn drops_written(self, bytes: &[u8], is_tenant_registry: bool) -> bool {
        let kind = bytes.get(RECORD_KIND_OFFSET);
        match self {
            PlantedFault::DropAcceptedRecords => kind == Some(&RECORD_ACCEPTED),
            PlantedFault::DropAttemptRecords => kind == Some(&RECORD_ATTEMPT),
            PlantedFault::DropTenantChanges => is_tenant_registry,
            _ => false,
        }
    }
}

/// Returns the text with the digits of all delivery counts replaced by zeros.
fn zero_delivery_metrics(text: &[u8]) -> Vec<u8> {
    let mut zeroed = text.to_vec();
    for line in zeroed.split_mut(|byte| *byte == b'\n') {
        if !line.starts_with(DELIVERY_METRIC) {
            continue;
        }
        line.iter_mut()
            .skip_while(|byte| **byte != b'=')
            .filter(|byte| byte.is_ascii_digit())
            .for_each(|digit| *digit = b'0');
    }
    zeroed
}

/// Returns the text with the digits of the first requested wait replaced by zeros.
fn zero_backoff(text: &[u8]) -> Vec<u8> {
    let mut zeroed = text.to_vec();
    if let Some(at) = position(text, BACKOFF_HEADER) {
        zeroed[at + BACKOFF_HEADER.len()..]
            .iter_mut()
            .take_while(|byte| byte.is_ascii_digit())
            .for_each(|digit| *digit = b'0');
    }
    zeroed
}

/// Returns the text with each `from` replaced by `to`, which must have the same length.
fn replace_all(text: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    let mut replaced = text.to_vec();
    let mut at = 0;
    while let Some(found) = position(&replaced[at..], from) {
        let start = at + found;
        at = start + from.len();
        replaced[start..at].copy_from_slice(to);
    }
    replaced
}

fn position(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}
