//! Tenants and the administration API: its responses, and the guarantees that hold during failures.

#[path = "../api/mod.rs"]
mod api;
mod durability;
mod load;
mod requests;
mod sessions;
mod startup;
#[path = "../support/mod.rs"]
mod support;
mod tenant_lifecycle;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use api::*;
use serde_json::{json, Value};
use support::*;

fn up(name: &str, host: &Host, block: u16) -> Value {
    entry(name, host.address, block, "up")
}
