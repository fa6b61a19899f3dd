//! Ten relays hold messages for a partner that hangs. Seven of them are killed at once and started again with their
//! folders. Then the partner comes back cold.
#[path = "../standin-2/common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Calls a second that the partner takes from all relays together, as the list tells it.
const LIMIT: f64 = 60.0;
/// Messages a second that each relay gets, and how many of them are for the partner: 24%.
const PER_RELAY: u64 = 25;
const FOR_PARTNER: u64 = 6;
/// Calls a second that the other partners take.
const OTHER_LIMIT: f64 = 120.0;
const RELAYS: usize = 10;
/// How many of them are killed at once: seven in ten.
const KILLED: usize = 7;
/// Time of a call at the partner.
const CALL_MS: u64 = 150;
/// `rules.coldFrom`, `rules.cold`, `rules.overloadFactor` and `rules.overloadFor` of the settings.
const COLD_FROM: f64 = 0.19;
const COLD_S: f64 = 10.0;
const FACTOR: f64 = 2.0;
const SPAN: Duration = Duration::from_millis(1500);

/// When the partner hangs, counted from the start of the traffic.
const OUTAGE_AT_MS: u64 = 5_000;
/// When the relay is killed.
const KILL_AT_MS: u64 = 15_000;
/// From SIGKILL to the next start.
const RESTART_MS: u64 = 600;
/// When the partner's hung process ends, which resets its connections. Calls are not answered before the return.
const RESET_AT_MS: u64 = 17_200;
/// When the partner is back.
const RETURN_AT_MS: u64 = 17_500;
const END_MS: u64 = 32_000;

struct Partner {
    down_from: Instant,
    back_at: Instant,
    tokens: f64,
    refilled_at: Instant,
}

impl Partner {
    fn is_down(&self, now: Instant) -> bool {
        now >= self.down_from && now < self.back_at
    }

    fn capacity(&self, now: Instant) -> f64 {
        if now < self.back_at {
            return LIMIT;
        }
        let warm = (now - self.back_at).as_secs_f64() / COLD_S;
        LIMIT * (COLD_FROM + (1.0 - COLD_FROM) * warm).min(1.0)
    }

    /// Whether the partner has capacity for a call: a plain rate, with a depth of a second.
    fn takes(&mut self, now: Instant) -> bool {
        let rate = self.capacity(now);
        let passed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * rate).min(rate.max(1.0));
        self.refilled_at = now;
        let takes = self.tokens >= 1.0;
        if takes {
            self.tokens -= 1.0;
        }
        takes
    }
}

