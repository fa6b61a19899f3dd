//! Replacements of functions of the C library. Each makes the system call itself, or fails as Linux documents.

use std::sync::atomic::Ordering::Relaxed;

use libc::{c_int, c_long, c_void, iovec, sockaddr, socklen_t, ssize_t};

use crate::control::Control;
use crate::{draw_fault, fail_with};

/// Maximum number of buffers of a vectored write that can be shortened; a write with more is passed on unchanged.
const MAX_SHORTENED_BUFFERS: usize = 16;
const MS_PER_SECOND: i64 = 1000;
const NS_PER_MS: i64 = 1_000_000;
const NS_PER_SECOND: i64 = 1_000_000_000;

const ACCEPT_ERRORS: [c_int; 4] = [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EINTR];
const CONNECT_ERRORS: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS];
const SOCKET_ERRORS: [c_int; 2] = [libc::ENFILE, libc::ENOBUFS];
const SOCKET_SHORTAGE_ERRORS: [c_int; 3] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS];
const CONNECT_SHORTAGE_ERRORS: [c_int; 2] = [libc::EADDRNOTAVAIL, libc::ENOBUFS];
const WRITE_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

/// Fails with a randomly chosen one of the errors.
fn fail_with_any_of(errors: &[c_int]) -> isize {
    fail_with(errors[Control::get().random(errors.len() as u64) as usize])
}

/// Decides at random whether a network call fails.
fn network_call_fails() -> bool {
    draw_fault(Control::get().network_failures_percent.load(Relaxed))
}

/// Decides at random whether a call fails because the machine lacks a resource for a socket.
fn lacks_socket_resource() -> bool {
    draw_fault(Control::get().socket_shortages_percent.load(Relaxed))
}

/// The length of a transfer of which `length` bytes were requested: all of them, or a random part.
fn transfer_length(length: usize) -> usize {
    if length > 1 && draw_fault(Control::get().short_transfers_percent.load(Relaxed)) {
        1 + Control::get().random(length as u64 - 1) as usize
    } else {
        length
    }
}

/// Transfers bytes on a connected socket, by a system call with an optional address, which is omitted.
unsafe fn transfer(
    call: c_long,
    socket: c_int,
    buffer: *const c_void,
    length: usize,
    flags: c_int,
) -> ssize_t {
    let no_address = 0usize;
    let no_address_length = 0usize;
    libc::syscall(
        call,
        socket,
        buffer,
        length,
        flags,
        no_address,
        no_address_length,
    ) as ssize_t
}

fn is_socket(descriptor: c_int) -> bool {
    file_type(descriptor) == libc::S_IFSOCK
}

/// Whether injected faults may affect writes to a descriptor: regular files only, and not the log on a standard stream.
fn is_stored_file(descriptor: c_int) -> bool {
    descriptor > libc::STDERR_FILENO && file_type(descriptor) == libc::S_IFREG
}

fn file_type(descriptor: c_int) -> libc::mode_t {
    // SAFETY: all-zero bytes are a valid `stat`, which the call fills.
    unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        match libc::fstat(descriptor, &raw mut status) {
            0 => status.st_mode & libc::S_IFMT,
            _ => 0,
        }
    }
}

/// # Safety
/// Same as `clock_gettime` of the C library.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    let result = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let step = Control::get().wall_clock_step_ms.load(Relaxed);
        let nanoseconds = (*time).tv_nsec + step % MS_PER_SECOND * NS_PER_MS;
        (*time).tv_sec += step / MS_PER_SECOND + nanoseconds.div_euclid(NS_PER_SECOND);
        (*time).tv_nsec = nanoseconds.rem_euclid(NS_PER_SECOND);
    }
    result
}

/// # Safety
/// Same as `recv` of the C library.
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: usize,
    flags: c_int,
) -> ssize_t {
    let length = match flags & libc::MSG_PEEK {
        0 => transfer_length(length),
        _ => length,
    };
    transfer(libc::SYS_recvfrom, socket, buffer, length, flags)
}

/// # Safety
/// Same as `send` of the C library.
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: usize,
    flags: c_int,
) -> ssize_t {
    let length = transfer_length(length);
    transfer(libc::SYS_sendto, socket, buffer, length, flags)
}

/// # Safety
/// Same as `writev` of the C library.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    let count = count as usize;
    if !(1..=MAX_SHORTENED_BUFFERS).contains(&count) || !is_socket(descriptor) {
        return libc::syscall(libc::SYS_writev, descriptor, buffers, count) as ssize_t;
    }
    let mut shortened = [iovec {
        iov_base: std::ptr::null_mut(),
        iov_len: 0,
    }; MAX_SHORTENED_BUFFERS];
    std::ptr::copy_nonoverlapping(buffers, shortened.as_mut_ptr(), count);
    let total = shortened.iter().map(|buffer| buffer.iov_len).sum();
    let mut remaining = transfer_length(total);
    for buffer in &mut shortened[..count] {
        buffer.iov_len = buffer.iov_len.min(remaining);
        remaining -= buffer.iov_len;
    }
    libc::syscall(libc::SYS_writev, descriptor, shortened.as_ptr(), count) as ssize_t
}

/// # Safety
/// Same as `write` of the C library.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: usize) -> ssize_t {
    let control = Control::get();
    let mut length = length;
    if draw_fault(control.file_failures_percent.load(Relaxed)) && is_stored_file(descriptor) {
        // Half of the faults fail the call, the other half write only a part, after which the caller may fail on the rest or
        // be killed.
        if length < 2 || control.random(2) == 0 {
            return fail_with_any_of(&WRITE_ERRORS);
        }
        length = 1 + control.random(length as u64 - 1) as usize;
    }
    libc::syscall(libc::SYS_write, descriptor, buffer, length) as ssize_t
}

/// # Safety
/// Same as `accept4` of the C library.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if network_call_fails() {
        return fail_with_any_of(&ACCEPT_ERRORS) as c_int;
    }
    libc::syscall(libc::SYS_accept4, socket, address, length, flags) as c_int
}

/// # Safety
/// Same as `connect` of the C library.
#[no_mangle]
pub unsafe extern "C" fn connect(
    socket: c_int,
    address: *const sockaddr,
    length: socklen_t,
) -> c_int {
    if network_call_fails() {
        return fail_with_any_of(&CONNECT_ERRORS) as c_int;
    }
    if lacks_socket_resource() {
        return fail_with_any_of(&CONNECT_SHORTAGE_ERRORS) as c_int;
    }
    libc::syscall(libc::SYS_connect, socket, address, length) as c_int
}

/// # Safety
/// Same as `socket` of the C library.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if network_call_fails() {
        return fail_with_any_of(&SOCKET_ERRORS) as c_int;
    }
    if lacks_socket_resource() {
        return fail_with_any_of(&SOCKET_SHORTAGE_ERRORS) as c_int;
    }
    libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int
}

/// # Safety
/// Same as `epoll_wait` of the C library.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    count: c_int,
    timeout: c_int,
) -> c_int {
    if network_call_fails() {
        return fail_with(libc::EINTR) as c_int;
    }
    let no_signals = 0usize;
    let no_signals_size = 0usize;
    libc::syscall(
        libc::SYS_epoll_pwait,
        epoll,
        events,
        count,
        timeout,
        no_signals,
        no_signals_size,
    ) as c_int
}
