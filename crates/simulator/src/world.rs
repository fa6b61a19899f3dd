//! Plays a script on a virtual machine, round the relay as it is.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, Signal};
use serde::Serialize;
use tokio::sync::watch;

use crate::checker::{Checker, Counts};
use crate::faults::{Fault, Scene, Upgrade};
use crate::history::Observation;
use crate::hosted::{self, OPERATOR};
use crate::invariants::Violation;
use crate::kept;
use crate::machine::{
    AddressFault, Machine, PlantedFault, ProcessId, SimulatedRuntime, CONFIG_PATH,
};
use crate::operated;
use crate::outages::OngoingOutages;
use crate::peers::admins::{Admin, MisbehavingAdmin};
use crate::peers::clients::Client;
use crate::peers::connection::{wait_until_accepting_clients, wait_until_ready};
use crate::peers::control_clients::{self, ControlEndpoint, ControlSocket, DrainCommand};
use crate::peers::discovery::{Discovery, HostEntry, PollQueue};
use crate::peers::effect_log::EffectLog;
use crate::peers::host_behavior::HostBehavior;
use crate::peers::hosts::Host;
use crate::peers::operators::Operator;
use crate::peers::PeerContext;
use crate::rng::SimulationRng;
use crate::script::{discovery_address, relay_address, Script};

/// After the last message's time is up the world runs on for so long.
const AFTER: Duration = Duration::from_millis(2500);
/// The checker looks at what is overdue so often.
const LOOK: Duration = Duration::from_millis(50);
/// A world that needs more steps than this goes round in circles.
const STEPS: u64 = 5_000_000;
/// No notice can be taken for so long after a reload.
const MOVED: Duration = Duration::from_secs(4);
/// SIGKILL comes so long after SIGTERM in an upgrade.
const KILLED_AFTER: Duration = Duration::from_millis(3700);
/// Where relays ask for it, what the list has to tell counts as told so much later at the latest.
const ASKED: Duration = Duration::from_secs(6);
/// A connection that stands for less was just opened, as the front's are.
const JUST_OPENED: Duration = Duration::from_millis(500);
/// A configuration has been read so long after its signal, and so long after a start.
const SETTLES: Duration = Duration::from_secs(1);
/// The folder of the relay.
const FOLDER: &str = "/state";

/// How a world is played.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Keep a trace for a reader.
    pub traced: bool,
    /// Deceive the relay, to see whether the checker notices.
    pub planted_fault: Option<PlantedFault>,
    /// Change the configuration that the relay reads, for the same end.
    pub misconfigure: Option<fn(&mut serde_json::Value)>,
    /// Let administrators deceive the checker, for the same end.
    pub misbehaving_admin: Option<MisbehavingAdmin>,
}

/// On a day with several relays the clocks of their machines are less than this ahead of the world's, in milliseconds.
const AHEAD: u64 = 5_000;

/// What became of a day.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// One number for all that happened.
    pub digest: String,
    /// The same without texts: moments, the order of tasks, effects and the bytes that are written.
    pub effects_digest: String,
    /// Steps played.
    pub steps: u64,
    /// Virtual milliseconds played.
    pub virtual_ms: u64,
    /// Messages of the script.
    pub messages: usize,
    /// What passed.
    pub counts: Counts,
    /// The first violation of an invariant.
    #[serde(skip)]
    pub violation: Option<Violation>,
    /// The same as text.
    #[serde(rename = "broken")]
    pub violation_text: Option<String>,
    /// The trace, if one was asked for.
    #[serde(skip)]
    pub trace: Vec<String>,
}

/// Where the relay's process stands.
enum Life {
    Up,
    /// To be started again at this moment, with discovery as it is.
    Down(Duration),
    /// Told to stop; it starts again so long after its end.
    Stopping(Duration),
}

/// A relay: its process, its agent of discovery, and what is to become of them.
struct Seat {
    process: ProcessId,
    life: Life,
    discovery: Rc<Discovery>,
    moves: u16,
    closes_discovery: watch::Sender<bool>,
    /// How long a start takes after a kill that strikes by itself.
    down_for: Duration,
    /// The process that a new version is about to replace, or has.
    old: Option<Old>,
    /// Where operators call.
    door: ControlEndpoint,
    /// The front opens no connection.
    shut: Rc<Cell<bool>>,
    /// Connections of clients that it holds, and since when.
    held: BTreeMap<u64, Duration>,
    /// The settings as the file has them, and when it was last written, or the process started.
    settings: serde_json::Value,
    touched: Duration,
}

