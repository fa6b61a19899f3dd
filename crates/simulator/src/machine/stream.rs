//! A side of a connection that a process has open.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use runtime::{PeerState, PendingInput, Stream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connection::{ConnectionId, Input, Pipe, Side, StreamEnd, WriteOutcome};
use super::context::ProcessContext;
use super::planted_fault::PlantedFault;
use super::process::EffectOutcome;
use super::state::MachineState;

/// Exclusive upper bound of the extra delay of a write, beyond the connection's delay.
const MAX_JITTER_MICROS: u64 = 200;
/// Percentage of reads and writes that are short.
const SHORT_TRANSFER_PERCENT: u64 = 4;

/// One side of a connection.
pub struct SimulatedStream {
    context: ProcessContext,
    id: ConnectionId,
    side: Side,
}

/// Bytes written by a process, after planted faults have been applied.
enum Outgoing {
    Unchanged,
    Replaced(Vec<u8>),
    /// The bytes are lost, although the write succeeds.
    Dropped,
}

impl SimulatedStream {
    pub(super) fn new(context: ProcessContext, id: ConnectionId, side: Side) -> Self {
        SimulatedStream { context, id, side }
    }

    /// Returns the unique number of the connection.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.id
    }

    /// Returns the input that has arrived. If there is none, `waker` is woken at the next arrival. A dead process receives
    /// no input.
    fn input(&self, waker: Option<&Waker>) -> Input {
        let mut state = self.context.state.borrow_mut();
        if state.is_dead(self.context.process) {
            return Input::Empty;
        }
        let now = state.now;
        let Some(connection) = state.network.connections.get_mut(&self.id) else {
            return Input::Empty;
        };
        let pipe = &mut connection.endpoint_mut(self.side).input;
        let input = pipe.input(now);
        if let (Input::Empty, Some(waker)) = (&input, waker) {
            pipe.reader = Some(waker.clone());
        }
        input
    }

    /// Calls a function with the pipe of this side's input and the current time; `None` if this process or the
    /// connection has ended.
    fn with_input_pipe<T>(&self, query: impl FnOnce(&Pipe, Duration) -> T) -> Option<T> {
        let mut state = self.context.state.borrow_mut();
        if state.is_dead(self.context.process) {
            return None;
        }
        let now = state.now;
        let connection = state.network.connections.get_mut(&self.id)?;
        Some(query(&connection.endpoint_mut(self.side).input, now))
    }

    /// Draws how many of the bytes that have arrived one read returns.
    fn draw_read_length(&self, bytes: &Bytes, max_bytes: usize) -> usize {
        let available = bytes.len().min(max_bytes);
        self.context
            .state
            .borrow_mut()
            .draw_length(available, SHORT_TRANSFER_PERCENT)
    }

    /// Removes bytes that were read from the input.
    fn consume(&self, count: usize) {
        let mut state = self.context.state.borrow_mut();
        if let Some(connection) = state.network.connections.get_mut(&self.id) {
            connection.endpoint_mut(self.side).input.consume(count);
        }
    }

    /// Whether the connection was opened to the process's inherited port, to which clients connect.
    fn is_from_client(&self, state: &MachineState) -> bool {
        let inherited_port = state
            .processes
            .get(&self.context.process)
            .and_then(|process| process.inherited_port.as_ref());
        let connection = state.network.connections.get(&self.id);
        inherited_port
            .zip(connection)
            .is_some_and(|(port, connection)| connection.to == *port)
    }

    /// Applies the planted faults of this process and of its peer to bytes that it writes.
    fn outgoing(&self, state: &MachineState, bytes: &[u8]) -> Outgoing {
        let own_fault = state.planted_fault(self.context.process);
        if own_fault.is_some_and(|fault| fault.drops_sent(bytes)) {
            return Outgoing::Dropped;
        }
        let replace_for_peer = || {
            let peer = state.network.peer(self.id, self.side)?;
            state.planted_fault(peer)?.replace_received(bytes)
        };
        own_fault
            .and_then(|fault| fault.replace_sent(bytes))
            .or_else(replace_for_peer)
            .map_or(Outgoing::Unchanged, Outgoing::Replaced)
    }

    /// Whether a planted fault keeps the connection open when this side closes it.
    fn stays_open(&self, state: &MachineState) -> bool {
        match (state.planted_fault(self.context.process), self.side) {
            (Some(PlantedFault::KeepCallsOpen), Side::Initiator) => {
                state.network.leads_to_host(self.id)
            }
            (Some(PlantedFault::KeepClientsOpen), Side::Acceptor) => self.is_from_client(state),
            (Some(PlantedFault::MuteControlSocket), Side::Acceptor) => !self.is_from_client(state),
            _ => false,
        }
    }

    /// Whether a planted fault prevents the shutdown of this side's sending direction.
    fn ignores_shutdown(&self, state: &MachineState) -> bool {
        state.planted_fault(self.context.process) == Some(PlantedFault::MuteControlSocket)
            && self.side == Side::Acceptor
            && !self.is_from_client(state)
    }
}

