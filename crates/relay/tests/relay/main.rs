//! Runs the relay as a process between scripted peers on loopback sockets.

mod client_connections;
mod configuration;
mod discovery;
mod journal;
mod requests;
mod resources;
mod retries;
mod shutdown;
#[path = "../support/mod.rs"]
mod support;

use std::fs;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

use serde_json::Value;
use support::*;

fn up(name: &str, host: &Host, block: u16) -> Value {
    entry(name, host.address, block, "up")
}
