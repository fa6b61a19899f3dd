//! The file of call ends: the departing process appends how its open calls ended, and the new owner reads it.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::io::{self, Seek, SeekFrom, Write};

use policy::types::{AttemptOutcome, HostId, MessageId};
use relay_events::CompletedCall;
use serde::{Deserialize, Serialize};

use crate::journal::{decode, encode};

/// An attempt that is open at the hand-over. Postcard stores the fields by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCall {
    /// Identifier of the message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// Number of the host.
    pub host: HostId,
}

/// Calls that were open at the hand-over and have not ended yet, by message.
#[derive(Debug, Default)]
pub(super) struct OpenCalls(BTreeMap<MessageId, OpenCall>);

impl OpenCalls {
    /// The calls of a hand-over snapshot.
    pub(super) fn new(calls: &[OpenCall]) -> Self {
        OpenCalls(calls.iter().map(|call| (call.id, *call)).collect())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a call of this message has not ended.
    pub(super) fn contains(&self, id: MessageId) -> bool {
        self.0.contains_key(&id)
    }

    /// Removes a call that has ended. Returns false if the call is not among the open ones, or was removed before.
    pub(super) fn remove(&mut self, end: &CompletedCall) -> bool {
        let is_open = self
            .0
            .get(&end.id)
            .is_some_and(|call| call.attempt == end.attempt);
        if is_open {
            self.0.remove(&end.id);
        }
        is_open
    }

    /// Removes all remaining calls and returns their ends as lost connections: their process has exited, and they may have
    /// been executed.
    pub(super) fn drain_as_connection_lost(&mut self) -> impl Iterator<Item = CompletedCall> {
        std::mem::take(&mut self.0)
            .into_values()
            .map(|call| CompletedCall {
                id: call.id,
                attempt: call.attempt,
                host: call.host,
                outcome: AttemptOutcome::ConnectionLost,
                is_final: false,
                load_report: None,
                elapsed: 0,
                opened_connection: false,
            })
    }
}

/// Reads the file of call ends in the new owner.
#[derive(Debug, Default)]
pub(super) struct CallEndsReader {
    open_calls: OpenCalls,
    /// Length of the part of the file that has been read, in bytes.
    position: usize,
}

impl CallEndsReader {
    /// Creates a reader at the start of the file.
    pub(super) fn new(open_calls: OpenCalls) -> Self {
        CallEndsReader {
            open_calls,
            position: 0,
        }
    }

    pub(super) fn open_calls_mut(&mut self) -> &mut OpenCalls {
        &mut self.open_calls
    }

    pub(super) fn is_call_open(&self, id: MessageId) -> bool {
        self.open_calls.contains(id)
    }

    pub(super) fn has_open_calls(&self) -> bool {
        !self.open_calls.is_empty()
    }

    /// Returns the ends that were appended since the last call. `content` is the whole file. An incomplete record is read
    /// once it is complete.
    pub(super) fn read(&mut self, content: &[u8]) -> Vec<CompletedCall> {
        let mut ends = Vec::new();
        while let Ok(Some((end, size))) =
            decode::<CompletedCall>(content.get(self.position..).unwrap_or_default())
        {
            self.position += size;
            if self.open_calls.remove(&end) {
                ends.push(end);
            }
        }
        ends
    }
}

/// Appends the end of a call.
///
/// # Errors
/// The error of the file. Part of the record may have been written.
pub(super) fn append_call_end(
    file: &mut (impl Write + Seek),
    end: &CompletedCall,
) -> io::Result<()> {
    let record = encode(end)?;
    file.seek(SeekFrom::End(0))?;
    file.write_all(&record)
}