/// A process beside the one that is to serve.
struct Old {
    process: ProcessId,
    /// How long after the new one's yes it is told to stop.
    stop_after: Duration,
    /// The new one has said yes, when.
    yes: Rc<Cell<Option<Duration>>>,
    /// It was told to stop, and is killed at that moment.
    stopped: Option<Duration>,
}

struct World<'a> {
    script: &'a Script,
    options: Options,
    machine: Machine,
    context: PeerContext<SimulatedRuntime>,
    hosts: Vec<Rc<Host>>,
    known: serde_json::Value,
    seats: Vec<Seat>,
    /// The relay that the fault at hand strikes.
    struck: usize,
    /// The process, and after how many effects it is killed once a change of a tenant is sent.
    strike: Rc<Cell<(ProcessId, Option<u64>)>>,
    /// All records of what was given up were shown.
    shown: Rc<Cell<bool>>,
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
            messages: script.size(),
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
        let (holder, hearer, noter) = (machine.handle(), machine.handle(), machine.handle());
        let context = PeerContext {
            start: runtime.now(),
            runtime,
            relay: 0,
            checker: Rc::new(RefCell::new(Checker::new(
                script.limits.clone(),
                script.relays,
            ))),
            is_connection_open: Rc::new(move |conn| holder.is_held_by_initiator(conn)),
            is_connection_readable: Rc::new(move |conn| hearer.delivers_to_initiator(conn)),
            trace: Rc::new(move |line| noter.note(line)),
        };
        let mut hosts = Vec::new();
        let mut lines = Vec::new();
        for (number, plan) in script.hosts.iter().enumerate() {
            let capacity = script
                .limits
                .capacity
                .get(&plan.block)
                .copied()
                .unwrap_or(10.0);
            let rng = SimulationRng::new(script.seed, 100 + number as u64);
            let host = Host::new(
                &plan.name,
                plan.block,
                plan.zone,
                plan.address,
                capacity,
                rng,
            );
            {
                let mut behavior = host.behavior.borrow_mut();
                (behavior.min_response_ms, behavior.max_response_ms) = plan.takes;
            }
            if let Some(kept) = &script.kept {
                host.behavior.borrow_mut().error_percent = kept.fails;
            }
            if let Some(vast) = &script.vast {
                let mut behavior = host.behavior.borrow_mut();
                behavior.max_calls_per_second = Some(capacity);
                behavior.rejections_use_limit = true;
                behavior.max_connections = Some(vast.connections);
            }
            lines.push(line(&host, "up", capacity));
            hosts.push(host);
        }
        let seat = |_| Seat {
            process: 0,
            life: Life::Up,
            discovery: Discovery::new(lines.clone()),
            moves: 0,
            closes_discovery: watch::channel(false).0,
            down_for: Duration::from_millis(600),
            old: None,
            door: Rc::new(Cell::new(control_socket(0))),
            shut: Rc::default(),
            held: BTreeMap::new(),
            settings: script.settings.clone(),
            touched: Duration::ZERO,
        };
        let seats: Vec<Seat> = (0..script.relays).map(seat).collect();
        if let Some(vast) = &script.vast {
            let gate = PollQueue::new(vast.each_list);
            seats
                .iter()
                .for_each(|seat| *seat.discovery.poll_queue.borrow_mut() = Some(gate.clone()));
        }
        let known = seats[0].discovery.full_snapshot();
        if script.relays > 1 {
            let mut rng = SimulationRng::new(script.seed, 5);
            machine.set_clock_offsets(
                (0..script.relays)
                    .map(|_| Duration::from_millis(rng.below(AHEAD)))
                    .collect(),
            );
        }
        World {
            script,
            options,
            machine,
            context,
            hosts,
            known,
            seats,
            struck: 0,
            strike: Rc::default(),
            outages: OngoingOutages::default(),
            shown: Rc::default(),
        }
    }

    fn run(mut self) -> Report {
        for host in &self.hosts {
            let served = host.clone().serve(self.context.clone());
            self.context
                .runtime
                .spawn(async move { drop(served.await) });
        }
        for relay in 0..self.seats.len() {
            self.serve_discovery(relay);
            self.configure(relay);
        }
        if let Some(hosted) = &self.script.hosted {
            let registry = hosted.registry();
            for name in ["tenants.a", "tenants.b"] {
                let path = Path::new(hosted::FOLDER).join(name);
                self.machine
                    .disk(0, |disk| disk.put(path, registry.clone()));
            }
        }
        if self.script.upgrades {
            (0..self.seats.len())
                .for_each(|relay| self.machine.open_shared_port(relay_address(relay)));
        }
        (0..self.seats.len()).for_each(|relay| self.start(relay));
        let relays: Vec<SocketAddr> = (0..self.seats.len()).map(relay_address).collect();
        for (number, plans) in self.script.clients.iter().enumerate() {
            let hosted = self.script.hosted.as_ref().filter(|hosted| hosted.auth);
            let login = hosted.map(|hosted| hosted.tenant_of(number));
            let login = login.map(|tenant| (tenant.name.clone(), tenant.secret.clone()));
            let client = Client::new(
                self.context.clone(),
                relays.clone(),
                number % relays.len(),
                plans.clone(),
                login,
            );
            let shut = self.seats[number % relays.len()].shut.clone();
            self.context
                .runtime
                .spawn(client.behind_load_balancer(shut).run());
        }
        self.staff();
        self.administrate();
        self.operate();
        let ends = self.script.ends().max(Duration::from_secs(15)) + AFTER;
        let mut edges: Vec<(Duration, bool, usize)> = Vec::new();
        for (number, fault) in self.script.faults.iter().enumerate() {
            edges.push((Duration::from_millis(fault.from), true, number));
            edges.push((Duration::from_millis(fault.until), false, number));
        }
        edges.sort();
        let mut edges = edges.into_iter().peekable();
        let mut look = LOOK;
        loop {
            let now = self.machine.now();
            if now >= ends || self.context.checker.borrow().violation().is_some() {
                break;
            }
            if let Some((_, begins, number)) = edges.next_if(|(at, _, _)| *at <= now) {
                let fault = &self.script.faults[number];
                self.machine.note(format_args!(
                    "{} {:?}",
                    if begins { "begins" } else { "ends" },
                    fault.trouble
                ));
                self.edge(fault, begins);
                continue;
            }
            for relay in 0..self.seats.len() {
                self.replace(now, relay);
                self.live(now, relay);
            }
            if look <= now {
                for relay in 0..self.seats.len() {
                    let size = self
                        .machine
                        .disk(relay, |disk| disk.allocated_bytes(Path::new(FOLDER)));
                    self.of(relay).observe(&Observation::DiskUsage(size));
                    if self.script.operated {
                        self.look_in(now, relay);
                    }
                }
                self.context.observe(&Observation::Tick);
                look = now + LOOK;
            }
            let until = edges
                .peek()
                .map_or(ends, |(at, _, _)| *at)
                .min(look)
                .min(ends);
            // After every step the violation, if there is one, is known at the top of this loop.
            self.machine.step(until);
            if self.machine.steps() > STEPS {
                self.context.observe(&Observation::StepLimitExceeded);
            }
        }
        self.report()
    }

    fn report(self) -> Report {
        let checker = self.context.checker.borrow();
        let fleet = || {
            self.script
                .vast
                .as_ref()?
                .judge(self.script, &checker.counts, self.machine.now())
        };
        let unseen = || Violation {
            invariant: "accounted for",
            at: self.machine.now(),
            description: "not all records were shown by the end".into(),
        };
        let kept = || (self.script.kept.is_some() && !self.shown.get()).then(unseen);
        let violation = checker.violation().cloned().or_else(fleet).or_else(kept);
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
            messages: self.script.size(),
            counts: checker.counts,
            violation,
            violation_text,
            trace: self.machine.take_trace(),
        }
    }

    /// What strikes within the next change that is sent.
    fn strikes(&self) -> Rc<dyn Fn()> {
        let (strike, handle) = (self.strike.clone(), self.machine.handle());
        Rc::new(move || {
            let (process, effects) = strike.get();
            strike.set((process, None));
            effects
                .into_iter()
                .for_each(|effects| handle.kill_after(process, effects));
        })
    }

    /// Starts operators and status pages on a day on which what is given up is kept.
    fn operate(&self) {
        if self.script.kept.is_none() {
            return;
        }
        let effect_log = EffectLog::new(SimulationRng::new(self.script.seed, 9));
        self.hosts
            .iter()
            .for_each(|host| *host.effect_log.borrow_mut() = Some(effect_log.clone()));
        for block in self.script.limits.capacity.keys() {
            let served = effect_log
                .clone()
                .serve(self.context.clone(), kept::status_address(*block));
            self.context
                .runtime
                .spawn(async move { drop(served.await) });
        }
        for number in 0..kept::OPERATORS {
            let operator = Operator {
                context: self.context.clone(),
                number,
                effect_log: effect_log.clone(),
                rng: SimulationRng::new(self.script.seed, 10 + number as u64),
                until: self.script.ends().max(Duration::from_secs(15)) - Duration::from_secs(1),
                misbehavior: self.options.misbehaving_admin,
                before_change: self.strikes(),
                all_read: self.shown.clone(),
            };
            self.context.runtime.spawn(operator.run());
        }
    }

    /// Starts the administrators of a hosted day.
    fn administrate(&self) {
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
            let strikes = self.strikes();
            let (tenants, tasks) = (hosted.tenants.clone(), tasks.clone());
            let (context, misbehavior) = (self.context.clone(), self.options.misbehaving_admin);
            let admin = Admin::new(
                context,
                number as u64 + 1,
                tenants,
                tasks,
                misbehavior,
                strikes,
            );
            self.context.runtime.spawn(admin.run());
        }
    }

    /// The context as seen from a relay.
    fn of(&self, relay: usize) -> PeerContext<SimulatedRuntime> {
        PeerContext {
            relay,
            ..self.context.clone()
        }
    }

    /// A fault with which a destination may be down has begun or ended. Faults overlap: what counts is the state of the
    /// destination's hosts.
    fn observe_outage(&self, destination: u16) {
        let is_down = self.of_block(destination).any(|host| {
            let is_unreachable = self.machine.address_fault(host.address).is_unreachable();
            is_unreachable || host.behavior.borrow().is_unavailable()
        });
        if self.outages.record(destination, is_down) {
            self.of(self.struck)
                .observe(&Observation::DestinationOutage {
                    destination,
                    is_down,
                });
        }
    }

    fn serve_discovery(&mut self, relay: usize) {
        let (close, closing) = watch::channel(false);
        let context = self.of(relay);
        let seat = &mut self.seats[relay];
        seat.closes_discovery = close;
        let served =
            seat.discovery
                .clone()
                .serve(context, discovery_address(relay, seat.moves), closing);
        self.context
            .runtime
            .spawn(async move { drop(served.await) });
    }

    fn configure(&self, relay: usize) {
        let discovery = discovery_address(relay, self.seats[relay].moves);
        let mut config =
            self.script
                .config(relay, &self.seats[relay].settings, &self.known, discovery);
        if let Some(change) = self.options.misconfigure {
            change(&mut config);
        }
        self.machine.disk(relay, |disk| {
            disk.put(CONFIG_PATH, config.to_string().into_bytes())
        });
        if let Some(hosted) = &self.script.hosted {
            self.machine.disk(relay, |disk| {
                disk.put(OPERATOR, hosted.operator().into_bytes())
            });
        }
        if self.script.levels {
            self.machine.disk(relay, |disk| {
                disk.put(OPERATOR, b"log_calls = true".to_vec())
            });
        }
        if let Some(kept) = &self.script.kept {
            let text = kept.operator_file(self.script.limits.capacity.keys().copied());
            self.machine
                .disk(relay, |disk| disk.put(OPERATOR, text.into_bytes()));
        }
    }

    /// A new process of a relay.
    fn spawn(&mut self, relay: usize) -> ProcessId {
        let beyond =
            self.script.hosted.is_some() || self.script.kept.is_some() || self.script.levels;
        let operator = beyond.then(|| OPERATOR.into());
        let run = |runtime| relay::run(runtime, operator);
        let process = self
            .machine
            .start_process(relay, self.options.planted_fault, run);
        if self.script.upgrades {
            self.machine
                .set_inherited_port(process, relay_address(relay), door_address(process));
        }
        process
    }

    fn start(&mut self, relay: usize) {
        // A process that starts finds a file that is whole.
        self.configure(relay);
        let process = self.spawn(relay);
        if relay == 0 {
            self.strike.set((process, self.strike.get().1));
        }
        (self.seats[relay].process, self.seats[relay].life) = (process, Life::Up);
        self.machine.note(format_args!("process {process} starts"));
        self.started(relay, process);
    }

    /// Tells the checker which process of a relay serves after one that is gone.
    fn started(&mut self, relay: usize, process: ProcessId) {
        self.seats[relay].door.set(control_socket(process));
        self.seats[relay].touched = self.machine.now();
        let context = self.of(relay);
        context.observe(&Observation::ProcessStarted(process));
        self.context.runtime.spawn(async move {
            wait_until_ready(&context, relay_address(relay)).await;
            context.observe(&Observation::ProcessReady);
        });
    }

    /// Starts the front, and callers at the door.
    fn staff(&self) {
        if !self.script.operated {
            return;
        }
        for (relay, seat) in self.seats.iter().enumerate() {
            let runtime = &self.context.runtime;
            runtime.spawn(control_clients::probe_readiness(
                self.of(relay),
                relay_address(relay),
                seat.shut.clone(),
            ));
            runtime.spawn(control_clients::poll_metrics(
                self.of(relay),
                seat.door.clone(),
            ));
            for _ in 0..control_clients::IDLE_CLIENTS {
                runtime.spawn(control_clients::keep_idle_connection(
                    self.of(relay),
                    relay_address(relay),
                    seat.shut.clone(),
                ));
            }
            for _ in 0..control_clients::SILENT_CALLERS {
                runtime.spawn(control_clients::keep_silent_connection(
                    self.of(relay),
                    seat.door.clone(),
                ));
            }
        }
    }

    /// Looks which connections of clients a relay holds.
    fn look_in(&mut self, now: Duration, relay: usize) {
        let open = self.machine.accepted_connections(relay_address(relay));
        let held = &mut self.seats[relay].held;
        held.retain(|number, _| open.contains(number));
        for number in open {
            held.entry(number).or_insert(now);
        }
        let many = held
            .values()
            .filter(|since| now >= **since + JUST_OPENED)
            .count();
        if many > 0 {
            self.of(relay)
                .observe(&Observation::ClientConnectionsHeld(many));
        }
    }

    /// Sends SIGHUP to all processes of a relay: where two run only one of them owns anything, and which is not for
    /// the operator to know.
    fn read_again(&mut self, relay: usize, whole: bool) {
        let now = self.machine.now();
        let seat = &mut self.seats[relay];
        seat.touched = now;
        for process in [Some(seat.process), seat.old.as_ref().map(|old| old.process)]
            .into_iter()
            .flatten()
        {
            if self.machine.is_alive(process) {
                self.machine.send_signal(process, Signal::Reload);
                self.of(relay)
                    .observe(&Observation::ReloadRequested { is_valid: whole });
            }
        }
    }

    /// Sees an upgrade through: stops the old process after the new one's yes, and notices which of them is gone.
    fn replace(&mut self, now: Duration, relay: usize) {
        let new = self.seats[relay].process;
        let Some(old) = &mut self.seats[relay].old else {
            return;
        };
        let process = old.process;
        match (self.machine.is_alive(process), self.machine.is_alive(new)) {
            (true, true) => match (old.stopped, old.yes.get()) {
                (None, Some(yes)) if now >= yes + old.stop_after => {
                    old.stopped = Some(now + KILLED_AFTER);
                    self.machine.send_signal(process, Signal::Stop);
                }
                (Some(at), _) if now >= at => self.machine.kill(process),
                _ => {}
            },
            (false, alive) => {
                let how = self.machine.exit(process);
                self.machine
                    .note(format_args!("process {process} is gone, and was replaced"));
                self.seats[relay].old = None;
                self.seats[relay].door.set(control_socket(new));
                self.machine.kill(process);
                let context = self.of(relay);
                if let Some(Err(error)) = &how {
                    context.observe(&Observation::ProcessExited(&Err(error.to_string())));
                }
                // One that left by itself had nothing out any more.
                if how.is_none() && alive {
                    context.observe(&Observation::ProcessTerminated);
                    self.started(relay, new);
                }
            }
            (true, false) => {
                let stopped = old.stopped.is_some();
                let how = self.machine.exit(new);
                self.machine.note(format_args!(
                    "process {new} is gone, and was to replace {process}"
                ));
                self.machine.kill(new);
                let seat = &mut self.seats[relay];
                (seat.old, seat.process) = (None, process);
                let context = self.of(relay);
                if let Some(Err(error)) = &how {
                    context.observe(&Observation::ProcessExited(&Err(error.to_string())));
                }
                context.observe(&Observation::ProcessTerminated);
                self.started(relay, process);
                if stopped {
                    self.seats[relay].life = Life::Stopping(self.seats[relay].down_for);
                    context.observe(&Observation::TerminationRequested);
                }
            }
        }
    }

    /// Notices what became of the process, and starts it again when it is time.
    fn live(&mut self, now: Duration, relay: usize) {
        let process = self.seats[relay].process;
        match self.seats[relay].life {
            Life::Down(at) if at <= now => self.start(relay),
            Life::Down(_) => {}
            Life::Up | Life::Stopping(_) if self.machine.is_alive(process) => {}
            Life::Up | Life::Stopping(_) => {
                let context = self.of(relay);
                if let Some(how) = self.machine.exit(process) {
                    context.observe(&Observation::ProcessExited(
                        &how.map_err(|error| error.to_string()),
                    ));
                }
                context.observe(&Observation::ProcessTerminated);
                self.machine.note(format_args!("process {process} is gone"));
                self.machine.kill(process);
                let seat = &mut self.seats[relay];
                let after = match seat.life {
                    Life::Stopping(after) => after,
                    _ => seat.down_for,
                };
                seat.life = Life::Down(now + after);
            }
        }
    }

    fn edge(&mut self, fault: &Fault, begins: bool) {
        self.struck = fault.relay;
        if begins {
            fault
                .trouble
                .begins(self, Duration::from_millis(fault.until))
        } else {
            fault.trouble.ends(self)
        }
    }

    fn of_block(&self, block: u16) -> impl Iterator<Item = &Rc<Host>> {
        self.hosts
            .iter()
            .filter(move |host| host.destination == block)
    }
}

