//! The listening socket that the process inherited.

use std::io;
use std::os::fd::{BorrowedFd, OwnedFd};

use socket2::Socket;
use tokio::net::TcpListener;

/// The lowest descriptor that can be inherited; those below are standard input, output and error.
const FIRST_DESCRIPTOR: i32 = 3;

/// Creates a listener on a duplicate of the inherited descriptor. The inherited descriptor stays open.
///
/// # Errors
/// `InvalidInput` if the descriptor is not open or is not a listening socket.
pub(crate) fn duplicate_listener(descriptor: i32) -> io::Result<TcpListener> {
    if descriptor < FIRST_DESCRIPTOR || !is_open(descriptor) {
        return Err(invalid_input("it is not open"));
    }
    let socket = Socket::from(duplicate(descriptor)?);
    if !socket.is_listener().unwrap_or(false) {
        return Err(invalid_input("it is not a listening socket"));
    }
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

fn is_open(descriptor: i32) -> bool {
    std::fs::symlink_metadata(format!("/proc/self/fd/{descriptor}")).is_ok()
}

fn invalid_input(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, reason)
}

/// The standard library has no safe function that accesses an inherited descriptor: its safe functions cover only
/// standard input, output and error, and a socket cannot be opened by its path under `/proc`.
#[allow(unsafe_code)]
fn duplicate(descriptor: i32) -> io::Result<OwnedFd> {
    // SAFETY: the caller has just found the descriptor open, no code of this process closes a descriptor that it has not
    // opened, and the borrow ends with this function.
    let inherited = unsafe { BorrowedFd::borrow_raw(descriptor) };
    inherited.try_clone_to_owned()
}
