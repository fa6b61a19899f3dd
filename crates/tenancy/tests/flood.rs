//! A tenant that floods the relay, and the service that the other tenants keep: the decision module with the tenant
//! scheduler, on a virtual clock.

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
/// How long a partner takes for a call.
const PARTNER_RESPONSE_TIME: Micros = 150 * MS;
const PARTNERS: DestinationId = 4;
/// Calls that a partner answers at once.
const CALLS_PER_PARTNER: usize = 64;
/// Messages a second that a tenant sends.
const NORMAL_RATE: u64 = 20;
/// A flood has this many times the normal rate.
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

/// What a tenant sends: the class and destination of each message follow from its number.
#[derive(Clone, Copy)]
struct Traffic {
    messages_per_second: u64,
    class: fn(u64) -> u16,
    destination: fn(u64) -> DestinationId,
    message_size: usize,
}

/// A message that a client has not had an answer for.
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

/// What was served in a run.
struct Served {
    /// Messages of each tenant that were delivered within the latency objective.
    in_time: [u64; TENANTS],
    /// Calls that ended, of all tenants.
    calls: u64,
}

/// A relay's decision module with its clients and partners.
struct TestBed {
    policy: DeliveryPolicy,
    now: Micros,
    started_at: Micros,
    last_id: MessageId,
    /// Messages that each tenant has sent, without retries.
    sent: [u64; TENANTS],
    events: Vec<Event>,
    open: BTreeMap<MessageId, PendingMessage>,
    attempts: BTreeMap<MessageId, u8>,
    /// What clients submit, by its time.
    submissions: BTreeMap<(Micros, MessageId), PendingMessage>,
    /// What partners answer, by its time.
    responses: BTreeMap<(Micros, MessageId), Call>,
    /// When each of a partner's places is free again.
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
            self.answer_due();
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

    /// Generates the messages that a tenant has sent by now.
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

    fn answer_due(&mut self) {
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

    /// A call waits at its partner for the place that is free first.
    fn start_call(&mut self, id: MessageId, host: HostId) {
        self.attempts
            .entry(id)
            .and_modify(|attempt| *attempt += 1)
            .or_insert(0);
        let places = self
            .partner_free_at
            .entry(host)
            .or_insert_with(|| vec![0; CALLS_PER_PARTNER]);
        let place = places.iter_mut().min().expect("a place");
        *place = self.now.max(*place) + PARTNER_RESPONSE_TIME;
        let call = Call {
            host,
            sent_at: self.now,
        };
        self.responses.insert((*place, id), call);
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

/// An item of a queue whose time has come.
struct Due<T> {
    at: Micros,
    id: MessageId,
    item: T,
}

/// Takes the first item out of a queue if its time has come.
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

/// Traffic of three tenants, and the flood by which the first may replace its own.
struct TrafficMix {
    name: &'static str,
    normal: [Traffic; TENANTS],
    flood: Traffic,
}

impl TrafficMix {
    /// A mix in which all tenants have the same traffic, and the flood is of the normal rate's multiple.
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

    /// The part of their messages in time that the second and third tenants keep while the first floods.
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
