//! The relay as a process between scripted peers on loopback sockets.

mod client_connections;
mod configuration;
mod discovery;
mod journal;
mod requests;
mod resources;
mod retries;
#[path = "../scene/mod.rs"]
mod scene;
mod shutdown;

use std::fs;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

use scene::*;
use serde_json::Value;

fn up(name: &str, host: &Host, block: u16) -> Value {
    entry(name, host.address, block, "up")
}
