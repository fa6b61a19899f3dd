//! Faults planted between a relay and its machine, which show that the checker notices a guard that does not work.

/// A way in which the machine deceives a relay, so that one of its guards has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlantedFault {
    /// Journal records of accepted messages do not reach the disk.
    DropAcceptedRecords,
    /// Journal records of attempts do not reach the disk.
    DropAttemptRecords,
    /// A connection to a host that the relay closes stays open.
    KeepCallsOpen,
    /// Discovery's news that a host is draining reads as if the host were up.
    HideDraining,
    /// The wait that an answer asks for reads as zero.
    HideBackoff,
    /// A host's address leads to another host.
    MisrouteConnections,
    /// The process's clocks run at four fifths of their speed.
    SlowClock,
    /// Notices are lost, though the relay believes that it has sent them.
    DropNotifications,
    /// Changes of tenants do not reach the disk.
    DropTenantChanges,
    /// A lock that another process holds is granted all the same.
    ShareLocks,
    /// A client's connection that the relay closes stays open.
    KeepClientsOpen,
    /// Counts of deliveries read as zeros at the control socket.
    ZeroDeliveryMetrics,
    /// Metrics are lost on their way out of the control socket, and none of its connections is closed.
    MuteControlSocket,
    /// The configuration reads as it did first.
    StaleConfiguration,
    /// Clocks of processes that start later than the first are a minute ahead, so that every message has expired.
    ClockAhead,
}

/// Request line of a notice to the platform.
const NOTICE_REQUEST: &[u8] = b"POST /v1/notices";
/// First line of the control socket's answer with metrics.
const METRICS_ANSWER: &[u8] = b"ok figures";
/// Prefix of the metrics that count deliveries.
const DELIVERY_METRIC: &[u8] = b"relay.success.";
/// The header by which a host asks for a wait, in milliseconds.
const BACKOFF_HEADER: &[u8] = b"X-Backoff-Ms: ";
/// The health of a draining host in discovery's list.
const HEALTH_DRAINING: &[u8] = b"\"draining\"";
/// The health of a usable host, filled up to the same length.
const HEALTH_UP: &[u8] = b"\"up\"      ";
/// Where a journal record's kind stands: behind its length and checksum.
const RECORD_KIND_OFFSET: usize = 8;
/// Kind of the journal's record of an accepted message.
const RECORD_ACCEPTED: u8 = 0;
/// Kind of the journal's record of an attempt.
const RECORD_ATTEMPT: u8 = 1;

impl PlantedFault {
    /// Whether bytes that the deceived process writes to a connection are lost, though the write succeeds.
    pub(super) fn drops_sent(self, bytes: &[u8]) -> bool {
        match self {
            PlantedFault::DropNotifications => bytes.starts_with(NOTICE_REQUEST),
            PlantedFault::MuteControlSocket => bytes.starts_with(METRICS_ANSWER),
            _ => false,
        }
    }

    /// What is sent in place of bytes that the deceived process writes, if it differs; of the same length.
    pub(super) fn replace_sent(self, bytes: &[u8]) -> Option<Vec<u8>> {
        (self == PlantedFault::ZeroDeliveryMetrics).then(|| zero_delivery_metrics(bytes))
    }

    /// What the deceived process reads in place of bytes that its peer writes, if it differs; of the same length.
    pub(super) fn replace_received(self, bytes: &[u8]) -> Option<Vec<u8>> {
        match self {
            PlantedFault::HideDraining => Some(replace_all(bytes, HEALTH_DRAINING, HEALTH_UP)),
            PlantedFault::HideBackoff => Some(zero_backoff(bytes)),
            _ => None,
        }
    }

    /// Whether bytes that the deceived process writes to a file are lost, though the write succeeds.
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

/// The text with zeros for the digits of all metrics that count deliveries.
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

/// The text with zeros for the digits of the first wait that it asks for.
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

/// The text with each `from` replaced by `to`, which is as long.
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
