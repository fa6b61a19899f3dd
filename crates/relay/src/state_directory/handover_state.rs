//! The hand-over snapshot: the state that a process passes to its successor beside the journal.

#[cfg(test)]
mod tests;

use std::io;

use policy::types::{HostId, Micros};
use policy::HandoverSnapshot;
use serde::{Deserialize, Serialize};

use super::call_ends::OpenCall;
use crate::journal::{decode, encode, MAX_PAYLOAD_SIZE};

/// Share of the disk limit that the snapshot may take. The rest is for the journal.
const MAX_DISK_SHARE: f64 = 0.05;
/// Version of the stored format.
const FORMAT_VERSION: u16 = 1;

/// The state that is passed to the successor beside the journal. Postcard stores the fields by position.
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    format_version: u16,
    /// Whether an operator has drained the relay.
    pub is_drained: bool,
    /// Calls that are open at the process that hands over.
    pub open_calls: Vec<OpenCall>,
    /// The numbers of hosts, by name.
    pub host_numbers: Vec<(String, HostId)>,
    /// Names of recently completed messages, the latest first.
    pub completed: Vec<String>,
    /// The delivery policy's state of routes and of ordering keys.
    pub policy: HandoverSnapshot,
    /// For each tenant, the time until which its rate is used up, in microseconds of Unix time. Stored as a separate
    /// record after the snapshot, which older versions do not read.
    #[serde(skip)]
    pub used_rates: Vec<(String, Micros)>,
}

impl HandoverState {
    /// Creates the state of a process that hands over. Host numbers, completed messages and used rates are empty.
    pub fn new(is_drained: bool, open_calls: Vec<OpenCall>, policy: HandoverSnapshot) -> Self {
        HandoverState {
            format_version: FORMAT_VERSION,
            is_drained,
            open_calls,
            host_numbers: Vec::new(),
            completed: Vec::new(),
            policy,
            used_rates: Vec::new(),
        }
    }

    /// Reads a stored snapshot; `None` if it is torn or of another version. Unreadable rates are omitted.
    pub(super) fn read(bytes: &[u8]) -> Option<Self> {
        let (state, size) = decode::<HandoverState>(bytes).ok().flatten()?;
        if state.format_version != FORMAT_VERSION {
            return None;
        }
        let used_rates = decode(&bytes[size..]).ok().flatten();
        Some(HandoverState {
            used_rates: used_rates.map(|(rates, _)| rates).unwrap_or_default(),
            ..state
        })
    }

    /// Encodes the snapshot within its share of `disk_limit`, which is in bytes. Names of completed messages and used
    /// rates that do not fit are omitted.
    ///
    /// # Errors
    /// `StorageFull` if the snapshot does not fit even without them.
    pub(super) fn encode_bounded(&mut self, disk_limit: u64) -> io::Result<Vec<u8>> {
        let limit = ((disk_limit as f64 * MAX_DISK_SHARE) as usize).min(MAX_PAYLOAD_SIZE);
        let mut bytes = encode(&*self)?;
        while bytes.len() > limit && !self.completed.is_empty() {
            self.completed.truncate(self.completed.len() / 2);
            bytes = encode(&*self)?;
        }
        if bytes.len() > limit {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the hand-over snapshot exceeds its size limit",
            ));
        }
        let mut used_rates = &self.used_rates[..];
        while bytes.len() + encode(&used_rates)?.len() > limit && !used_rates.is_empty() {
            used_rates = &used_rates[..used_rates.len() / 2];
        }
        if !used_rates.is_empty() {
            bytes.extend(encode(&used_rates)?);
        }
        Ok(bytes)
    }
}
