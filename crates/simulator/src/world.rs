//! Plays a script: runs the unmodified relay on simulated machines, between simulated clients, hosts and discovery agents.

mod fault_context;
mod processes;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use runtime::Runtime;
use serde::Serialize;
use tokio::sync::watch;

use self::processes::{control_socket, ProcessState, ReplacedProcess};
use crate::checker::{Checker, Counts};
use crate::faults::Fault;
use crate::history::Observation;
use crate::hosted;
use crate::invariants::Violation;
use crate::kept;
use crate::machine::{Machine, PlantedFault, ProcessId, SimulatedRuntime};
use crate::outages::OngoingOutages;
use crate::peers::admins::{Admin, MisbehavingAdmin};
use crate::peers::clients::Client;
use crate::peers::control_clients::{self, ControlEndpoint};
use crate::peers::discovery::{Discovery, HostEntry, PollQueue};
use crate::peers::effect_log::EffectLog;
use crate::peers::hosts::Host;
use crate::peers::operators::Operator;
use crate::peers::PeerContext;
use crate::rng::SimulationRng;
use crate::script::{discovery_address, relay_address, Script};

/// Time for which the simulation goes on after the last message's deadline.
const SETTLE_TIME: Duration = Duration::from_millis(2500);
/// Interval at which the checker looks for overdue messages.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A simulation that needs more steps than this is taken to be in an endless loop.
const MAX_STEPS: u64 = 5_000_000;
/// A client connection younger than this was just opened, as the front's are, and does not count as held.
const MIN_CONNECTION_AGE: Duration = Duration::from_millis(500);
/// The relay's state directory.
const STATE_DIRECTORY: &str = "/state";

/// How a script is played.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Keep a readable trace.
    pub traced: bool,
    /// Plant a fault in what the relay reads and writes, to test that the checker detects it.
    pub planted_fault: Option<PlantedFault>,
    /// Change the configuration that the relay reads, to test that the checker detects the effect.
    pub misconfigure: Option<fn(&mut serde_json::Value)>,
    /// Let administrators misreport what they do, to test that the checker detects it.
    pub misbehaving_admin: Option<MisbehavingAdmin>,
}

/// In scenarios with several relays the clock of each machine is ahead of the simulation's by less than this, in milliseconds.
const MAX_CLOCK_OFFSET_MS: u64 = 5_000;

/// The result of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the scenario.
    pub seed: u64,
    /// Digest of everything that happened, trace texts included.
    pub digest: String,
    /// Digest without the trace texts: times, the order of tasks, effects and the bytes that are written.
    pub effects_digest: String,
    /// Steps of the scheduler.
    pub steps: u64,
    /// Duration in virtual milliseconds.
    pub virtual_ms: u64,
    /// Number of messages in the script.
    pub messages: usize,
    /// Counts of requests, calls and other events.
    pub counts: Counts,
    /// The first violation of an invariant.
    #[serde(skip)]
    pub violation: Option<Violation>,
    /// The violation as text, with the seed and the step.
    #[serde(rename = "broken")]
    pub violation_text: Option<String>,
    /// The trace; empty unless it was requested.
    #[serde(skip)]
    pub trace: Vec<String>,
}

/// A relay: its process and its discovery agent.
struct RelayState {
    process: ProcessId,
    state: ProcessState,
    discovery: Rc<Discovery>,
    discovery_moves: u16,
    stop_discovery: watch::Sender<bool>,
    /// Time from a kill until the next start.
    downtime: Duration,
    /// The old process during an upgrade.
    old: Option<ReplacedProcess>,
    /// The control socket that operators call.
    control_endpoint: ControlEndpoint,
    /// Whether the front opens no connections to the relay, as its readiness probe fails.
    is_front_closed: Rc<Cell<bool>>,
    /// Client connections that the relay holds, each with the time at which it was first seen.
    client_connections: BTreeMap<u64, Duration>,
    /// The settings in the configuration file.
    settings: serde_json::Value,
    /// When the configuration was last written, or the process was started.
    config_written_at: Duration,
}

