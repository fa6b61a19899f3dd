//! One TCP connection: two directions with a delay, a window, and the ways in which they end.

use std::collections::VecDeque;
use std::task::Waker;
use std::time::Duration;

use bytes::{Buf, Bytes};
use runtime::Address;

use super::process::ProcessId;

/// Number of a connection, which no other has.
pub(super) type ConnectionId = u64;

/// Bytes in flight in one direction before a writer waits.
const WINDOW_BYTES: usize = 256 << 10;

/// A side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// The one that opened it.
    Initiator,
    /// The one that listens.
    Acceptor,
}

impl Side {
    pub fn peer(self) -> Side {
        match self {
            Side::Initiator => Side::Acceptor,
            Side::Acceptor => Side::Initiator,
        }
    }
}

/// How a direction of a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    Closed,
    Reset,
}

/// The end of a direction, as its reader will see it.
#[derive(Clone, Copy, Debug)]
struct ScheduledEnd {
    at: Duration,
    end: StreamEnd,
}

/// Bytes on their way.
struct Segment {
    arrives_at: Duration,
    bytes: Bytes,
}

/// Something arrives at a side of a connection: bytes, or the end of its input.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub at: Duration,
    pub side: Side,
}

/// What a reader finds.
pub(super) enum Input {
    /// Nothing has arrived yet.
    Empty,
    Bytes(Bytes),
    End(StreamEnd),
}

/// What became of a write.
pub(super) enum WriteOutcome {
    /// The writer sees this many bytes as written.
    Written(usize),
    /// The window is full; the writer waits.
    WindowFull,
    Reset,
}

/// When a connection is to be reset by the network.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedReset {
    /// The side whose input is cut off.
    pub side: Side,
    /// Bytes of that input that still get through.
    pub after_bytes: u64,
}

/// What a pipe has taken of a write.
struct Sent {
    arrives_at: Duration,
    /// The planned reset strikes within this write.
    is_cut: bool,
}

/// One direction of a connection: the input of one side.
#[derive(Default)]
pub(super) struct Pipe {
    segments: VecDeque<Segment>,
    bytes_in_flight: usize,
    end: Option<ScheduledEnd>,
    /// When the last segment arrives; nothing overtakes it.
    last_arrival: Duration,
    pub reader: Option<Waker>,
    pub writer: Option<Waker>,
    /// Bytes written in this direction so far.
    bytes_written: u64,
    /// The connection is reset once this many bytes were written.
    reset_after_bytes: Option<u64>,
}

impl Pipe {
    /// What has arrived by now.
    pub fn input(&self, now: Duration) -> Input {
        match self.segments.front() {
            Some(segment) if segment.arrives_at <= now => Input::Bytes(segment.bytes.clone()),
            Some(_) => Input::Empty,
            None => self
                .end
                .filter(|end| end.at <= now)
                .map_or(Input::Empty, |end| Input::End(end.end)),
        }
    }

    /// Takes bytes that were read out of the first segment.
    pub fn consume(&mut self, count: usize) {
        if let Some(segment) = self.segments.front_mut() {
            segment.bytes.advance(count);
            self.bytes_in_flight -= count;
            if segment.bytes.is_empty() {
                self.segments.pop_front();
            }
        }
        if let Some(writer) = self.writer.take_if(|_| self.bytes_in_flight < WINDOW_BYTES) {
            writer.wake();
        }
    }

    /// Ends the direction behind what is in flight, unless it ends sooner already.
    fn finish(&mut self, at: Duration, end: StreamEnd) {
        let at = at.max(self.last_arrival);
        match self.end {
            Some(before) if before.at <= at => {}
            _ => self.end = Some(ScheduledEnd { at, end }),
        }
        if end == StreamEnd::Reset {
            if let Some(writer) = self.writer.take() {
                writer.wake();
            }
        }
    }

    /// Resets the direction at a moment; what would arrive later is lost.
    fn reset_dropping_later(&mut self, at: Duration) {
        self.segments.retain(|segment| segment.arrives_at <= at);
        self.last_arrival = at;
        self.finish(at, StreamEnd::Reset);
    }

    fn is_reset_by(&self, now: Duration) -> bool {
        self.end
            .is_some_and(|end| end.end == StreamEnd::Reset && end.at <= now)
    }

    /// Sends bytes, as many as a planned reset lets through.
    fn send(&mut self, bytes: &[u8], arrives_at: Duration) -> Sent {
        let (mut count, mut is_cut) = (bytes.len(), false);
        if let Some(after) = self.reset_after_bytes {
            let remaining = after.saturating_sub(self.bytes_written) as usize;
            is_cut = count >= remaining;
            count = count.min(remaining);
        }
        let arrives_at = arrives_at.max(self.last_arrival);
        self.last_arrival = arrives_at;
        self.bytes_written += count as u64;
        self.bytes_in_flight += count;
        if count > 0 {
            self.segments.push_back(Segment {
                arrives_at,
                bytes: Bytes::copy_from_slice(&bytes[..count]),
            });
        }
        Sent { arrives_at, is_cut }
    }
}

/// What one side of a connection has of it.
pub(super) struct Endpoint {
    pub process: ProcessId,
    pub is_open: bool,
    /// What comes in for it.
    pub input: Pipe,
}

