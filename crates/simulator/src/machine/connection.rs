//! A simulated TCP connection: two directions, each with a delay, a window and an end (close or reset).

use std::collections::VecDeque;
use std::task::Waker;
use std::time::Duration;

use bytes::{Buf, Bytes};
use runtime::Address;

use super::process::ProcessId;

/// Unique number of a connection.
pub(super) type ConnectionId = u64;

/// Bytes in flight in one direction before a writer waits.
const WINDOW_BYTES: usize = 256 << 10;

/// A side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// The side that opened the connection.
    Initiator,
    /// The side that accepted it.
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

/// The end of a direction, and when its reader will see it.
#[derive(Clone, Copy, Debug)]
struct ScheduledEnd {
    at: Duration,
    end: StreamEnd,
}

/// Bytes in flight.
struct Segment {
    arrives_at: Duration,
    bytes: Bytes,
}

/// The arrival of bytes, or of the end of the input, at a side of a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    pub at: Duration,
    pub side: Side,
}

/// The result of polling a direction for input.
pub(super) enum Input {
    /// Nothing has arrived yet.
    Empty,
    Bytes(Bytes),
    End(StreamEnd),
}

/// The result of a write.
pub(super) enum WriteOutcome {
    /// Number of bytes reported to the writer as written.
    Written(usize),
    /// The window is full; the writer has to wait.
    WindowFull,
    Reset,
}

/// A reset of a connection by the network, planned when the connection is opened.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedReset {
    /// The side whose input is cut off.
    pub side: Side,
    /// Bytes of that input that are delivered before the reset.
    pub after_bytes: u64,
}

/// The result of sending bytes into a pipe.
struct Sent {
    arrives_at: Duration,
    /// Whether the planned reset occurs within this write.
    is_cut: bool,
}

/// One direction of a connection: the input of one side.
#[derive(Default)]
pub(super) struct Pipe {
    segments: VecDeque<Segment>,
    bytes_in_flight: usize,
    end: Option<ScheduledEnd>,
    /// When the last segment arrives; later segments never arrive earlier.
    last_arrival: Duration,
    pub reader: Option<Waker>,
    pub writer: Option<Waker>,
    /// Bytes written in this direction so far.
    bytes_written: u64,
    /// Number of written bytes after which the connection is reset, if a reset is planned.
    reset_after_bytes: Option<u64>,
}

impl Pipe {
    /// Returns the input that has arrived by `now`.
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

    /// The number of bytes that have arrived by `now` and were not read.
    pub fn arrived_len(&self, now: Duration) -> usize {
        let arrived = self.segments.iter();
        arrived
            .take_while(|segment| segment.arrives_at <= now)
            .map(|segment| segment.bytes.len())
            .sum()
    }

    /// How the direction has ended by `now`, even if unread bytes precede the end.
    pub fn end_by(&self, now: Duration) -> Option<StreamEnd> {
        self.end.filter(|end| end.at <= now).map(|end| end.end)
    }

    /// Removes bytes that were read from the first segment.
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

    /// Ends the direction after the data in flight, unless an earlier end is already scheduled.
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

    /// Resets the direction at the given time; data that would arrive later is lost.
    fn reset_dropping_later(&mut self, at: Duration) {
        self.segments.retain(|segment| segment.arrives_at <= at);
        self.last_arrival = at;
        self.finish(at, StreamEnd::Reset);
    }

    fn is_reset_by(&self, now: Duration) -> bool {
        self.end
            .is_some_and(|end| end.end == StreamEnd::Reset && end.at <= now)
    }

    /// Sends bytes, up to the limit of a planned reset.
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

/// The state of one side of a connection.
pub(super) struct Endpoint {
    pub process: ProcessId,
    pub is_open: bool,
    /// Data sent to this side.
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
    /// The address to which it was opened.
    pub to: Address,
    pub initiator: Endpoint,
    pub acceptor: Endpoint,
    /// One-way delay.
    delay: Duration,
    /// Whether all data is lost at present.
    is_silent: bool,
    /// Whether it was silent at any time, so that data may have been lost on it.
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

    /// Whether both sides hold it open.
    pub fn is_open(&self) -> bool {
        self.initiator.is_open && self.acceptor.is_open
    }

    /// Writes bytes from a side. Returns the result and the arrivals to schedule.
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
            // The peer's operating system responds with a reset to data for a closed socket.
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
            // Data in flight to the writer is lost with the connection.
            let at = now + delay;
            self.endpoint_mut(side).input.reset_dropping_later(at);
            arrivals.push(Arrival { at, side });
        }
        (WriteOutcome::Written(bytes.len()), arrivals)
    }

    /// Shuts down the sending direction of a side.
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

    /// Notifies the peer, which still holds the connection, that a side has closed it. The peer sees a reset if the
    /// closing side had unread input.
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

    /// Drops all data in flight and all data sent from now on.
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
