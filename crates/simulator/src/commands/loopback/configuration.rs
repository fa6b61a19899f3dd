//! The configuration of a relay on loopback sockets, and the context of its peers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

use runtime::{OsRuntime, Runtime};
use serde_json::Value;

use super::MESSAGE_TTL_MS;
use crate::checker::Checker;
use crate::peers::Stage;
use crate::rules::facts::Rules;
use crate::script::Script;

/// Space for the state directory.
const DISK_MB: f64 = 3.0;
/// The same in bytes, as the checker counts.
const DISK_BYTES: u64 = 3_000_000;
/// Messages that the relay may queue.
const QUEUE_CAPACITY: u64 = 200;
/// Calls in flight at once.
const MAX_CALLS_IN_FLIGHT: u64 = 16;
/// Destinations whose capacity the checker knows.
const DESTINATIONS: u16 = 3;
/// Calls a second that each of them takes.
const DESTINATION_CAPACITY: f64 = 60.0;
/// Microseconds of a millisecond: the settings count in these.
const MICROS_PER_MS: u64 = 1000;

/// A relay's configuration, and the rules that follow from it.
pub(in crate::commands) struct RelayConfiguration {
    /// The file.
    pub file: Value,
    pub rules: Rules,
}

/// The configuration of a simulated day, with other addresses and limits.
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
    let rules = Rules {
        disk: DISK_BYTES,
        capacity,
        ..script.rules
    };
    RelayConfiguration { file, rules }
}

/// The context of peers on real sockets, where only a host learns that the relay has closed a connection.
pub(in crate::commands) fn peer_context(rules: Rules) -> Stage<OsRuntime> {
    Stage {
        runtime: OsRuntime,
        start: OsRuntime.now(),
        relay: 0,
        checker: Rc::new(RefCell::new(Checker::new(rules, 1))),
        holds: Rc::new(|_| false),
        hears: Rc::new(|_| true),
        news: Rc::new(|_| {}),
    }
}