impl Endpoint {
    fn new(process: ProcessId) -> Self {
        Endpoint {
            process,
            is_open: true,
            input: Pipe::default(),
        }
    }
}

/// A connection between two processes.
pub(super) struct Connection {
    /// The address that it was opened to.
    pub to: Address,
    pub initiator: Endpoint,
    pub acceptor: Endpoint,
    /// Delay one way.
    delay: Duration,
    /// Nothing gets through from now on.
    is_silent: bool,
    /// It was silent at some time, so that something may have been lost on it.
    pub was_silent: bool,
}

impl Connection {
    pub fn new(
        to: Address,
        initiator: ProcessId,
        acceptor: ProcessId,
        delay: Duration,
        planned_reset: Option<PlannedReset>,
    ) -> Self {
        let mut connection = Connection {
            to,
            initiator: Endpoint::new(initiator),
            acceptor: Endpoint::new(acceptor),
            delay,
            is_silent: false,
            was_silent: false,
        };
        if let Some(reset) = planned_reset {
            connection.endpoint_mut(reset.side).input.reset_after_bytes = Some(reset.after_bytes);
        }
        connection
    }

    pub fn endpoint(&self, side: Side) -> &Endpoint {
        match side {
            Side::Initiator => &self.initiator,
            Side::Acceptor => &self.acceptor,
        }
    }

    pub fn endpoint_mut(&mut self, side: Side) -> &mut Endpoint {
        match side {
            Side::Initiator => &mut self.initiator,
            Side::Acceptor => &mut self.acceptor,
        }
    }

    /// Whether both sides hold it.
    pub fn is_open(&self) -> bool {
        self.initiator.is_open && self.acceptor.is_open
    }

    /// A side writes. Returns what became of it, and the arrivals to schedule.
    pub fn write(
        &mut self,
        side: Side,
        bytes: &[u8],
        now: Duration,
        jitter: Duration,
    ) -> (WriteOutcome, Vec<Arrival>) {
        let delay = self.delay;
        if self.endpoint(side).input.is_reset_by(now) {
            return (WriteOutcome::Reset, Vec::new());
        }
        if self.is_silent {
            return (WriteOutcome::Written(bytes.len()), Vec::new());
        }
        let peer = side.peer();
        if !self.endpoint(peer).is_open {
            // The peer's system answers what nobody reads with a reset.
            let at = now + delay * 2;
            self.endpoint_mut(side).input.finish(at, StreamEnd::Reset);
            let arrivals = vec![Arrival { at, side }];
            return (WriteOutcome::Written(bytes.len()), arrivals);
        }
        let pipe = &mut self.endpoint_mut(peer).input;
        if pipe.bytes_in_flight >= WINDOW_BYTES {
            return (WriteOutcome::WindowFull, Vec::new());
        }
        let sent = pipe.send(bytes, now + delay + jitter);
        let mut arrivals = vec![Arrival {
            at: sent.arrives_at,
            side: peer,
        }];
        if sent.is_cut {
            pipe.finish(sent.arrives_at, StreamEnd::Reset);
            // What was in flight to the writer is lost with the connection.
            let at = now + delay;
            self.endpoint_mut(side).input.reset_dropping_later(at);
            arrivals.push(Arrival { at, side });
        }
        (WriteOutcome::Written(bytes.len()), arrivals)
    }

    /// A side ends its sending.
    pub fn shut_down(&mut self, side: Side, now: Duration) -> Option<Arrival> {
        if self.is_silent {
            return None;
        }
        let arrival = Arrival {
            at: now + self.delay,
            side: side.peer(),
        };
        self.endpoint_mut(arrival.side)
            .input
            .finish(arrival.at, StreamEnd::Closed);
        Some(arrival)
    }

    /// A side has closed the connection, which the other one still holds.
    pub fn notify_peer_of_close(&mut self, side: Side, now: Duration) -> Option<Arrival> {
        if self.is_silent {
            return None;
        }
        let has_unread_input = !self.endpoint(side).input.segments.is_empty();
        let end = if has_unread_input {
            StreamEnd::Reset
        } else {
            StreamEnd::Closed
        };
        let peer = side.peer();
        let arrives_at = now + self.delay;
        let pipe = &mut self.endpoint_mut(peer).input;
        let at = arrives_at.max(pipe.last_arrival);
        pipe.finish(at, end);
        Some(Arrival { at, side: peer })
    }

    /// Nothing gets through from now on, and what is in flight is lost.
    pub fn silence(&mut self) {
        (self.is_silent, self.was_silent) = (true, true);
        self.initiator.input.segments.clear();
        self.acceptor.input.segments.clear();
    }

    /// Resets both sides.
    pub fn reset(&mut self, now: Duration) -> [Arrival; 2] {
        self.is_silent = false;
        let at = now + self.delay;
        [Side::Initiator, Side::Acceptor].map(|side| {
            let pipe = &mut self.endpoint_mut(side).input;
            pipe.finish(at, StreamEnd::Reset);
            let at = pipe.end.map_or(at, |end| end.at);
            Arrival { at, side }
        })
    }
}
