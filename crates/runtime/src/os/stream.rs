//! Connections of the operating system.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::AsRawFd;
use std::pin::{pin, Pin};
use std::task::{ready, Context, Poll, Waker};

use bytes::BytesMut;
use nix::sys::socket::{recv, MsgFlags};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

use crate::{PeerState, PendingInput, Stream};

/// A connection of the operating system.
#[derive(Debug)]
pub enum OsStream {
    /// Over TCP.
    Tcp(TcpStream),
    /// Over a Unix socket.
    Unix(UnixStream),
}

thread_local! {
    /// Target of peeks whose bytes are only counted.
    static COUNTED_BYTES: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// Evaluates an expression for either kind of connection.
macro_rules! for_either {
    ($stream:expr, $inner:ident => $do:expr) => {
        match $stream {
            OsStream::Tcp($inner) => $do,
            OsStream::Unix($inner) => $do,
        }
    };
}

/// Repeats a transfer until it moves bytes or fails. Returns `Pending` if the socket's receive buffer is empty or its
/// send buffer is full.
///
/// Only `WouldBlock` is taken to mean an empty or full buffer, and makes tokio wait for the next readiness edge.
/// Tokio's own `AsyncRead` and `AsyncWrite` also treat a short transfer like that, which only epoll's manual page
/// guarantees: after a transfer that was short for another reason, the task would wait for an edge that never occurs.
/// The cost is one additional system call each time that a buffer becomes empty or full.
macro_rules! transfer {
    ($stream:expr, $cx:expr, $poll_ready:ident, $try_transfer:expr) => {
        loop {
            ready!($stream.$poll_ready($cx))?;
            match $try_transfer {
                Err(error) if is_retriable(&error) => {}
                result => break Poll::Ready(result),
            }
        }
    };
}

/// Whether a transfer moved nothing and is to be retried: after `WouldBlock` once the socket is ready again, after an
/// interruption by a signal at once.
fn is_retriable(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
    )
}

/// Repeats a call that a signal has interrupted.
fn repeat_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

impl AsyncRead for OsStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        for_either!(self.get_mut(), stream => {
            transfer!(stream, cx, poll_read_ready, stream.try_read_buf(into)).map_ok(drop)
        })
    }
}

impl AsyncWrite for OsStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        for_either!(self.get_mut(), stream => {
            transfer!(stream, cx, poll_write_ready, stream.try_write(bytes))
        })
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        for_either!(self.get_mut(), stream => Pin::new(stream).poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        for_either!(self.get_mut(), stream => Pin::new(stream).poll_shutdown(cx))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        for_either!(self.get_mut(), stream => {
            transfer!(stream, cx, poll_write_ready, stream.try_write_vectored(slices))
        })
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

impl Stream for OsStream {
    fn set_nodelay(&self) -> io::Result<()> {
        match self {
            OsStream::Tcp(stream) => stream.set_nodelay(true),
            OsStream::Unix(_) => Ok(()),
        }
    }

    async fn readable(&self) -> io::Result<()> {
        for_either!(self, stream => stream.readable().await)
    }

    fn try_read_buf(&self, into: &mut BytesMut) -> io::Result<usize> {
        repeat_interrupted(|| for_either!(self, stream => stream.try_read_buf(into)))
    }

    fn try_peek_buf(&self, into: &mut BytesMut) -> io::Result<usize> {
        let mut peeked = vec![0; into.capacity() - into.len()];
        let peek = || {
            for_either!(self, stream => stream.try_io(Interest::READABLE, || {
                Ok(recv(stream.as_raw_fd(), &mut peeked, MsgFlags::MSG_PEEK)?)
            }))
        };
        let length = repeat_interrupted(peek)?;
        into.extend_from_slice(&peeked[..length]);
        Ok(length)
    }

    fn pending_input(&self) -> PendingInput {
        let socket = for_either!(self, stream => SockRef::from(stream));
        match repeat_interrupted(|| socket.peek(&mut [MaybeUninit::uninit()])) {
            Ok(1..) => PendingInput::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => PendingInput::Empty,
            Ok(0) | Err(_) => PendingInput::Closed,
        }
    }

    fn pending_len(&self, max: usize) -> usize {
        let descriptor = for_either!(self, stream => stream.as_raw_fd());
        COUNTED_BYTES.with_borrow_mut(|bytes| {
            if bytes.len() < max {
                bytes.resize(max, 0);
            }
            let peek = || Ok(recv(descriptor, &mut bytes[..max], MsgFlags::MSG_PEEK)?);
            repeat_interrupted(peek).unwrap_or(0)
        })
    }

    fn peer_state(&self) -> PeerState {
        let interest = Interest::READABLE | Interest::WRITABLE;
        let mut context = Context::from_waker(Waker::noop());
        let state = for_either!(self, stream => pin!(stream.ready(interest)).poll(&mut context));
        // A connection that is not ready for anything is open as far as tokio knows.
        match state {
            Poll::Ready(Ok(ready)) if ready.is_write_closed() || ready.is_error() => {
                PeerState::Gone
            }
            Poll::Ready(Ok(ready)) if ready.is_read_closed() => PeerState::SendingEnded,
            _ => PeerState::Open,
        }
    }
}
