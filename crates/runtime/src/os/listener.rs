//! Listeners of the operating system.

use std::fs::Permissions;
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::Path;

use tokio::net::{TcpListener, TcpSocket, UnixListener, UnixStream};

use super::OsStream;
use crate::Listener;

/// File mode of a Unix socket. Any user who can connect can administer the relay, so only the owner may connect.
const OWNER_ONLY: u32 = 0o600;

/// Number of connections that wait to be accepted. The system drops further ones, and their clients try again only after a
/// second.
const ACCEPT_QUEUE_LENGTH: u32 = 4096;

/// A listener of the operating system.
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

/// Listens on a TCP port.
pub(super) fn listen_tcp(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A port can be used again while connections of an earlier process close.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE_LENGTH)
}

/// Listens on a Unix socket that only its owner may use.
pub(super) async fn listen_unix(path: &Path) -> io::Result<UnixListener> {
    let bind = || -> io::Result<UnixListener> {
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, Permissions::from_mode(OWNER_ONLY))?;
        Ok(listener)
    };
    match bind() {
        Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
            // A killed process leaves its socket behind, which is replaced. A socket that another process listens on,
            // and a file that is not a socket, are not touched.
            let is_socket =
                std::fs::symlink_metadata(path).is_ok_and(|meta| meta.file_type().is_socket());
            if !is_socket || UnixStream::connect(path).await.is_ok() {
                return Err(error);
            }
            std::fs::remove_file(path)?;
            bind()
        }
        bound => bound,
    }
}