fn services() -> String {
    // The site's classes with a shorter deadline, as on the short days of STANDING.
    SERVICES
        .replace("\"giveUp\":24000000", "\"giveUp\":12000000")
        .replace("\"giveUp\":28000000", "\"giveUp\":12000000")
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::new();
    let folders: Vec<Folder> = (0..RELAYS).map(|_| Folder::new()).collect();
    let trouble = has_trouble();
    let start = Instant::now() + Duration::from_millis(4_000);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let partner = Arc::new(Mutex::new(Partner {
        down_from: at(OUTAGE_AT_MS),
        back_at: at(RETURN_AT_MS),
        tokens: LIMIT,
        refilled_at: Instant::now(),
    }));
    let of_host = partner.clone();
    let host = Host::start("s-1", &record, move |call| {
        let mut partner = of_host.lock().unwrap();
        if partner.is_down(call.arrived) {
            Act::Hang
        } else if partner.takes(call.arrived) {
            answer(CALL_MS, 200)
        } else {
            answer(0, 503)
        }
    });
    let others: Vec<Host> = (2..=4u16)
        .map(|n| Host::start(&format!("s-{n}"), &record, |_| answer(CALL_MS, 200)))
        .collect();
    let mut hosts = vec![Entry::of(&host, 1, LIMIT)];
    hosts.extend(
        others
            .iter()
            .zip(2..)
            .map(|(host, block)| Entry::of(host, block, OTHER_LIMIT)),
    );
    let known = list_json(41, true, &hosts);
    let discovery = Discovery::start(&record, 41, hosts);
    let mut relays = Vec::new();
    for number in 0..RELAYS {
        let listen = free_address();
        let config = folders[number].path("config.json");
        let settings = settings(9, 160, &services())
            .replace("\"siblings\":1", &format!("\"siblings\":{RELAYS}"))
            .replace("\"ordinal\":0", &format!("\"ordinal\":{number}"));
        write_config(&config, listen, discovery.address, &known, &settings);
        relays.push((listen, Relay::start(&folders[number], &config, &[], "")));
    }
    for (listen, _) in &relays {
        if !wait_ready(*listen, Duration::from_millis(3_500)) {
            record.tell("a relay is not ready");
            return NOT_RUN;
        }
    }
    let addresses: Vec<_> = relays.iter().map(|(listen, _)| *listen).collect();
    // A client beside each relay. It does not come again after a refusal or without an answer.
    let owners = Arc::new(Mutex::new(BTreeMap::new()));
    let clients: Vec<_> = (0..RELAYS)
        .map(|number| {
            let (record, owners, listen) = (record.clone(), owners.clone(), addresses[number]);
            thread::spawn(move || {
                let mut client = Client::new(listen);
                for n in 0..END_MS * PER_RELAY / 1000 {
                    let offset = (number as u64) * 1000 / PER_RELAY / RELAYS as u64;
                    let due = start + Duration::from_millis(n * 1000 / PER_RELAY + offset);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let is_for_partner = n * FOR_PARTNER / PER_RELAY != (n + 1) * FOR_PARTNER / PER_RELAY;
                    let dest = if is_for_partner { 1 } else { 2 + (n % 3) as u16 };
                    let id = format!("{:08x}{n:08x}", number + 1);
                    let class = ["loan-event", "status-update"][(n % 2) as usize];
                    let message = Message {
                        id: id.clone(),
                        class: class.into(),
                        tenant: "forthside-cash".into(),
                        ttl_ms: 12_000,
                        dest,
                        key: (class == "loan-event").then(|| format!("k{id}")),
                    };
                    let answer = client.submit(&message);
                    record.say(&format!("client {number}: {} {class} -> {answer}", message.id));
                    owners.lock().unwrap().insert(message.id, (number, answer));
                }
            })
        })
        .collect();
    if trouble {
        thread::sleep(at(KILL_AT_MS).saturating_duration_since(Instant::now()));
        record.say(&format!("platform: SIGKILL to {KILLED} relays"));
        for (_, relay) in relays.iter_mut().take(KILLED) {
            relay.kill();
        }
        sleep_ms(RESTART_MS);
        record.say("platform: starts them again");
        for number in 0..KILLED {
            let config = folders[number].path("config.json");
            relays[number].1 = Relay::start(&folders[number], &config, &[], "");
        }
        for (listen, _) in relays.iter().take(KILLED) {
            if !wait_ready(*listen, Duration::from_secs(3)) {
                record.tell("a relay is not ready again");
                return NOT_RUN;
            }
        }
        record.say("the relays are ready");
    }
    thread::sleep(at(RESET_AT_MS).saturating_duration_since(Instant::now()));
    host.close_connections();
    thread::sleep(at(RETURN_AT_MS).saturating_duration_since(Instant::now()));
    record.say("partner: is back, cold");
    host.close_connections();
    thread::sleep(at(END_MS).saturating_duration_since(Instant::now()));
    for client in clients {
        client.join().ok();
    }
    drop(relays);

    let calls = host.calls();
    let (back_at, down_from) = (at(RETURN_AT_MS), at(OUTAGE_AT_MS));
    let owners = owners.lock().unwrap();
    let taken = owners.values().filter(|(_, answer)| answer == "+OK").count();
    record.tell(&format!("messages: {}, taken on: {taken}", owners.len()));
    let mut told = [false; RELAYS];
    for number in 0..RELAYS {
        let of_relay = |call: &&Call| owners.get(&call.id).is_some_and(|(owner, _)| *owner == number);
        let count = |from: Instant, to: Instant| {
            calls
                .iter()
                .filter(of_relay)
                .filter(|call| call.arrived >= from && call.arrived < to)
                .count()
        };
        let seen = [
            count(down_from, at(KILL_AT_MS)),
            count(at(KILL_AT_MS), at(RESET_AT_MS)),
            count(back_at, back_at + SPAN),
        ];
        // The present process of the relay has seen a call fail in the outage.
        told[number] = seen[1] > 0 || (seen[0] > 0 && !(trouble && number < KILLED));
        record.tell(&format!(
            "relay {number}: calls without an answer in the outage: {} before the kill, {} after it that were reset before \
             the return; calls in the first 1.5 s after the return: {}",
            seen[0], seen[1], seen[2]
        ));
    }
    let cold: Vec<(Instant, bool)> = calls
        .iter()
        .filter(|call| call.arrived >= back_at)
        .map(|call| {
            (
                call.arrived,
                owners.get(&call.id).is_some_and(|(owner, _)| told[*owner]),
            )
        })
        .collect();
    let mut worst: Option<(f64, usize, f64, u64)> = None;
    for (last, (end, _)) in cold.iter().enumerate() {
        let first = cold.iter().position(|(at, _)| *at + SPAN > *end).unwrap_or(last);
        let count = last - first + 1;
        let from_told = cold[first..=last].iter().filter(|(_, is_told)| *is_told).count();
        if from_told * 3 < count * 2 {
            continue;
        }
        // The capacity at the end of the span, which is the largest in it.
        let capacity = partner.lock().unwrap().capacity(*end);
        let n = FACTOR * capacity * SPAN.as_secs_f64();
        let allowed = if n < 30.0 {
            n + 3.0 * n.sqrt() + 3.0
        } else {
            n + 2.0 * n.sqrt() + 2.0
        };
        let excess = count as f64 - allowed;
        if worst.is_none_or(|(known, ..)| excess > known) {
            worst = Some((excess, count, allowed, (*end - back_at).as_millis() as u64));
        }
    }
    let Some((excess, count, allowed, when)) = worst else {
        record.tell("no call after the return");
        return NOT_RUN;
    };
    record.tell(&format!(
        "most calls in a span of 1.5 s: {count}, allowed {allowed:.1}, {when} ms after the return"
    ));
    if excess > 0.0 {
        record.tell("BROKEN: the partner that came back was pushed over");
        return BROKEN;
    }
    record.tell("held");
    HELD
}
