//! Configuration of a relay on loopback sockets, and the context of its peers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use runtime::{OsRuntime, Runtime};
use serde_json::Value;

use super::MESSAGE_TTL_MS;
use crate::checker::Checker;
use crate::history::Limits;
use crate::peers::PeerContext;
use crate::script::Script;

/// Disk limit of the state directory, in megabytes.
const DISK_MB: f64 = 3.0;
/// Disk limit of the state directory, in bytes, for the checker.
const DISK_BYTES: u64 = 3_000_000;
/// Maximum number of queued messages.
const QUEUE_CAPACITY: u64 = 200;
/// Maximum number of calls in flight.
const MAX_CALLS_IN_FLIGHT: u64 = 16;
/// Number of destinations for which the checker has a capacity.
const DESTINATIONS: u16 = 3;
/// Capacity of each of them, in calls a second.
const DESTINATION_CAPACITY: f64 = 60.0;
/// Microseconds in a millisecond: the settings are in microseconds.
const MICROS_PER_MS: u64 = 1000;

/// A relay's configuration, and the limits that follow from it.
pub(in crate::commands) struct RelayConfiguration {
    /// Contents of the configuration file.
    pub file: Value,
    pub limits: Limits,
}

/// The configuration of the plain scenario of seed 0, with other addresses and limits.
pub(in crate::commands) fn configuration(
    relay: SocketAddr,
    discovery: SocketAddr,
    state_directory: &Path,
    hosts: &Value,
) -> RelayConfiguration {
    let script = Script::draw(0);
    let mut file = script.config(0, &script.settings, hosts, discovery);
    file["listen"] = relay.to_string().into();
    file["state"] = state_directory.to_string_lossy().into_owned().into();
    file["limits"]["disk_mb"] = DISK_MB.into();
    file["settings"]["limits"]["mostHeld"] = QUEUE_CAPACITY.into();
    file["settings"]["familyInfo"]["callsOut"] = MAX_CALLS_IN_FLIGHT.into();
    let classes = file["settings"]["services"].as_array_mut();
    for class in classes.into_iter().flatten() {
        class["giveUp"] = (MESSAGE_TTL_MS * MICROS_PER_MS).into();
        class["fifoByKey"] = false.into();
        class["keyScope"] = "all".into();
    }
    let capacity: BTreeMap<u16, f64> = (1..=DESTINATIONS)
        .map(|destination| (destination, DESTINATION_CAPACITY))
        .collect();
    let limits = Limits {
        max_disk_bytes: DISK_BYTES,
        capacity,
        ..script.limits
    };
    RelayConfiguration { file, limits }
}

/// The context of peers on real sockets, where only a host detects that the relay has closed a connection.
pub(in crate::commands) fn peer_context(limits: Limits) -> PeerContext<OsRuntime> {
    PeerContext {
        runtime: OsRuntime,
        start: OsRuntime.now(),
        relay: 0,
        checker: Rc::new(RefCell::new(Checker::new(limits, 1))),
        is_connection_open: Rc::new(|_| false),
        is_connection_readable: Rc::new(|_| true),
        trace: Rc::new(|_| {}),
    }
}