struct World<'a> {
    script: &'a Script,
    options: Options,
    machine: Machine,
    context: PeerContext<SimulatedRuntime>,
    hosts: Vec<Rc<Host>>,
    host_snapshot: serde_json::Value,
    relays: Vec<RelayState>,
    /// The relay that the current fault affects.
    affected_relay: usize,
    /// A process, and the number of effects after which it is killed once an administrator's or operator's change is sent.
    pending_kill: Rc<Cell<(ProcessId, Option<u64>)>>,
    /// Whether an operator has read all records of undeliverable messages.
    all_records_read: Rc<Cell<bool>>,
    outages: OngoingOutages,
}

/// Plays a script to its end or its first violation. A panic counts as a crash of the relay.
#[must_use]
pub fn play(script: &Script, options: Options) -> Report {
    let played = catch_unwind(AssertUnwindSafe(|| World::new(script, options).run()));
    played.unwrap_or_else(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| text.to_string()));
        let description = format!("a panic: {}", text.unwrap_or_default());
        let violation = Violation {
            invariant: "crash",
            at: Duration::ZERO,
            description,
        };
        Report {
            seed: script.seed,
            digest: String::new(),
            effects_digest: String::new(),
            steps: 0,
            virtual_ms: 0,
            messages: script.message_count(),
            counts: Counts::default(),
            violation_text: Some(violation.to_string()),
            violation: Some(violation),
            trace: Vec::new(),
        }
    })
}

impl<'a> World<'a> {
    fn new(script: &'a Script, options: Options) -> Self {
        let machine = Machine::new(script.seed, options.traced);
        let runtime = machine.world_runtime();
        let (initiator, receiver, tracer) = (machine.handle(), machine.handle(), machine.handle());
        let context = PeerContext {
            start: runtime.now(),
            runtime,
            relay: 0,
            checker: Rc::new(RefCell::new(Checker::new(
                script.limits.clone(),
                script.relays,
            ))),
            is_connection_open: Rc::new(move |conn| initiator.is_held_by_initiator(conn)),
            is_connection_readable: Rc::new(move |conn| receiver.delivers_to_initiator(conn)),
            trace: Rc::new(move |line| tracer.note(line)),
        };
        let mut hosts = Vec::new();
        let mut entries = Vec::new();
        for (number, plan) in script.hosts.iter().enumerate() {
            let capacity = script
                .limits
                .capacity
                .get(&plan.destination)
                .copied()
                .unwrap_or(10.0);
            let rng = SimulationRng::new(script.seed, 100 + number as u64);
            let host = Host::new(
                &plan.name,
                plan.destination,
                plan.zone,
                plan.address,
                capacity,
                rng,
            );
            {
                let mut behavior = host.behavior.borrow_mut();
                (behavior.min_response_ms, behavior.max_response_ms) = plan.response_ms;
            }
            if let Some(kept) = &script.kept {
                let mut behavior = host.behavior.borrow_mut();
                behavior.error_percent = kept.error_percent;
                behavior.max_work_ms = kept.max_work.as_millis() as u64;
            }
            if let Some(vast) = &script.vast {
                let mut behavior = host.behavior.borrow_mut();
                behavior.max_calls_per_second = Some(capacity);
                behavior.rejections_use_limit = true;
                behavior.max_connections = Some(vast.max_connections);
            }
            entries.push(host_entry(&host, "up", capacity));
            hosts.push(host);
        }
        let state = |_| RelayState {
            process: 0,
            state: ProcessState::Running,
            discovery: Discovery::new(entries.clone()),
            discovery_moves: 0,
            stop_discovery: watch::channel(false).0,
            downtime: Duration::from_millis(600),
            old: None,
            control_endpoint: Rc::new(Cell::new(control_socket(0))),
            is_front_closed: Rc::default(),
            client_connections: BTreeMap::new(),
            settings: script.settings.clone(),
            config_written_at: Duration::ZERO,
        };
        let relays: Vec<RelayState> = (0..script.relays).map(state).collect();
        if let Some(vast) = &script.vast {
            let poll_queue = PollQueue::new(vast.poll_time);
            relays.iter().for_each(|state| {
                *state.discovery.poll_queue.borrow_mut() = Some(poll_queue.clone())
            });
        }
        let host_snapshot = relays[0].discovery.full_snapshot();
        if script.relays > 1 {
            let mut rng = SimulationRng::new(script.seed, 5);
            machine.set_clock_offsets(
                (0..script.relays)
                    .map(|_| Duration::from_millis(rng.below(MAX_CLOCK_OFFSET_MS)))
                    .collect(),
            );
        }
        World {
            script,
            options,
            machine,
            context,
            hosts,
            host_snapshot,
            relays,
            affected_relay: 0,
            pending_kill: Rc::default(),
            outages: OngoingOutages::default(),
            all_records_read: Rc::default(),
        }
    }

