//! The channel of call ends: the departing process appends how its open calls ended, the new owner reads it.

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
    /// The message.
    pub id: MessageId,
    /// The attempt's number.
    pub attempt: u8,
    /// The host.
    pub host: HostId,
}

/// Calls that were open at the hand-over and have not ended yet, by their message.
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

    /// Removes a call that has ended; false if it is not one of these, or its end was known.
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

    /// Removes all remaining calls and ends them as lost connections: their process has exited, and they may have been
    /// executed.
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

/// The new owner's side of the channel.
#[derive(Debug, Default)]
pub(super) struct CallEndsReader {
    open_calls: OpenCalls,
    /// Bytes of the file that were read before.
    position: usize,
}

impl CallEndsReader {
    /// Reads from the start of the file.
    pub(super) fn new(open_calls: OpenCalls) -> Self {
        CallEndsReader {
            open_calls,
            position: 0,
        }
    }

    pub(super) fn open_calls_mut(&mut self) -> &mut OpenCalls {
        &mut self.open_calls
    }

    pub(super) fn has_open_calls(&self) -> bool {
        !self.open_calls.is_empty()
    }

    /// Ends that were appended since the last call, from the whole content of the file. A record that is not complete
    /// yet is read the next time.
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
/// As the file's; a part of the record may then be written.
pub(super) fn append_call_end(
    file: &mut (impl Write + Seek),
    end: &CompletedCall,
) -> io::Result<()> {
    let record = encode(end)?;
    file.seek(SeekFrom::End(0))?;
    file.write_all(&record)
}
