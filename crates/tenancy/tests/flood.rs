//! A tenant that floods: what the others keep of their service, by the decision module and the shares together,
//! on a clock of the test's own.

use std::collections::BTreeMap;

use policy::scheduler::NoTenants;
use policy::types::*;
use policy::{DeliveryPolicy, TenantScheduler};
use tenancy::FairQueueScheduler;

const MS: Micros = 1000;
const S: Micros = 1_000_000;
/// How long a partner takes.
const TAKES: Micros = 150 * MS;
/// Messages a second that a tenant usually sends, and how many times that a flood is.
const USUAL: u64 = 20;
const FLOOD: u64 = 20;
const SPAN: Micros = 12 * S;
/// Times that a client comes again after a refusal.
const TRIES: u32 = 3;

const UPDATE: u16 = 0;
const PAYOUT: u16 = 1;

fn settings() -> Settings {
    let class = |effect, worth| Class {
        latency_objective: 2 * S,
        objective_stretch: 0.0,
        time_to_live: 20 * S,
        idempotency: effect,
        value: worth,
        late_value: 0.3,
        is_ordered: false,
    };
    Settings {
        classes: vec![
            class(Idempotency::Idempotent, 2.0),
            class(Idempotency::NonIdempotent, 5.0),
        ],
        kinds: vec![DestinationKind {
            has_host_routes: false,
            max_messages_per_call: 1,
        }],
        tenants: vec![
            Tenant {
                quota_per_second: 100.0,
                share: 1.0
            };
            3
        ],
        over_quota_value: 0.1,
        max_calls: 32,
        max_queued: 200,
        max_queued_bytes: 900_000,
        max_attempts: 12,
        max_retry_after: 2 * S,
        can_cancel: true,
        replicas: 1,
        rules: PlatformRules {
            initial_capacity_share: 0.2,
            warm_up: 10 * S,
            overload_factor: 2.0,
            overload_duration: 2 * S,
            ..PlatformRules::default()
        },
        tick: 5 * MS,
        ..Settings::default()
    }
}

/// What a tenant sends: so many messages a second, each of a class and to a destination by its number.
#[derive(Clone, Copy)]
struct Traffic {
    per_s: u64,
    class: fn(u64) -> u16,
    to: fn(u64) -> DestinationId,
    /// Bytes of each.
    size: usize,
}

struct Underway {
    tenant: usize,
    class: u16,
    first: Micros,
    destination: DestinationId,
    size: usize,
    tries: u32,
}

/// Messages of each tenant that were delivered within their aim, and calls that ended in all.
struct Served {
    in_time: [u64; 3],
    calls: u64,
}

/// Plays a span with partners that take so many calls at once each.
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn play(
    tenants: [Option<Traffic>; 3],
    sharing: Box<dyn TenantScheduler>,
    at_once: usize,
) -> Served {
    let set = settings();
    let mut relay = DeliveryPolicy::with_scheduler(set.clone(), 11, sharing);
    let (mut now, mut next, mut served) = (
        100 * S,
        0,
        Served {
            in_time: [0; 3],
            calls: 0,
        },
    );
    let start = now;
    let hosts = (1..=4).map(|d| HostEntry {
        host: u32::from(d),
        destination: d,
        kind: 0,
        zone: 0,
        state: HostState::Ready,
        weight: 0.0,
    });
    let mut events = vec![Event::HostsUpdated {
        is_full: true,
        cached: false,
        entries: hosts.collect(),
    }];
    let mut open: BTreeMap<MessageId, Underway> = BTreeMap::new();
    let mut attempts: BTreeMap<MessageId, u8> = BTreeMap::new();
    // By when: what a client hands in again, what a partner answers, timers.
    let mut again: BTreeMap<(Micros, MessageId), Underway> = BTreeMap::new();
    let mut calls: BTreeMap<(Micros, MessageId), (HostId, Micros)> = BTreeMap::new();
    let mut busy: BTreeMap<HostId, Vec<Micros>> = BTreeMap::new();
    let mut timers: BTreeMap<Micros, u64> = BTreeMap::new();
    let mut sent = [0; 3];
    while now < start + SPAN {
        for (number, traffic) in tenants
            .iter()
            .enumerate()
            .filter_map(|(n, t)| t.map(|t| (n, t)))
        {
            while sent[number] * S < (now - start) * traffic.per_s {
                let count = sent[number];
                sent[number] += 1;
                let (class, destination) = ((traffic.class)(count), (traffic.to)(count));
                next += 1;
                let size = traffic.size;
                let fresh = Underway {
                    tenant: number,
                    class,
                    first: now,
                    destination,
                    size,
                    tries: 0,
                };
                again.insert((now, next), fresh);
            }
        }
        while let Some(((at, id), underway)) = again.pop_first() {
            if at > now {
                again.insert((at, id), underway);
                break;
            }
            let (class, destination) = (underway.class, underway.destination);
            let due = underway.first + 20 * S;
            let tenant = underway.tenant as TenantId;
            let again = underway.tries > 0;
            events.push(Event::MessageReceived(Message {
                id,
                class,
                destination,
                deadline: due,
                ordering_key: None,
                expected_work: None,
                tenant,
                is_resubmitted: again,
                size: underway.size,
            }));
            open.insert(id, underway);
        }
        while let Some(((at, id), (host, sent_at))) = calls.pop_first() {
            if at > now {
                calls.insert((at, id), (host, sent_at));
                break;
            }
            let (outcome, over) = (AttemptOutcome::Delivered, true);
            let (attempt, elapsed) = (attempts[&id], at - sent_at);
            events.push(Event::AttemptEnded(AttemptEnd {
                id,
                attempt,
                host,
                outcome,
                elapsed,
                is_final: over,
                load_report: Vec::new(),
            }));
            served.calls += 1;
            if let Some(done) = open.remove(&id) {
                served.in_time[done.tenant] += u64::from(at <= done.first + 2 * S);
            }
        }
        while let Some((at, token)) = timers.pop_first() {
            if at > now {
                timers.insert(at, token);
                break;
            }
            events.push(Event::TimerFired(token));
        }
        let mut actions = Vec::new();
        relay.handle(now, std::mem::take(&mut events), &mut actions);
        for action in actions {
            match action {
                Action::Send { id, host, .. } => {
                    attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                    // The partner has so many places; a call waits for the one that is free first.
                    let places = busy.entry(host).or_insert_with(|| vec![0; at_once]);
                    let place = places.iter_mut().min().expect("a place");
                    *place = now.max(*place) + TAKES;
                    calls.insert((*place, id), (host, now));
                }
                Action::Reject { id, retry_after } => {
                    let gone = open.remove(&id).expect("one that is open");
                    if gone.tries < TRIES {
                        next += 1;
                        again.insert(
                            (now + retry_after, next),
                            Underway {
                                tries: gone.tries + 1,
                                ..gone
                            },
                        );
                    }
                }
                Action::SetTimer { delay, token } => drop(timers.insert(now + delay, token)),
                Action::Fail(id) => drop(open.remove(&id)),
                _ => {}
            }
        }
        now += 5 * MS;
    }
    served
}

