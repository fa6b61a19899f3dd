//! Tests that a tenant that floods the relay does not degrade the service of other tenants. They run the decision
//! module with the tenant scheduler on a virtual clock.

use std::collections::BTreeMap;

use policy::scheduler::NoTenants;
use policy::types::*;
use policy::{DeliveryPolicy, TenantScheduler};
use tenancy::FairQueueScheduler;

const MS: Micros = 1000;
const S: Micros = 1_000_000;
const TICK: Micros = 5 * MS;
const DURATION: Micros = 12 * S;
const TENANTS: usize = 3;
/// How long a partner takes to respond to a call.
const PARTNER_RESPONSE_TIME: Micros = 150 * MS;
const PARTNERS: DestinationId = 4;
/// Calls that a partner processes concurrently.
const CALLS_PER_PARTNER: usize = 64;
/// Messages per second that a tenant sends.
const NORMAL_RATE: u64 = 20;
/// The rate of a flood, as a multiple of the normal rate.
const FLOOD_FACTOR: u64 = 20;
const MAX_CLIENT_RETRIES: u32 = 3;
const LATENCY_OBJECTIVE: Micros = 2 * S;
const TIME_TO_LIVE: Micros = 20 * S;

const UPDATE: u16 = 0;
const PAYOUT: u16 = 1;

fn settings() -> Settings {
    let class = |idempotency, value| Class {
        latency_objective: LATENCY_OBJECTIVE,
        objective_stretch: 0.0,
        time_to_live: TIME_TO_LIVE,
        idempotency,
        value,
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
            TENANTS
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
        tick: TICK,
        ..Settings::default()
    }
}

/// The traffic of a tenant. The class and destination of each message are functions of its number.
#[derive(Clone, Copy)]
struct Traffic {
    messages_per_second: u64,
    class: fn(u64) -> u16,
    destination: fn(u64) -> DestinationId,
    message_size: usize,
}

/// A message that a client has submitted or will submit, and that has no response yet.
struct PendingMessage {
    tenant: usize,
    class: u16,
    first_submitted_at: Micros,
    destination: DestinationId,
    size: usize,
    retries: u32,
}

struct Call {
    host: HostId,
    sent_at: Micros,
}

/// The service provided in a run.
struct Served {
    /// For each tenant, the messages that were delivered within the latency objective.
    in_time: [u64; TENANTS],
    /// Calls of all tenants that ended.
    calls: u64,
}

/// A relay's decision module with simulated clients and partners.
struct TestBed {
    policy: DeliveryPolicy,
    now: Micros,
    started_at: Micros,
    last_id: MessageId,
    /// Number of messages that each tenant has sent, not counting retries.
    sent: [u64; TENANTS],
    events: Vec<Event>,
    open: BTreeMap<MessageId, PendingMessage>,
    attempts: BTreeMap<MessageId, u8>,
    /// Future submissions of clients, by time.
    submissions: BTreeMap<(Micros, MessageId), PendingMessage>,
    /// Future responses of partners, by time.
    responses: BTreeMap<(Micros, MessageId), Call>,
    /// For each partner, when each of its worker slots becomes free.
    partner_free_at: BTreeMap<HostId, Vec<Micros>>,
    timers: BTreeMap<Micros, u64>,
    served: Served,
}

impl TestBed {
    fn new(scheduler: Box<dyn TenantScheduler>) -> Self {
        let hosts = (1..=PARTNERS).map(|destination| HostEntry {
            host: u32::from(destination),
            destination,
            kind: 0,
            zone: 0,
            state: HostState::Ready,
            weight: 0.0,
        });
        let started_at = 100 * S;
        TestBed {
            policy: DeliveryPolicy::with_scheduler(settings(), 11, scheduler),
            now: started_at,
            started_at,
            last_id: 0,
            sent: [0; TENANTS],
            events: vec![Event::HostsUpdated {
                is_full: true,
                cached: false,
                entries: hosts.collect(),
            }],
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
            submissions: BTreeMap::new(),
            responses: BTreeMap::new(),
            partner_free_at: BTreeMap::new(),
            timers: BTreeMap::new(),
            served: Served {
                in_time: [0; TENANTS],
                calls: 0,
            },
        }
    }

