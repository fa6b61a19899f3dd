//! Receives requests that are longer than the buffer of a connection.

use std::io;
use std::time::{Duration, Instant};

use relay_events::Reply;
use runtime::{PeerState, Runtime, Stream};

use super::{Connection, NextStep, REQUEST_READ_TIMEOUT};
use crate::client_connections::framing::ProtocolError;

/// Shortest and longest time between two checks whether a long request has arrived completely.
const MIN_ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const MAX_ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The checks are this much rarer than the time since the request began.
const ARRIVAL_CHECK_BACKOFF: u32 = 4;

impl<R: Runtime> Connection<'_, R> {
    /// Waits until a long request has arrived completely, and reserves its memory. Until then it stays in the receive
    /// buffer of the system. A request that does not get on there is read in pieces, if there is memory for that.
    pub(super) async fn prepare_long_request(&mut self, length: usize) -> io::Result<NextStep> {
        self.slot.mark_busy();
        let began_at = *self.waiting_since.get_or_insert_with(|| self.runtime.now());
        let deadline = began_at + REQUEST_READ_TIMEOUT;
        let missing = length - self.input.len();
        let mut last_arrived = None;
        loop {
            let turn = self.slot.clients.turns.wait_for_long_request().await;
            // Queried before the input, so that bytes that precede the end are counted.
            let peer_state = self.stream.peer_state();
            let arrived = self.stream.pending_len(missing);
            if arrived >= missing {
                drop(turn);
                return self.reserve_complete_request(length, deadline).await;
            }
            if peer_state != PeerState::Open {
                return Ok(NextStep::Close);
            }
            if last_arrived == Some(arrived) && self.reserve_arrival(length) {
                return Ok(NextStep::Continue);
            }
            last_arrived = Some(arrived);
            let now = self.runtime.now();
            drop(turn);
            if now >= deadline {
                return self.reject_incomplete(ProtocolError::RequestTimeout).await;
            }
            let interval = ((now - began_at) / ARRIVAL_CHECK_BACKOFF)
                .clamp(MIN_ARRIVAL_CHECK_INTERVAL, MAX_ARRIVAL_CHECK_INTERVAL);
            self.runtime.sleep_until(deadline.min(now + interval)).await;
        }
    }

    /// Reserves the memory of a long request that has arrived completely, and waits for the connection's turn to read it.
    async fn reserve_complete_request(
        &mut self,
        length: usize,
        deadline: Instant,
    ) -> io::Result<NextStep> {
        let clients = &self.slot.clients;
        let reserve = async {
            let reserved = clients.request_memory.reserve(length).await?;
            let turn = clients.turns.wait_for_long_request().await?;
            Some((reserved, turn))
        };
        let Ok(Some((reserved, turn))) = self.runtime.timeout_at(deadline, reserve).await else {
            return self.reject_incomplete(ProtocolError::RequestTimeout).await;
        };
        self.reserved = Some(reserved);
        self.long_request_turn = Some(turn);
        self.input.reserve_long_request(length);
        Ok(NextStep::Continue)
    }

    /// Reserves the memory for a long request that arrives in pieces. Returns whether there was enough.
    fn reserve_arrival(&mut self, length: usize) -> bool {
        let now = self.runtime.now();
        let memory = &self.slot.clients.request_memory;
        self.arrival = memory.reserve_arrival(now, length);
        if self.arrival.is_some() {
            self.input.reserve_long_request(length);
        }
        self.arrival.is_some()
    }

    /// Reports that a request did not arrive, and closes the connection.
    pub(super) async fn reject_incomplete(&mut self, error: ProtocolError) -> io::Result<NextStep> {
        if error == ProtocolError::RequestTimeout {
            self.slot.clients.request_memory.record_incomplete();
        }
        let mut output = Vec::new();
        Reply::Error(error.to_string()).write(&mut output);
        self.write(&output).await?;
        Ok(NextStep::CloseLingering)
    }
}
