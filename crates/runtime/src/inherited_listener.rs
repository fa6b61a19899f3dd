//! A listening socket that the process was started with.

use std::io;
use std::os::fd::{BorrowedFd, OwnedFd};

use socket2::Socket;
use tokio::net::TcpListener;

/// The lowest descriptor that may be given: below are standard input, output and error.
const LEAST: i32 = 3;

/// Another descriptor of that socket, ready for the runtime; the one that was given stays as it is.
pub fn listener(descriptor: i32) -> io::Result<TcpListener> {
    let wrong = |why: &str| io::Error::new(io::ErrorKind::InvalidInput, why.to_string());
    if descriptor < LEAST
        || std::fs::symlink_metadata(format!("/proc/self/fd/{descriptor}")).is_err()
    {
        return Err(wrong("it is not open"));
    }
    let socket = Socket::from(copy(descriptor)?);
    if !socket.is_listener().unwrap_or(false) {
        return Err(wrong("it is no listening socket"));
    }
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

/// The standard library takes a number for a descriptor only as the caller's word that it is open, and knows no other
/// way to one that was inherited: its safe calls name only standard input, output and error, and a socket can't be
/// opened by its path under `/proc`.
#[allow(unsafe_code)]
fn copy(descriptor: i32) -> io::Result<OwnedFd> {
    // SAFETY: the caller has just found it open, nothing in this process closes a descriptor that it has not made, and
    // the borrow ends here.
    let given = unsafe { BorrowedFd::borrow_raw(descriptor) };
    given.try_clone_to_owned()
}
