//! A shared library that makes system calls of a process fail in the ways that Linux documents.
//!
//! A test preloads the shared library (`LD_PRELOAD`) into a process that it starts itself, and names a control file in
//! the environment. The library maps that file, so that the test can turn faults on and off while the process runs.
//! No program may link this package, because its functions would replace those of the C library in that program too.

mod calls;
mod control;

use control::Control;

/// Decides at random whether a fault occurs, with a probability of `percent`.
fn draw_fault(percent: i64) -> bool {
    percent > 0 && Control::get().random(100) < percent as u64
}

/// Sets the error number of the calling thread, and returns the value by which a system call reports a failure.
fn fail_with(error: libc::c_int) -> isize {
    // SAFETY: the C library returns a valid pointer to the thread's own error number.
    unsafe { *libc::__errno_location() = error };
    -1
}