    fn run(mut self) -> Report {
        for host in &self.hosts {
            let serving = host.clone().serve(self.context.clone());
            self.context
                .runtime
                .spawn(async move { drop(serving.await) });
        }
        for relay in 0..self.relays.len() {
            self.serve_discovery(relay);
            self.write_config(relay);
        }
        if let Some(hosted) = &self.script.hosted {
            let registry = hosted.registry();
            for name in ["tenants.a", "tenants.b"] {
                let path = Path::new(hosted::REGISTRY_DIRECTORY).join(name);
                self.machine
                    .disk(0, |disk| disk.put(path, registry.clone()));
            }
        }
        if self.script.upgrades {
            (0..self.relays.len())
                .for_each(|relay| self.machine.open_shared_port(relay_address(relay)));
        }
        (0..self.relays.len()).for_each(|relay| self.start_process(relay));
        let relays: Vec<SocketAddr> = (0..self.relays.len()).map(relay_address).collect();
        for (number, plans) in self.script.clients.iter().enumerate() {
            let hosted = self
                .script
                .hosted
                .as_ref()
                .filter(|hosted| hosted.requires_auth);
            let tenant = hosted.map(|hosted| hosted.tenant_of(number));
            let credentials = tenant.map(|tenant| (tenant.name.clone(), tenant.secret.clone()));
            let client = Client::new(
                self.context.clone(),
                relays.clone(),
                number % relays.len(),
                plans.clone(),
                credentials,
            );
            let is_front_closed = self.relays[number % relays.len()].is_front_closed.clone();
            self.context
                .runtime
                .spawn(client.behind_load_balancer(is_front_closed).run());
        }
        self.start_control_clients();
        self.start_admins();
        self.start_operators();
        let end = self.script.end().max(Duration::from_secs(15)) + SETTLE_TIME;
        let mut edges: Vec<(Duration, bool, usize)> = Vec::new();
        for (number, fault) in self.script.faults.iter().enumerate() {
            edges.push((Duration::from_millis(fault.from), true, number));
            edges.push((Duration::from_millis(fault.until), false, number));
        }
        edges.sort();
        let mut edges = edges.into_iter().peekable();
        let mut next_check = CHECK_INTERVAL;
        loop {
            let now = self.machine.now();
            if now >= end || self.context.checker.borrow().violation().is_some() {
                break;
            }
            if let Some((_, begins, number)) = edges.next_if(|(at, _, _)| *at <= now) {
                let fault = &self.script.faults[number];
                self.machine.note(format_args!(
                    "{} {:?}",
                    if begins { "begins" } else { "ends" },
                    fault.behavior
                ));
                self.apply_edge(fault, begins);
                continue;
            }
            for relay in 0..self.relays.len() {
                self.advance_upgrade(now, relay);
                self.advance_process(now, relay);
            }
            if next_check <= now {
                for relay in 0..self.relays.len() {
                    let size = self.machine.disk(relay, |disk| {
                        disk.allocated_bytes(Path::new(STATE_DIRECTORY))
                    });
                    self.context_of(relay)
                        .observe(&Observation::DiskUsage(size));
                    if self.script.operated {
                        self.check_client_connections(now, relay);
                    }
                }
                self.context.observe(&Observation::Tick);
                next_check = now + CHECK_INTERVAL;
            }
            let until = edges
                .peek()
                .map_or(end, |(at, _, _)| *at)
                .min(next_check)
                .min(end);
            // After every step the violation, if there is one, is known at the top of this loop.
            self.machine.step(until);
            if self.machine.steps() > MAX_STEPS {
                self.context.observe(&Observation::StepLimitExceeded);
            }
        }
        self.report()
    }

