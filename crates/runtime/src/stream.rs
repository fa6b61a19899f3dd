//! Connections, and the listeners that accept them.

use std::future::Future;
use std::io;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite};

/// The state of the input that a connection has received and the relay has not read yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingInput {
    /// Nothing.
    Empty,
    /// At least one byte.
    Bytes,
    /// The end of the stream, or an error.
    Closed,
}

/// Whether the peer of a connection may still send and receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The peer has not closed the connection, as far as is known.
    Open,
    /// The peer sends nothing more. It may have closed the connection, or still receive.
    SendingEnded,
    /// The connection was reset, or is closed in both directions.
    Gone,
}

/// A connection. Dropping it closes it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Sends small writes at once, without waiting for more (`TCP_NODELAY`).
    ///
    /// # Errors
    /// Any error of the socket.
    fn set_nodelay(&self) -> io::Result<()>;

    /// Completes when there may be something to read.
    ///
    /// # Errors
    /// Any error of the socket.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;

    /// Reads the bytes that have arrived, and returns their number: 0 at the end of the stream.
    ///
    /// # Errors
    /// `WouldBlock` if nothing has arrived.
    fn try_read_buf(&self, into: &mut BytesMut) -> io::Result<usize>;

    /// Copies the bytes that have arrived without consuming them, so that a later read returns them again, and returns
    /// their number: 0 at the end of the stream. At most the free capacity of `into` is copied.
    ///
    /// # Errors
    /// `WouldBlock` if nothing has arrived.
    fn try_peek_buf(&self, into: &mut BytesMut) -> io::Result<usize>;

    /// The state of the unread input. It is queried from the socket itself, because the async runtime may not have been
    /// notified of it yet.
    fn pending_input(&self) -> PendingInput;

    /// The number of bytes that have arrived and are unread, counted up to `max`; 0 if the connection has ended. It is
    /// queried from the socket itself, and nothing is consumed.
    fn pending_len(&self, max: usize) -> usize;

    /// Whether the peer has closed the connection, even if unread input precedes the close. The async runtime may learn of it
    /// a little later.
    fn peer_state(&self) -> PeerState;
}

/// A port or socket that accepts connections.
pub trait Listener: 'static {
    /// The connections that it accepts.
    type Stream;

    /// Accepts the next connection.
    ///
    /// # Errors
    /// Any error of the socket, such as a lack of file descriptors; a later call may succeed.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}
