//! Connections of the operating system.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

use crate::{PendingInput, Stream};

/// A connection of the operating system.
#[derive(Debug)]
pub enum OsStream {
    /// Over TCP.
    Tcp(TcpStream),
    /// Over a Unix socket.
    Unix(UnixStream),
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

impl AsyncRead for OsStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        for_either!(self.get_mut(), stream => Pin::new(stream).poll_read(cx, into))
    }
}

impl AsyncWrite for OsStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        for_either!(self.get_mut(), stream => Pin::new(stream).poll_write(cx, bytes))
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
        for_either!(self.get_mut(), stream => Pin::new(stream).poll_write_vectored(cx, slices))
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
        for_either!(self, stream => stream.try_read_buf(into))
    }

    fn pending_input(&self) -> PendingInput {
        let socket = for_either!(self, stream => SockRef::from(stream));
        match socket.peek(&mut [MaybeUninit::uninit()]) {
            Ok(1..) => PendingInput::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => PendingInput::Empty,
            Ok(0) | Err(_) => PendingInput::Closed,
        }
    }
}
