//! The control file, through which a test sets the rates of faults while the process runs.

use std::ffi::CString;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::OnceLock;

/// The environment variable that names the control file.
const CONTROL_VARIABLE: &str = "FAULT_INJECTION_CONTROL";

/// The content of the control file, in native byte order. The relay's tests (`faults.rs`) write it by the offsets of
/// the fields, so their order and size must not change.
#[repr(C)]
pub struct Control {
    /// How far the wall clock is ahead, in milliseconds; negative if it is behind.
    pub wall_clock_step_ms: AtomicI64,
    /// Percentage of transfers on sockets that are shortened to a random length.
    pub short_transfers_percent: AtomicI64,
    /// Percentage of calls of accept, connect, socket and epoll_wait that fail with a temporary error.
    pub network_failures_percent: AtomicI64,
    /// Percentage of writes to files that fail or write only a part.
    pub file_failures_percent: AtomicI64,
    /// State of the random number generator; a test writes its seed here.
    random_state: AtomicU64,
    /// Percentage of calls of socket and connect that fail because the machine lacks a resource.
    pub socket_shortages_percent: AtomicI64,
}

impl Control {
    /// The mapped control file, or [`NO_FAULTS`] in a process without one.
    pub fn get() -> &'static Control {
        static CONTROL: OnceLock<&'static Control> = OnceLock::new();
        CONTROL.get_or_init(|| map_control_file().unwrap_or(&NO_FAULTS))
    }

    /// A random number below `limit` (SplitMix64).
    pub fn random(&self, limit: u64) -> u64 {
        const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
        let state = self.random_state.fetch_add(INCREMENT, Ordering::Relaxed);
        let mut mixed = state.wrapping_add(INCREMENT);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit.max(1)
    }
}

/// The settings of a process without a control file.
static NO_FAULTS: Control = Control {
    wall_clock_step_ms: AtomicI64::new(0),
    short_transfers_percent: AtomicI64::new(0),
    network_failures_percent: AtomicI64::new(0),
    file_failures_percent: AtomicI64::new(0),
    random_state: AtomicU64::new(0),
    socket_shortages_percent: AtomicI64::new(0),
};

/// Maps the file that [`CONTROL_VARIABLE`] names; `None` if it is unset, or the file cannot be opened or mapped.
fn map_control_file() -> Option<&'static Control> {
    let path = CString::new(std::env::var(CONTROL_VARIABLE).ok()?).ok()?;
    // SAFETY: the path is a valid C string, and the descriptor is used only in this function.
    let file = unsafe { libc::open(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC) };
    if file < 0 {
        return None;
    }
    // SAFETY: this creates a new mapping; the test has made the file as long as `Control`.
    let mapping = unsafe {
        libc::mmap(
            std::ptr::null_mut(),
            size_of::<Control>(),
            libc::PROT_READ | libc::PROT_WRITE,
            libc::MAP_SHARED,
            file,
            0,
        )
    };
    // SAFETY: the descriptor was opened above. Closing it does not remove the mapping.
    unsafe { libc::close(file) };
    if mapping == libc::MAP_FAILED {
        return None;
    }
    // SAFETY: the mapping is page-aligned, as long as `Control`, never removed, and any bytes are valid numbers.
    Some(unsafe { &*mapping.cast::<Control>() })
}
