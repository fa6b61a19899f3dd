//! Divides the memory limit of the settings among the parts of the process, without I/O.
//!
//! Files in the state directory count as memory, and in an upgrade two processes share the limit. Each part limits the
//! bytes that it holds, so that all of them together stay under the limit, whatever clients, hosts and discovery send.

#[cfg(test)]
mod tests;

use thiserror::Error;

use crate::client_connections::RequestMemoryLimits;
use crate::completed_names::{NameLimits, COMPLETED_NAME_BYTES, STORED_NAME_BYTES};
use crate::journal;

/// Bytes in a megabyte of the limits.
pub const BYTES_PER_MB: f64 = 1e6;
/// Share of the limit that is divided. The rest is for what the allocator cannot use again.
const DIVIDED_SHARE: f64 = 0.75;
/// Share of the limit that the files of the state directory may take.
const FILES_SHARE: f64 = 0.1;
/// Memory for accepted messages, as a multiple of the files: the journal's pending messages, and the journal while it is
/// written anew.
const MESSAGES_PER_FILES: f64 = 1.0;
/// Memory of a process without clients, hosts and messages: its program, stacks and tables.
const BASE_BYTES: usize = 6_000_000;
/// Memory of a client connection with a short request in its buffer.
const CONNECTION_BYTES: usize = 7_500;
/// Shares of the memory that a process has beside its base: for client connections, ...
const CONNECTIONS_SHARE: f64 = 0.35;
/// ... complete short requests that are not answered yet, ...
const SHORT_REQUESTS_SHARE: f64 = 0.07;
/// ... complete long requests that are not answered yet, ...
const LONG_REQUESTS_SHARE: f64 = 0.1;
/// ... long requests that arrive in pieces, ...
const ARRIVING_SHARE: f64 = 0.07;
/// ... names of messages that have ended, ...
const COMPLETED_NAMES_SHARE: f64 = 0.12;
/// ... and a list of hosts while it is received. The rest is for hosts and their connections.
const HOST_LIST_SHARE: f64 = 0.08;
/// Bytes of a list of hosts that are received in any case, sufficient for about five thousand hosts.
const MIN_HOST_LIST_BYTES: usize = 1 << 20;
/// Bytes of a list of hosts that are received at most, sufficient for about twenty thousand hosts.
const MAX_HOST_LIST_BYTES: usize = 4 << 20;
/// Number of client connections for which a process has to have memory; with less, it does not start.
const MIN_CLIENTS: usize = 32;

/// The settings' limits do not suffice for a process.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("limits are too small: {memory_mb} MB of memory, {needed_mb} are needed")]
pub struct TooLittleMemory {
    /// Configured memory, in megabytes.
    memory_mb: f64,
    /// The least memory with which a process starts, in megabytes.
    needed_mb: f64,
}

/// The limits of the settings that the division depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineLimits {
    /// Memory of all processes and files, in megabytes.
    pub memory_mb: f64,
    /// Disk space of the state directory, in megabytes.
    pub disk_mb: f64,
    /// Number of processes that may run at once.
    pub processes: usize,
}

/// The parts' limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryBudget {
    /// Bytes that the files of the state directory may take.
    pub state_files: u64,
    /// Maximum number of client connections.
    pub max_clients: usize,
    /// Bytes of clients' requests.
    pub requests: RequestMemoryLimits,
    /// Numbers of ended messages whose names are kept.
    pub completed_names: NameLimits,
    /// Bytes of a list of hosts that is being received.
    pub host_list: usize,
}

impl MemoryBudget {
    /// Divides the limits of the settings.
    ///
    /// # Errors
    /// [`TooLittleMemory`] if a process could not serve clients within the limit.
    pub fn new(limits: MachineLimits) -> Result<Self, TooLittleMemory> {
        let memory = limits.memory_mb * BYTES_PER_MB;
        let state_files = (limits.disk_mb * BYTES_PER_MB).min(memory * FILES_SHARE);
        let processes = limits.processes.max(1) as f64;
        let shared = state_files * (1.0 + MESSAGES_PER_FILES);
        let process = (memory * DIVIDED_SHARE - shared) / processes;
        let spare = process - BASE_BYTES as f64;
        let share = |share: f64| (spare * share) as usize;
        let max_clients = share(CONNECTIONS_SHARE) / CONNECTION_BYTES;
        if max_clients < MIN_CLIENTS {
            return Err(TooLittleMemory {
                memory_mb: limits.memory_mb,
                needed_mb: least_memory_mb(limits.disk_mb, processes),
            });
        }
        Ok(MemoryBudget {
            state_files: state_files as u64,
            max_clients,
            requests: RequestMemoryLimits {
                short: share(SHORT_REQUESTS_SHARE),
                long: share(LONG_REQUESTS_SHARE),
                arriving: share(ARRIVING_SHARE),
            },
            completed_names: name_limits(share(COMPLETED_NAMES_SHARE), state_files),
            host_list: share(HOST_LIST_SHARE).clamp(MIN_HOST_LIST_BYTES, MAX_HOST_LIST_BYTES),
        })
    }
}

/// The names that fit into this many bytes of memory. Those that are stored have to fit into the journal, too.
fn name_limits(memory: usize, state_files: f64) -> NameLimits {
    let all = memory / COMPLETED_NAME_BYTES;
    let stored = (state_files * journal::NAMES_SHARE) as usize / STORED_NAME_BYTES;
    NameLimits {
        all,
        not_repeatable: all.min(stored),
    }
}

/// The memory limit, in whole megabytes, that leaves each process enough for [`MIN_CLIENTS`].
fn least_memory_mb(disk_mb: f64, processes: f64) -> f64 {
    let clients = (MIN_CLIENTS * CONNECTION_BYTES) as f64 / CONNECTIONS_SHARE;
    let divided = (BASE_BYTES as f64 + clients) * processes / BYTES_PER_MB;
    let files_factor = 1.0 + MESSAGES_PER_FILES;
    let with_small_disk = (divided + disk_mb * files_factor) / DIVIDED_SHARE;
    let with_large_disk = divided / (DIVIDED_SHARE - FILES_SHARE * files_factor);
    with_small_disk.min(with_large_disk).ceil()
}