    fn run(mut self, tenants: [Option<Traffic>; TENANTS]) -> Served {
        while self.now < self.started_at + DURATION {
            for (tenant, traffic) in tenants.iter().enumerate() {
                if let Some(traffic) = traffic {
                    self.generate(tenant, traffic);
                }
            }
            self.submit_due();
            self.respond_due();
            self.fire_due_timers();
            self.decide();
            self.now += TICK;
        }
        self.served
    }

    fn next_id(&mut self) -> MessageId {
        self.last_id += 1;
        self.last_id
    }

    /// Generates the messages that a tenant has sent up to now.
    fn generate(&mut self, tenant: usize, traffic: &Traffic) {
        while self.sent[tenant] * S < (self.now - self.started_at) * traffic.messages_per_second {
            let number = self.sent[tenant];
            self.sent[tenant] += 1;
            let message = PendingMessage {
                tenant,
                class: (traffic.class)(number),
                first_submitted_at: self.now,
                destination: (traffic.destination)(number),
                size: traffic.message_size,
                retries: 0,
            };
            let id = self.next_id();
            self.submissions.insert((self.now, id), message);
        }
    }

    fn submit_due(&mut self) {
        while let Some(due) = pop_due(&mut self.submissions, self.now) {
            let (id, message) = (due.id, due.item);
            self.events.push(Event::MessageReceived(Message {
                id,
                class: message.class,
                destination: message.destination,
                deadline: message.first_submitted_at + TIME_TO_LIVE,
                ordering_key: None,
                expected_work: None,
                tenant: message.tenant as TenantId,
                is_resubmitted: message.retries > 0,
                size: message.size,
            }));
            self.open.insert(id, message);
        }
    }

    fn respond_due(&mut self) {
        while let Some(Due { at, id, item: call }) = pop_due(&mut self.responses, self.now) {
            self.events.push(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: self.attempts[&id],
                host: call.host,
                outcome: AttemptOutcome::Delivered,
                elapsed: at - call.sent_at,
                is_final: true,
                load_report: Vec::new(),
            }));
            self.served.calls += 1;
            if let Some(message) = self.open.remove(&id) {
                let in_time = at <= message.first_submitted_at + LATENCY_OBJECTIVE;
                self.served.in_time[message.tenant] += u64::from(in_time);
            }
        }
    }

    fn fire_due_timers(&mut self) {
        while let Some(timer) = self.timers.first_entry() {
            if *timer.key() > self.now {
                break;
            }
            self.events.push(Event::TimerFired(timer.remove()));
        }
    }

    fn decide(&mut self) {
        let mut actions = Vec::new();
        let events = std::mem::take(&mut self.events);
        self.policy.handle(self.now, events, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, host, .. } => self.start_call(id, host),
                Action::Reject { id, retry_after } => self.retry_later(id, retry_after),
                Action::SetTimer { delay, token } => {
                    self.timers.insert(self.now + delay, token);
                }
                Action::Fail(id) => {
                    self.open.remove(&id);
                }
                _ => {}
            }
        }
    }

    /// Starts a call, which waits at its partner for the first free worker slot.
    fn start_call(&mut self, id: MessageId, host: HostId) {
        self.attempts
            .entry(id)
            .and_modify(|attempt| *attempt += 1)
            .or_insert(0);
        let worker_slots = self
            .partner_free_at
            .entry(host)
            .or_insert_with(|| vec![0; CALLS_PER_PARTNER]);
        let free_at = worker_slots.iter_mut().min().expect("a worker slot");
        *free_at = self.now.max(*free_at) + PARTNER_RESPONSE_TIME;
        let call = Call {
            host,
            sent_at: self.now,
        };
        self.responses.insert((*free_at, id), call);
    }

    fn retry_later(&mut self, id: MessageId, retry_after: Micros) {
        let rejected = self.open.remove(&id).expect("an open message");
        if rejected.retries >= MAX_CLIENT_RETRIES {
            return;
        }
        let retry = PendingMessage {
            retries: rejected.retries + 1,
            ..rejected
        };
        let id = self.next_id();
        self.submissions.insert((self.now + retry_after, id), retry);
    }
}