    fn report(self) -> Report {
        let checker = self.context.checker.borrow();
        let exceeded_bound = || {
            self.script.vast.as_ref()?.check_bounds(
                self.script,
                &checker.counts,
                self.machine.now(),
            )
        };
        let unread_records = || Violation {
            invariant: "accounted for",
            at: self.machine.now(),
            description: "not all records were shown by the end".into(),
        };
        let kept =
            || (self.script.kept.is_some() && !self.all_records_read.get()).then(unread_records);
        let violation = checker
            .violation()
            .cloned()
            .or_else(exceeded_bound)
            .or_else(kept);
        let violation_text = violation.as_ref().map(|violation| {
            format!(
                "seed {} step {} at {violation}",
                self.script.seed,
                self.machine.steps()
            )
        });
        if let Some(text) = &violation_text {
            self.machine.note(format_args!("{text}"));
        }
        Report {
            seed: self.script.seed,
            digest: format!("{:016x}", self.machine.digest()),
            effects_digest: format!("{:016x}", self.machine.effects_digest()),
            steps: self.machine.steps(),
            virtual_ms: self.machine.now().as_millis() as u64,
            messages: self.script.message_count(),
            counts: checker.counts,
            violation,
            violation_text,
            trace: self.machine.take_trace(),
        }
    }

    /// The hook that operators and administrators run before a change: arms the pending kill.
    fn kill_on_next_change(&self) -> Rc<dyn Fn()> {
        let (pending_kill, handle) = (self.pending_kill.clone(), self.machine.handle());
        Rc::new(move || {
            let (process, effects) = pending_kill.get();
            pending_kill.set((process, None));
            effects
                .into_iter()
                .for_each(|effects| handle.kill_after(process, effects));
        })
    }

    /// Starts operators and status pages, in scenarios with a store of undeliverable messages.
    fn start_operators(&self) {
        if self.script.kept.is_none() {
            return;
        }
        let effect_log = EffectLog::new(SimulationRng::new(self.script.seed, 9));
        self.hosts
            .iter()
            .for_each(|host| *host.effect_log.borrow_mut() = Some(effect_log.clone()));
        for destination in self.script.limits.capacity.keys() {
            let serving = effect_log
                .clone()
                .serve(self.context.clone(), kept::status_address(*destination));
            self.context
                .runtime
                .spawn(async move { drop(serving.await) });
        }
        for number in 0..kept::OPERATORS {
            let operator = Operator {
                context: self.context.clone(),
                number,
                effect_log: effect_log.clone(),
                rng: SimulationRng::new(self.script.seed, 10 + number as u64),
                until: self.script.end().max(Duration::from_secs(15)) - Duration::from_secs(1),
                misbehavior: self.options.misbehaving_admin,
                before_change: self.kill_on_next_change(),
                all_read: self.all_records_read.clone(),
            };
            self.context.runtime.spawn(operator.run());
        }
    }

    /// Starts the administrators, in scenarios with tenants.
    fn start_admins(&self) {
        let Some(hosted) = &self.script.hosted else {
            return;
        };
        for (number, tasks) in self
            .script
            .hosted
            .iter()
            .flat_map(|hosted| &hosted.admins)
            .enumerate()
        {
            let kill_on_next_change = self.kill_on_next_change();
            let (tenants, tasks) = (hosted.tenants.clone(), tasks.clone());
            let (context, misbehavior) = (self.context.clone(), self.options.misbehaving_admin);
            let admin = Admin::new(
                context,
                number as u64 + 1,
                tenants,
                tasks,
                misbehavior,
                kill_on_next_change,
            );
            self.context.runtime.spawn(admin.run());
        }
    }