impl Scene for World<'_> {
    fn machine(&self) -> &Machine {
        &self.machine
    }

    fn discovery(&self) -> &Discovery {
        &self.seats[self.struck].discovery
    }

    fn observe(&self, observation: &Observation<'_>) {
        match observation {
            Observation::DestinationOutage { destination, .. } => self.observe_outage(*destination),
            _ => self.of(self.struck).observe(observation),
        }
    }

    fn host_behavior(&self, block: u16, change: &dyn Fn(&mut HostBehavior)) {
        self.of_block(block)
            .for_each(|host| change(&mut host.behavior.borrow_mut()));
    }

    fn slow(&self, block: u16, by: u64) {
        for (plan, host) in self.script.hosts.iter().zip(&self.hosts) {
            if host.destination == block {
                let mut behavior = host.behavior.borrow_mut();
                behavior.min_response_ms = plan.takes.0 + by;
                behavior.max_response_ms = plan.takes.1 + by;
            }
        }
    }

    fn address(&self, block: u16, fault: AddressFault) {
        self.of_block(block)
            .for_each(|host| self.machine.set_address_fault(host.address, fault));
    }

    fn list(&self, host: usize, health: &'static str, jump: u64) {
        let host = &self.hosts[host];
        let line = line(host, health, host.capacity);
        // The change reaches all agents, each with its own lag.
        let late = if self.script.limits.discovery_is_pushed {
            Duration::ZERO
        } else {
            ASKED
        };
        for (relay, seat) in self.seats.iter().enumerate() {
            let told = seat
                .discovery
                .update(self.machine.now(), line.clone(), jump)
                + late;
            self.of(relay).observe(&Observation::HostStatusListed {
                host: &line.host,
                is_up: line.health == "up",
                notified_at: told,
            });
        }
    }

    fn hosts(&self) -> usize {
        self.hosts.len()
    }

    fn rename(&self, host: usize) {
        let name = format!("{}r", self.hosts[host].name.borrow());
        *self.hosts[host].name.borrow_mut() = name;
    }

    fn relay(&self) -> usize {
        self.struck
    }

    fn process(&self) -> ProcessId {
        self.seats[self.struck].process
    }

    fn kill_all(&mut self) {
        let down_for = self.seats[self.struck].down_for;
        for seat in &mut self.seats {
            seat.down_for = down_for;
            self.machine.kill(seat.process);
        }
    }

    fn kill_some(&mut self, percent: u64) {
        let down_for = self.seats[self.struck].down_for;
        let many = self.seats.len() * percent as usize / 100;
        for seat in &mut self.seats[..many] {
            seat.down_for = down_for;
            self.machine.kill(seat.process);
        }
    }

    fn cut(&self, block: u16, cut: bool) {
        self.of_block(block)
            .for_each(|host| self.machine.set_partitioned(self.struck, host.address, cut));
    }

    fn down_for(&mut self, span: Duration) {
        self.seats[self.struck].down_for = span;
    }

    fn stop(&mut self, down: Duration) {
        let context = self.of(self.struck);
        let seat = &mut self.seats[self.struck];
        if matches!(seat.life, Life::Up) && seat.old.is_none() {
            seat.life = Life::Stopping(down);
            context.observe(&Observation::TerminationRequested);
            self.machine.send_signal(seat.process, Signal::Stop);
        }
    }

    fn reload(&mut self) {
        let relay = self.struck;
        self.seats[relay].moves += 1;
        self.seats[relay].closes_discovery.send_replace(true);
        self.serve_discovery(relay);
        self.configure(relay);
        self.read_again(relay, true);
        let now = self.machine.now();
        self.of(relay).observe(&Observation::NoticeEndpointDown {
            from: now,
            until: now + MOVED,
        });
    }

    fn upgrade(&mut self, plan: Upgrade) {
        let relay = self.struck;
        let seat = &self.seats[relay];
        let old = seat.process;
        if !matches!(seat.life, Life::Up) || seat.old.is_some() || !self.machine.is_alive(old) {
            return;
        }
        self.configure(relay);
        let new = self.spawn(relay);
        self.machine
            .note(format_args!("process {new} starts beside {old}"));
        for (process, effects) in [old, new].into_iter().zip(plan.kills) {
            effects
                .into_iter()
                .for_each(|effects| self.machine.kill_after(process, effects));
        }
        let yes: Rc<Cell<Option<Duration>>> = Rc::default();
        let seat = &mut self.seats[relay];
        seat.process = new;
        seat.old = Some(Old {
            process: old,
            stop_after: plan.stop_after,
            yes: yes.clone(),
            stopped: None,
        });
        let context = self.of(relay);
        context.observe(&Observation::UpgradeStarted([old, new]));
        self.context.runtime.spawn(async move {
            wait_until_accepting_clients(&context, door_address(new)).await;
            yes.set(Some(context.elapsed()));
        });
    }

    fn drain(&mut self, drain: bool) {
        let command = if drain {
            DrainCommand::Drain
        } else {
            DrainCommand::Resume
        };
        let seat = &self.seats[self.struck];
        let switched =
            control_clients::set_draining(self.of(self.struck), seat.door.clone(), command);
        self.context.runtime.spawn(switched);
    }

    fn retune(&mut self, change: &dyn Fn(&mut serde_json::Value)) {
        let relay = self.struck;
        change(&mut self.seats[relay].settings);
        self.configure(relay);
        self.read_again(relay, true);
    }

    fn spoil_file(&mut self, way: u64) {
        let (relay, now) = (self.struck, self.machine.now());
        let seat = &self.seats[relay];
        // A start with such a file ends at once, as it should, and a change that was just made may not be read yet.
        if !matches!(seat.life, Life::Up) || seat.old.is_some() || now < seat.touched + SETTLES {
            return;
        }
        let discovery = discovery_address(relay, seat.moves);
        let config = self
            .script
            .config(relay, &seat.settings, &self.known, discovery);
        let text = operated::spoil(&config, way);
        self.machine.disk(relay, |disk| disk.put(CONFIG_PATH, text));
        self.read_again(relay, false);
    }

    fn mend_file(&mut self) {
        self.configure(self.struck);
    }

    fn strike_at_change(&mut self, effects: u64) {
        self.strike.set((self.process(), Some(effects)));
    }
}

/// The control socket of a process.
fn control_socket(process: ProcessId) -> ControlSocket {
    ControlSocket {
        process,
        address: door_address(process),
    }
}

/// Where a process takes operators' calls.
fn door_address(process: ProcessId) -> SocketAddr {
    SocketAddr::from(([10, 3, 0, 1], 10_000 + (process % 50_000) as u16))
}

fn line(host: &Host, health: &'static str, capacity: f64) -> HostEntry {
    HostEntry {
        host: host.name.borrow().clone(),
        address: host.address,
        zone: host.zone.clone(),
        destination: host.destination,
        health,
        calls_per_second: capacity as u32,
    }
}
