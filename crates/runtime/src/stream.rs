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