/// An item of a queue that is due.
struct Due<T> {
    at: Micros,
    id: MessageId,
    item: T,
}

/// Removes the first item of a queue if it is due.
fn pop_due<T>(queue: &mut BTreeMap<(Micros, MessageId), T>, now: Micros) -> Option<Due<T>> {
    let first = queue.first_entry()?;
    let (at, id) = *first.key();
    (at <= now).then(|| Due {
        at,
        id,
        item: first.remove(),
    })
}

fn fair_queueing() -> Box<dyn TenantScheduler> {
    Box::new(FairQueueScheduler::from_settings(&settings()))
}

fn no_fair_queueing() -> Box<dyn TenantScheduler> {
    Box::new(NoTenants)
}

/// Normal traffic of three tenants, and a flood that can replace the traffic of the first.
struct TrafficMix {
    name: &'static str,
    normal: [Traffic; TENANTS],
    flood: Traffic,
}

impl TrafficMix {
    /// A mix in which all tenants have the same normal traffic. The flood's rate is [`FLOOD_FACTOR`] times the normal
    /// rate.
    fn new(name: &'static str, normal: Traffic, flood: Traffic) -> Self {
        TrafficMix {
            name,
            normal: [normal; TENANTS],
            flood: Traffic {
                messages_per_second: normal.messages_per_second * FLOOD_FACTOR,
                ..flood
            },
        }
    }

    /// The messages that the second and third tenants have delivered in time while the first floods, as a fraction of
    /// those in normal operation.
    fn kept_service(&self, scheduler: fn() -> Box<dyn TenantScheduler>) -> [f64; 2] {
        let normal = TestBed::new(scheduler()).run(self.normal.map(Some));
        let [_, second, third] = self.normal;
        let flooded = TestBed::new(scheduler()).run([self.flood, second, third].map(Some));
        [1, 2].map(|tenant| flooded.in_time[tenant] as f64 / normal.in_time[tenant] as f64)
    }
}

fn traffic_mixes() -> [TrafficMix; 5] {
    let updates: fn(u64) -> u16 = |_| UPDATE;
    let payouts: fn(u64) -> u16 = |_| PAYOUT;
    let mixed: fn(u64) -> u16 = |n| if n % 5 == 0 { PAYOUT } else { UPDATE };
    let all: fn(u64) -> DestinationId = |n| 1 + (n % u64::from(PARTNERS)) as DestinationId;
    let one: fn(u64) -> DestinationId = |_| 1;
    let traffic = |class, destination| Traffic {
        messages_per_second: NORMAL_RATE,
        class,
        destination,
        message_size: 500,
    };
    // 30 messages of this size fill the queue.
    let large = Traffic {
        message_size: 30_000,
        ..traffic(mixed, all)
    };
    [
        TrafficMix::new("same class", traffic(updates, all), traffic(updates, all)),
        TrafficMix::new(
            "updates against a flood of payouts",
            traffic(updates, all),
            traffic(payouts, all),
        ),
        TrafficMix::new(
            "one shared partner",
            traffic(mixed, one),
            traffic(mixed, one),
        ),
        TrafficMix::new("all partners", traffic(mixed, all), traffic(mixed, all)),
        TrafficMix::new("large bodies", large, large),
    ]
}

#[test]
fn other_tenants_keep_their_service_during_a_flood() {
    for mix in traffic_mixes() {
        let kept = mix.kept_service(fair_queueing);
        let without = mix.kept_service(no_fair_queueing);
        let name = mix.name;
        println!("{name}: kept {kept:.3?}, without shares {without:.3?}");
        assert!(kept.iter().all(|kept| *kept >= 0.95), "{name}: {kept:?}");
    }
}

#[test]
fn flooding_tenant_alone_gets_the_whole_capacity() {
    for TrafficMix { name, flood, .. } in traffic_mixes() {
        let alone = TestBed::new(fair_queueing()).run([Some(flood), None, None]);
        let without = TestBed::new(no_fair_queueing()).run([Some(flood), None, None]);
        println!(
            "{name}: {} calls alone, {} without shares",
            alone.calls, without.calls
        );
        assert!(alone.calls as f64 >= 0.98 * without.calls as f64, "{name}");
    }
}