    /// The peers' context for a relay.
    fn context_of(&self, relay: usize) -> PeerContext<SimulatedRuntime> {
        PeerContext {
            relay,
            ..self.context.clone()
        }
    }

    /// Reports an outage that begins or ends with a fault. Faults overlap, so the state of the destination's hosts decides.
    fn observe_outage(&self, destination: u16) {
        let is_down = self.hosts_of(destination).any(|host| {
            let is_unreachable = self.machine.address_fault(host.address).is_unreachable();
            is_unreachable || host.behavior.borrow().is_unavailable()
        });
        if self.outages.record(destination, is_down) {
            self.context_of(self.affected_relay)
                .observe(&Observation::DestinationOutage {
                    destination,
                    is_down,
                });
        }
    }

    fn serve_discovery(&mut self, relay: usize) {
        let (stop, stopping) = watch::channel(false);
        let context = self.context_of(relay);
        let state = &mut self.relays[relay];
        state.stop_discovery = stop;
        let serving = state.discovery.clone().serve(
            context,
            discovery_address(relay, state.discovery_moves),
            stopping,
        );
        self.context
            .runtime
            .spawn(async move { drop(serving.await) });
    }

    /// Starts the front's readiness probes and the clients of the control sockets, in scenarios with operators.
    fn start_control_clients(&self) {
        if !self.script.operated {
            return;
        }
        for (relay, state) in self.relays.iter().enumerate() {
            let runtime = &self.context.runtime;
            runtime.spawn(control_clients::probe_readiness(
                self.context_of(relay),
                relay_address(relay),
                state.is_front_closed.clone(),
            ));
            runtime.spawn(control_clients::poll_metrics(
                self.context_of(relay),
                state.control_endpoint.clone(),
            ));
            for _ in 0..control_clients::IDLE_CLIENTS {
                runtime.spawn(control_clients::keep_idle_connection(
                    self.context_of(relay),
                    relay_address(relay),
                    state.is_front_closed.clone(),
                ));
            }
            for _ in 0..control_clients::SILENT_CALLERS {
                runtime.spawn(control_clients::keep_silent_connection(
                    self.context_of(relay),
                    state.control_endpoint.clone(),
                ));
            }
        }
    }

    /// Reports how many client connections a relay holds.
    fn check_client_connections(&mut self, now: Duration, relay: usize) {
        let open = self.machine.accepted_connections(relay_address(relay));
        let held = &mut self.relays[relay].client_connections;
        held.retain(|number, _| open.contains(number));
        for number in open {
            held.entry(number).or_insert(now);
        }
        let count = held
            .values()
            .filter(|since| now >= **since + MIN_CONNECTION_AGE)
            .count();
        if count > 0 {
            self.context_of(relay)
                .observe(&Observation::ClientConnectionsHeld(count));
        }
    }

    /// Injects or clears a fault.
    fn apply_edge(&mut self, fault: &Fault, begins: bool) {
        self.affected_relay = fault.relay;
        if begins {
            fault
                .behavior
                .inject(self, Duration::from_millis(fault.until))
        } else {
            fault.behavior.clear(self)
        }
    }

    fn hosts_of(&self, destination: u16) -> impl Iterator<Item = &Rc<Host>> {
        self.hosts
            .iter()
            .filter(move |host| host.destination == destination)
    }
}

fn host_entry(host: &Host, health: &'static str, capacity: f64) -> HostEntry {
    HostEntry {
        host: host.name.borrow().clone(),
        address: host.address,
        zone: host.zone.clone(),
        destination: host.destination,
        health,
        calls_per_second: capacity as u32,
    }
}