fn shares() -> Box<dyn TenantScheduler> {
    Box::new(FairQueueScheduler::from_settings(&settings()))
}

/// What tenants 1 and 2 keep of their service, each, while tenant 0 floods.
fn kept(
    usual: [Traffic; 3],
    flood: Traffic,
    sharing: fn() -> Box<dyn TenantScheduler>,
    at_once: usize,
) -> [f64; 2] {
    let calm = play(usual.map(Some), sharing(), at_once);
    let flooded = play([flood, usual[1], usual[2]].map(Some), sharing(), at_once);
    [1, 2].map(|tenant| flooded.in_time[tenant] as f64 / calm.in_time[tenant] as f64)
}

fn mixes() -> [(&'static str, [Traffic; 3], Traffic); 5] {
    let traffic = |class, to| Traffic {
        per_s: USUAL,
        class,
        to,
        size: 500,
    };
    let flood = |class, to| Traffic {
        per_s: USUAL * FLOOD,
        class,
        to,
        size: 500,
    };
    // 30 of them fill the hold.
    let large = |traffic| Traffic {
        size: 30_000,
        ..traffic
    };
    let updates: fn(u64) -> u16 = |_| UPDATE;
    let payouts: fn(u64) -> u16 = |_| PAYOUT;
    let mixed: fn(u64) -> u16 = |n| if n % 5 == 0 { PAYOUT } else { UPDATE };
    let all: fn(u64) -> DestinationId = |n| 1 + (n % 4) as DestinationId;
    let one: fn(u64) -> DestinationId = |_| 1;
    [
        (
            "same class",
            [traffic(updates, all); 3],
            flood(updates, all),
        ),
        (
            "updates against a flood of payouts",
            [traffic(updates, all); 3],
            flood(payouts, all),
        ),
        (
            "one shared partner",
            [traffic(mixed, one); 3],
            flood(mixed, one),
        ),
        ("all partners", [traffic(mixed, all); 3], flood(mixed, all)),
        (
            "large bodies",
            [large(traffic(mixed, all)); 3],
            large(flood(mixed, all)),
        ),
    ]
}

#[test]
fn others_keep_their_service_while_one_floods() {
    for (name, usual, flood) in mixes() {
        let (kept, before) = (
            kept(usual, flood, shares, 64),
            kept(usual, flood, || Box::new(NoTenants), 64),
        );
        println!("{name}: kept {kept:.3?}, without shares {before:.3?}");
        assert!(kept.iter().all(|kept| *kept >= 0.95), "{name}: {kept:?}");
    }
}

#[test]
fn a_flooder_alone_gets_all_of_the_capacity() {
    for (name, _, flood) in mixes() {
        let alone = play([Some(flood), None, None], shares(), 64);
        let unshared = play([Some(flood), None, None], Box::new(NoTenants), 64);
        println!(
            "{name}: {} calls alone, {} without shares",
            alone.calls, unshared.calls
        );
        assert!(alone.calls as f64 >= 0.98 * unshared.calls as f64, "{name}");
    }
}