/// Returns the result of a read from a connection that has ended.
fn read_end(end: StreamEnd) -> io::Result<()> {
    match end {
        StreamEnd::Closed => Ok(()),
        StreamEnd::Reset => Err(io::ErrorKind::ConnectionReset.into()),
    }
}

impl AsyncRead for SimulatedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.input(Some(context.waker())) {
            Input::Empty => Poll::Pending,
            Input::End(end) => Poll::Ready(read_end(end)),
            Input::Bytes(bytes) => {
                let count = self.draw_read_length(&bytes, into.remaining());
                into.put_slice(&bytes[..count]);
                self.consume(count);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncWrite for SimulatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        text: &[u8],
    ) -> Poll<io::Result<usize>> {
        let process = self.context.process;
        let mut state = self.context.state.borrow_mut();
        // Operations of a dead process never complete.
        let Some(max_bytes) = state.count_write(process, text.len(), SHORT_TRANSFER_PERCENT) else {
            return Poll::Pending;
        };
        let replaced = match self.outgoing(&state, text) {
            Outgoing::Dropped => return Poll::Ready(Ok(text.len())),
            Outgoing::Replaced(replaced) => Some(replaced),
            Outgoing::Unchanged => None,
        };
        let sent = replaced.as_deref().unwrap_or(text);
        let sent = &sent[..max_bytes.min(sent.len())];
        let jitter = Duration::from_micros(state.rng.below(MAX_JITTER_MICROS));
        let now = state.now;
        let (outcome, arrivals) = state.network.write(self.id, self.side, sent, now, jitter);
        if let WriteOutcome::Written(count) = &outcome {
            state.record_effect(process, "send", &sent[..*count]);
        }
        state.schedule_arrivals(self.id, arrivals);
        match outcome {
            WriteOutcome::Written(count) => Poll::Ready(Ok(count)),
            WriteOutcome::Reset => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            WriteOutcome::WindowFull => {
                if let Some(connection) = state.network.connections.get_mut(&self.id) {
                    let pipe = &mut connection.endpoint_mut(self.side.peer()).input;
                    pipe.writer = Some(context.waker().clone());
                }
                Poll::Pending
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.context.state.borrow_mut();
        if !self.ignores_shutdown(&state)
            && state.count_effect(self.context.process) == EffectOutcome::Done
        {
            let now = state.now;
            let arrival = state.network.shut_down(self.id, self.side, now);
            state.schedule_arrivals(self.id, arrival);
        }
        Poll::Ready(Ok(()))
    }
}

impl Stream for SimulatedStream {
    fn set_nodelay(&self) -> io::Result<()> {
        Ok(())
    }

    async fn readable(&self) -> io::Result<()> {
        poll_fn(|context| match self.input(Some(context.waker())) {
            Input::Empty => Poll::Pending,
            Input::Bytes(_) | Input::End(_) => Poll::Ready(Ok(())),
        })
        .await
    }

    fn try_read_buf(&self, into: &mut BytesMut) -> io::Result<usize> {
        let count = self.try_peek_buf(into)?;
        if count > 0 {
            self.consume(count);
        }
        Ok(count)
    }

    fn try_peek_buf(&self, into: &mut BytesMut) -> io::Result<usize> {
        match self.input(None) {
            Input::Empty => Err(io::ErrorKind::WouldBlock.into()),
            Input::End(end) => read_end(end).map(|()| 0),
            Input::Bytes(bytes) => {
                let spare = (into.capacity() - into.len()).max(1);
                let count = self.draw_read_length(&bytes, spare);
                into.put_slice(&bytes[..count]);
                Ok(count)
            }
        }
    }

    fn pending_input(&self) -> PendingInput {
        match self.input(None) {
            Input::Empty => PendingInput::Empty,
            Input::Bytes(_) => PendingInput::Bytes,
            Input::End(_) => PendingInput::Closed,
        }
    }

    fn pending_len(&self, max: usize) -> usize {
        self.with_input_pipe(|pipe, now| pipe.arrived_len(now).min(max))
            .unwrap_or(0)
    }

    fn peer_state(&self) -> PeerState {
        let end = self.with_input_pipe(|pipe, now| pipe.end_by(now)).flatten();
        match end {
            None => PeerState::Open,
            Some(StreamEnd::Closed) => PeerState::SendingEnded,
            Some(StreamEnd::Reset) => PeerState::Gone,
        }
    }
}

impl Drop for SimulatedStream {
    fn drop(&mut self) {
        let mut state = self.context.state.borrow_mut();
        if self.stays_open(&state) {
            return;
        }
        state.record_effect(self.context.process, "close", &[]);
        let now = state.now;
        let arrival = state.network.close(self.id, self.side, now);
        state.schedule_arrivals(self.id, arrival);
    }
}
