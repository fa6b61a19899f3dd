//! The machine: tokio's current-thread runtime, the operating system's files and signals.

use std::fmt;
use std::fs::{Permissions, TryLockError};
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::os::unix::fs::{FileExt, FileTypeExt, PermissionsExt};
use std::path::Path;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::BytesMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::JoinHandle;

use crate::{
    Address, File, Listener, PendingInput, RandomAccessFile, Runtime, Signal, Signals, Stream, Task,
};

/// The machine that the process runs on. Must be used within a current-thread runtime's `LocalSet`.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsRuntime;

impl Runtime for OsRuntime {
    type Task = OsTask;
    type Stream = OsStream;
    type Listener = OsListener;
    type File = std::fs::File;
    type RandomAccessFile = std::fs::File;
    type Signals = OsSignals;
    type Lock = std::fs::File;

    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        tokio::time::sleep_until(at.into())
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> OsTask {
        OsTask(tokio::task::spawn_local(task))
    }

    async fn connect(&self, to: impl Into<Address>) -> io::Result<OsStream> {
        match to.into() {
            Address::Tcp(to) => TcpStream::connect(to).await.map(OsStream::Tcp),
            Address::Unix(to) => UnixStream::connect(to).await.map(OsStream::Unix),
        }
    }

    async fn listen(&self, at: impl Into<Address>) -> io::Result<OsListener> {
        match at.into() {
            Address::Tcp(at) => TcpListener::bind(at).await.map(OsListener::Tcp),
            Address::Unix(at) => listen_local(&at).await.map(OsListener::Unix),
        }
    }

    fn inherited_listener(&self, descriptor: i32) -> io::Result<OsListener> {
        crate::inherited_listener::listener(descriptor).map(OsListener::Tcp)
    }

    fn lock(&self, path: &Path) -> io::Result<Option<std::fs::File>> {
        let file = self.open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn open(&self, path: &Path) -> io::Result<std::fs::File> {
        std::fs::OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
    }

    fn create(&self, path: &Path) -> io::Result<std::fs::File> {
        std::fs::File::create(path)
    }

    fn open_random_access(&self, path: &Path) -> io::Result<std::fs::File> {
        let file = self.open(path)?;
        // Guards a store against two relays that were given the same file.
        file.try_lock().map_err(|_| {
            io::Error::new(io::ErrorKind::WouldBlock, "another process has it open")
        })?;
        Ok(file)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        std::fs::read(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }

    fn signals(&self) -> io::Result<OsSignals> {
        Ok(OsSignals {
            hangup: signal(SignalKind::hangup())?,
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    fn env_var(&self, name: &str) -> Option<String> {
        std::env::var(name).ok().filter(|value| !value.is_empty())
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        eprintln!("{line}");
    }
}

impl RandomAccessFile for std::fs::File {
    fn length(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<()> {
        FileExt::read_exact_at(self, into, at)
    }

    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        FileExt::write_all_at(self, bytes, at)
    }

    fn set_length(&self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}

/// A task of the runtime.
pub struct OsTask(JoinHandle<()>);

impl Task for OsTask {
    fn abort(&self) {
        self.0.abort();
    }

    async fn join(&mut self) {
        // One that was ended early has ended all the same.
        drop((&mut self.0).await);
    }
}

/// Takes connections at a Unix socket that only its owner may use.
async fn listen_local(at: &Path) -> io::Result<UnixListener> {
    let bind = || -> io::Result<UnixListener> {
        let listener = UnixListener::bind(at)?;
        std::fs::set_permissions(at, Permissions::from_mode(0o600))?;
        Ok(listener)
    };
    match bind() {
        Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
            // A process that was killed leaves its socket behind; nothing else of that name is touched.
            let stale =
                std::fs::symlink_metadata(at).is_ok_and(|meta| meta.file_type().is_socket());
            if !stale || UnixStream::connect(at).await.is_ok() {
                return Err(error);
            }
            std::fs::remove_file(at)?;
            bind()
        }
        bound => bound,
    }
}

/// A connection of the machine.
#[derive(Debug)]
pub enum OsStream {
    /// By TCP.
    Tcp(TcpStream),
    /// By a Unix socket.
    Unix(UnixStream),
}

/// Does the same on either kind of connection.
macro_rules! either {
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
        either!(self.get_mut(), stream => Pin::new(stream).poll_read(cx, into))
    }
}

impl AsyncWrite for OsStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        text: &[u8],
    ) -> Poll<io::Result<usize>> {
        either!(self.get_mut(), stream => Pin::new(stream).poll_write(cx, text))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        either!(self.get_mut(), stream => Pin::new(stream).poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        either!(self.get_mut(), stream => Pin::new(stream).poll_shutdown(cx))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        either!(self.get_mut(), stream => Pin::new(stream).poll_write_vectored(cx, parts))
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
        either!(self, stream => stream.readable().await)
    }

    fn try_read_buf(&self, into: &mut BytesMut) -> io::Result<usize> {
        either!(self, stream => stream.try_read_buf(into))
    }

    fn pending_input(&self) -> PendingInput {
        let socket = either!(self, stream => SockRef::from(stream));
        match socket.peek(&mut [MaybeUninit::uninit()]) {
            Ok(1..) => PendingInput::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => PendingInput::Empty,
            Ok(0) | Err(_) => PendingInput::Closed,
        }
    }
}

/// A port or socket of the machine.
#[derive(Debug)]
pub enum OsListener {
    /// A TCP port.
    Tcp(TcpListener),
    /// A Unix socket.
    Unix(UnixListener),
}

impl Listener for OsListener {
    type Stream = OsStream;

    async fn accept(&self) -> io::Result<OsStream> {
        match self {
            OsListener::Tcp(listener) => listener
                .accept()
                .await
                .map(|(stream, _)| OsStream::Tcp(stream)),
            OsListener::Unix(listener) => listener
                .accept()
                .await
                .map(|(stream, _)| OsStream::Unix(stream)),
        }
    }
}

impl File for std::fs::File {
    fn set_len(&self, length: u64) -> io::Result<()> {
        std::fs::File::set_len(self, length)
    }
}

/// SIGHUP, SIGTERM and SIGINT.
pub struct OsSignals {
    hangup: tokio::signal::unix::Signal,
    term: tokio::signal::unix::Signal,
    interrupt: tokio::signal::unix::Signal,
}

impl Signals for OsSignals {
    async fn next(&mut self) -> Signal {
        tokio::select! {
            biased;
            Some(()) = self.term.recv() => Signal::Stop,
            Some(()) = self.interrupt.recv() => Signal::Stop,
            Some(()) = self.hangup.recv() => Signal::Reload,
            // A stream of signals that has ended is no reason to spin.
            else => std::future::pending().await,
        }
    }
}
