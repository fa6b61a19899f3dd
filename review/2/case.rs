//! Each host sends one of its answers twice. The copy comes right behind the answer, while nothing else waits on the
//! connection. The relay takes the copy for the answer to its next call on that connection, and counts a message as
//! delivered to which the host answers 500 later.

#[path = "../standin/common.rs"]
mod common;

use common::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DESTINATIONS: u16 = 16;
/// Messages of a clump, and the number of clumps for each destination.
const CLUMP: usize = 10;
const CLUMPS: usize = 2;
/// Time between the clumps of two destinations.
const STAGGER: Duration = Duration::from_millis(300);
/// Copies of answers for each host: 16 of 320 answers.
const COPIES: usize = 1;
/// How far a copy is behind its answer. The host's next call can come 30 ms after the answer at the earliest, as both
/// cross the network: nothing else waits on the connection.
const COPY_DELAY: Duration = Duration::from_millis(1);
/// Calls that are answered 500: three of 320 calls, under 1% (`error_rate = [0, 0.01]`).
const MAX_ERRORS: usize = 3;
/// How long a call takes (`work_ms = [140, 250]`), and the one that is answered 500.
const WORK: Duration = Duration::from_millis(200);
const LONG_WORK: Duration = Duration::from_millis(600);
/// One way through the network (`same_ms = [5, 15]`), and its variation (`jitter = [0.089, 0.24]`).
const ONE_WAY_US: u64 = 15_000;
const JITTER_US: u64 = 3_600;

fn main() {
    std::process::exit(run());
}

fn host(record: &Record, name: &str, errors: Arc<AtomicUsize>) -> Host {
    let trouble = with_trouble();
    let copied = Arc::new(Mutex::new(Vec::new()));
    Host::start(record, name, move |call| {
        let mut copied = copied.lock().unwrap();
        let follows_copy = call.before == 1 && copied.contains(&call.connection);
        // Without the disruption the same calls fail: the second ones of the first connections.
        let may_fail = follows_copy || !trouble && call.before == 1;
        if may_fail && errors.fetch_add(1, Ordering::SeqCst) < MAX_ERRORS {
            return vec![(LONG_WORK, answer("500 Internal Server Error"))];
        }
        let mut script = vec![(WORK, answer("200 OK"))];
        if trouble && call.before == 0 && copied.len() < COPIES {
            copied.push(call.connection);
            script.push((COPY_DELAY, answer("200 OK")));
        }
        script
    })
}

fn run() -> i32 {
    let record = Record::new();
    record.write(&format!("trouble={}", with_trouble()));
    let errors = Arc::new(AtomicUsize::new(0));
    let mut hosts = Vec::new();
    let mut entries = Vec::new();
    for block in 1..=DESTINATIONS {
        let host = host(&record, &format!("s-{block:08x}"), errors.clone());
        let dial = network(host.address, |piece| {
            let share = (piece as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
            Duration::from_micros(ONE_WAY_US + share * JITTER_US / (1 << 32))
        });
        entries.push(Entry {
            host: host.name.clone(),
            dial,
            block,
            health: "up",
            share: 40.0,
        });
        hosts.push(host);
    }
    let discovery = Discovery::start(&record, entries.clone());
    let mut relay = Relay::new(&record, "case-2");
    let known = list_json(1, true, &entries);
    relay.write_config(&relay.config_text(discovery.address, &Settings::default(), &known));
    if !relay.start(discovery.address, Duration::from_secs(30)) {
        record.write("result: could not run, the relay is not ready");
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_millis(500));
    let clients: Vec<_> = (1..=DESTINATIONS)
        .map(|block| {
            let mut client = Client::new(&record, relay.listen);
            thread::spawn(move || {
                let mut messages = Vec::new();
                thread::sleep(STAGGER * u32::from(block));
                for clump in 0..CLUMPS {
                    for number in 0..CLUMP {
                        let class = match (clump * CLUMP + number) % 8 {
                            0 => "payout",
                            1 | 3 | 5 | 7 => "loan-event",
                            _ => "status-update",
                        };
                        let time = if class == "payout" { 28_000 } else { 24_000 };
                        messages.push(client.hand_in(
                            class,
                            block,
                            time,
                            b"{\"amount\":\"120.00\"}",
                        ));
                    }
                    thread::sleep(Duration::from_millis(2500));
                }
                messages
            })
        })
        .collect();
    let messages: Vec<Message> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let taken: Vec<&Message> = messages
        .iter()
        .filter(|message| message.is_taken())
        .collect();
    let has_ended = |message: &Message| {
        hosts.iter().any(|host| host.delivered(&message.id))
            || discovery.notice_of(&message.id).is_some()
    };
    // The last message's time, 300 ms and 50 ms; one second more for a slow machine.
    let last = taken
        .iter()
        .map(|message| message.due)
        .max()
        .unwrap_or_else(Instant::now);
    let limit = last.saturating_duration_since(Instant::now()) + Duration::from_millis(1350);
    wait_until(limit, || taken.iter().all(|message| has_ended(message)));
    let lost: Vec<&&Message> = taken.iter().filter(|message| !has_ended(message)).collect();
    for message in &lost {
        record.write(&format!(
            "LOST {} {} for {}: taken, no 200 was written for it and no notice came",
            message.class, message.id, message.dest
        ));
    }
    let calls: usize = hosts
        .iter()
        .map(|host| host.calls.lock().unwrap().len())
        .sum();
    record.write(&format!(
        "result: handed in {}, taken {}, calls {calls}, errors {}, lost {}",
        messages.len(),
        taken.len(),
        errors.load(Ordering::SeqCst).min(MAX_ERRORS),
        lost.len()
    ));
    if taken.len() < 100 {
        record.write("result: could not run, too few messages were taken");
        return COULD_NOT_RUN;
    }
    if lost.is_empty() {
        HELD
    } else {
        BROKEN
    }
}
