//! One process's life: it starts, takes the folder, serves until it is told to stop or another process takes over, and
//! brings what is out to its end.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use control::{LifecycleEvent, LifecycleState};
use membership::{DiscoverySettings, HostMembership};
use policy::types::Settings;
use policy::DeliveryPolicy;
use relay_events::{Clock, RelayEvent, Reply};
use runtime::{log, Runtime, Signal, Signals, Task};
use tokio::sync::{mpsc, watch};

use crate::cached_state::{self, CachedState};
use crate::call_log::CallLog;
use crate::classes::Classes;
use crate::client_connections::{self, Authentication, ClientConnections, PortSharing};
use crate::config::Config;
use crate::control_socket::{self, Control};
use crate::discovery_client;
use crate::event_loop::{EventLoop, ELSEWHERE};
use crate::host_connections::HostConnections;
use crate::host_directory::HostDirectory;
use crate::in_flight::InFlightMessages;
use crate::journal::Journal;
use crate::operator_config::Operator;
use crate::state_directory::{DepartingProcess, DirectoryOwner, StateDirectory};
use crate::tenant_service::Tenants;
use crate::undeliverable_service::UndeliverableService;

/// Inputs that may wait for the driver; beyond, those who have more wait themselves.
const INPUTS: usize = 1024;
/// Descriptors that are no connection of a client or a host: discovery, the journal, the runtime's own.
const OTHER_SOCKETS: usize = 24;
/// The same beside the connections of administrators: their listener, the registry's files, the audit log.
const ADMIN_SOCKETS: usize = 8;
/// At its end a process reads what has come for so long, and writes its answers for so long.
const LAST: Duration = Duration::from_millis(5);
/// How often what is left of a process looks round.
const LOOK: Duration = Duration::from_millis(10);

/// What outlasts a hand-over within one process.
struct Process<R: Runtime> {
    runtime: R,
    operator: Option<PathBuf>,
    clock: Clock<R>,
    control: Rc<Control<R>>,
    signals: R::Signals,
    inputs: mpsc::Sender<RelayEvent>,
    incoming: mpsc::Receiver<RelayEvent>,
    /// The listening socket that the process was started with.
    inherited: Option<i32>,
}

/// One relay's whole life. The operator file says what goes beyond the platform's configuration. The error is one plain
/// line.
pub async fn run<R: Runtime>(runtime: R, operator: Option<PathBuf>) -> Result<(), String> {
    // The handlers come before all else: without one, each of these signals ends the process.
    let signals = runtime.signals().map_err(|e| format!("no signals: {e}"))?;
    let config = Config::load(&runtime)?;
    Operator::load(&runtime, operator.as_deref())?;
    let inherited = inherited(&runtime)?;
    let control = Control::new(&runtime, &config.classes, config.control.is_some());
    // The door stands before all else, so that it says no until clients may come.
    if let Some(at) = config.control {
        let door = runtime
            .listen(at)
            .await
            .map_err(|e| format!("cannot listen for operators on {at}: {e}"))?;
        runtime.spawn(control_socket::serve_operators::<R>(door, control.clone()));
    }
    let (inputs, incoming) = mpsc::channel(INPUTS);
    let clock = Clock::new(runtime.clone());
    let mut process = Process {
        runtime,
        operator,
        clock,
        control,
        signals,
        inputs,
        incoming,
        inherited,
    };
    let folder = StateDirectory::new(&process.runtime, &config.state);
    // Guards an upgrade that is called off: told to stop while it waits, this process takes nothing over, and the other one
    // serves on.
    let mut office = tokio::select! {
        biased;
        () = stopped(&mut process.signals) => return Ok(()),
        office = folder.acquire(inherited.is_some()) => office?,
    };
    loop {
        let Some((arm, clients)) = process.serve(office).await? else {
            return Ok(());
        };
        match process.finish(arm, &clients).await {
            Some(back) => office = back,
            None => return Ok(()),
        }
    }
}

/// Ready once the process is told to stop; what it would read again it has yet to read.
async fn stopped(signals: &mut impl Signals) {
    while signals.next().await != Signal::Stop {}
}

/// The descriptor of the listening socket that the platform holds, if it does.
fn inherited(runtime: &impl Runtime) -> Result<Option<i32>, String> {
    let Some(text) = runtime.env_var("BALANCER_SOCKET_FD") else {
        return Ok(None);
    };
    let descriptor = text
        .parse()
        .map_err(|_| format!("{text:?} is no descriptor of a socket"))?;
    runtime
        .inherited_listener(descriptor)
        .map_err(|e| format!("cannot listen on descriptor {descriptor}: {e}"))?;
    Ok(Some(descriptor))
}

impl<R: Runtime> Process<R> {
    /// Starts all that a relay has, on what the folder holds.
    async fn open(
        &self,
        mut office: DirectoryOwner<R>,
    ) -> Result<(EventLoop<R>, watch::Receiver<std::net::SocketAddr>, usize), String> {
        let Process {
            runtime,
            operator,
            clock,
            control,
            inputs,
            ..
        } = self;
        let config = Config::load(runtime)?;
        let wanted = Operator::load(runtime, operator.as_deref())?;
        let left = office.read_handover().await;
        let folder = config.state.display();
        let disk = (config.limits.disk_mb * 1e6) as u64;
        let journal = Journal::open(runtime.clone(), &config.state, disk)
            .map_err(|e| format!("cannot use the journal in {folder}: {e}"))?;
        let config = Config {
            settings: Settings {
                max_queued_bytes: journal.capacity(),
                ..config.settings
            },
            ..config
        };
        // Half of the sockets are for clients; of the rest, the calls out come before what is idle.
        let admin = wanted
            .admin
            .as_ref()
            .map_or(0, |admin| admin.connections + ADMIN_SOCKETS);
        let door = config.control.map_or(0, |_| control_socket::SOCKETS);
        // In an upgrade the other process has its door and its last calls beside this one's.
        let beside = self
            .inherited
            .map_or(0, |_| door + OTHER_SOCKETS + config.settings.max_calls);
        let sockets = config
            .limits
            .sockets
            .saturating_sub(OTHER_SOCKETS + admin + door + beside);
        let most_clients = sockets / 2;
        if config.settings.max_calls + 1 > sockets - most_clients {
            return Err(format!(
                "{} sockets do not do for {} slots",
                sockets, config.settings.max_calls
            ));
        }
        let most_idle = sockets - most_clients - config.settings.max_calls;
        let (discovery, at) = watch::channel(config.discovery);
        let Config {
            tenants,
            classes,
            settings,
            ..
        } = &config;
        let tenants = Tenants::open(runtime, wanted.tenants.as_ref(), tenants, classes, settings)?;
        let (sharing, terms) = tenants.scheduler(settings);
        let terms_of_discovery = DiscoverySettings {
            pushed: !settings.polls_discovery,
            siblings: settings.replicas,
            drain_grace: config.drain_grace,
            seed: config.seed,
        };
        let heard = cached_state::time_since_contact(runtime, &config.state);
        let membership = Rc::new(RefCell::new(HostMembership::new(
            &terms_of_discovery,
            heard,
        )));
        let mut driver = EventLoop {
            policy: DeliveryPolicy::with_scheduler(settings.clone(), config.seed, sharing),
            tenants,
            operator: operator.clone(),
            tokens: watch::channel(wanted.tokens()).0,
            clock: clock.clone(),
            journal,
            host_connections: Rc::new(HostConnections::new(
                runtime.clone(),
                membership.clone(),
                config.dial_timeout,
                config.idle_close,
                most_idle,
                control.dispatches(),
            )),
            membership,
            notifications: Rc::default(),
            relay_events: inputs.clone(),
            events: terms,
            timer: None,
            last_round: runtime.now(),
            in_flight: InFlightMessages::default(),
            calls: BTreeMap::new(),
            host_directory: HostDirectory::default(),
            classes: Classes::new(classes, &settings.classes),
            cached_state: CachedState::load(runtime, &config.state),
            disk,
            discovery,
            directory_owner: office,
            control: control.clone(),
            call_log: CallLog::new(runtime.clone(), wanted.log_calls),
            undeliverable: wanted
                .undeliverable
                .map(|set| UndeliverableService::new(runtime.clone(), set, inputs.clone())),
            config,
            runtime: runtime.clone(),
        };
        driver
            .call_log
            .start(driver.clock.now(), &driver.config.settings);
        driver.restore(left)?;
        Ok((driver, at, most_clients))
    }

    /// Serves until the process ends, which gives nothing, or another one has everything but the calls that are out.
    async fn serve(
        &mut self,
        office: DirectoryOwner<R>,
    ) -> Result<Option<(DepartingProcess<R>, Rc<ClientConnections<R>>)>, String> {
        let (mut driver, at, most_clients) = self.open(office).await?;
        let Process {
            runtime,
            clock,
            control,
            inputs,
            ..
        } = self;
        let membership = driver.membership.clone();
        let version = driver.host_directory.version();
        let (hosts, timers) = (driver.host_connections.clone(), runtime.clone());
        let sweep = async move {
            loop {
                timers.sleep(Duration::from_millis(250)).await;
                hosts.close_expired();
            }
        };
        let notices = driver.notifications.clone();
        let mut tasks = vec![
            runtime.spawn(discovery_client::follow(
                runtime.clone(),
                at.clone(),
                version,
                membership,
                inputs.clone(),
            )),
            runtime.spawn(discovery_client::notify(
                runtime.clone(),
                at,
                notices,
                inputs.clone(),
            )),
            runtime.spawn(sweep),
        ];
        // Clients come last: the first answer to a PING says that all else is in place.
        let listen = driver.config.listen;
        let listener = match self.inherited {
            Some(descriptor) => runtime.inherited_listener(descriptor),
            None => runtime.listen(listen).await,
        };
        let listener = listener.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
        let clients = ClientConnections::new(
            runtime.clone(),
            control.clone(),
            most_clients,
            if driver.tenants.requires_login() {
                Authentication::Required
            } else {
                Authentication::Disabled
            },
        );
        if let Some(admin) = Operator::load(runtime, self.operator.as_deref())?.admin {
            let tokens = driver.tokens.subscribe();
            tasks.push(admin::start(runtime, &admin, tokens, inputs.clone()).await?);
        }
        control.handle_event(if control.state() == LifecycleState::HandingOver {
            LifecycleEvent::TakenBack
        } else {
            LifecycleEvent::Started
        });
        runtime.spawn(client_connections::accept_connections(
            listener,
            clients.clone(),
            clock.clone(),
            inputs.clone(),
            match self.inherited {
                Some(_) => PortSharing::Shared,
                None => PortSharing::Exclusive,
            },
        ));
        driver.directory_owner.withdraw_request();
        loop {
            if !self.turn(&mut driver, &clients).await? {
                return self.last_words(&mut driver).await.map(|()| None);
            }
            if !self.control.should_hand_over(clients.count()) {
                continue;
            }
            // What has come is decided before all goes across.
            while let Ok(input) = self.incoming.try_recv() {
                driver.handle_event(input);
            }
            driver.run_round()?;
            let state = driver.handover_state();
            let (held, out) = (driver.in_flight.len(), state.open_calls.len());
            match driver.directory_owner.hand_over(state, driver.disk) {
                Ok(mut arm) => {
                    log!(
                        self.runtime,
                        "upgrade: handed over {held} messages; {out} calls are out here"
                    );
                    tasks.iter().for_each(Task::abort);
                    driver.host_connections.retire();
                    self.control.metrics().record_handover();
                    // The other sides of its calls end them when they are dropped.
                    arm.keep_calls(std::mem::take(&mut driver.calls));
                    drop(driver);
                    arm.release_directory();
                    return Ok(Some((arm, clients)));
                }
                Err(error) => {
                    log!(
                        self.runtime,
                        "upgrade: cannot hand over, and serves on: {error}"
                    );
                    if self.control.handle_event(LifecycleEvent::TakenBack) {
                        let listener = self
                            .runtime
                            .inherited_listener(self.inherited.unwrap_or(-1));
                        let listener =
                            listener.map_err(|e| format!("cannot listen on {listen}: {e}"))?;
                        let (clock, inputs) = (self.clock.clone(), self.inputs.clone());
                        self.runtime.spawn(client_connections::accept_connections(
                            listener,
                            clients.clone(),
                            clock,
                            inputs,
                            PortSharing::Shared,
                        ));
                    }
                }
            }
        }
    }

    /// Answers what came while the process was about to end: a request that is whole has its answer, and what is taken
    /// on is the next process's.
    async fn last_words(&mut self, driver: &mut EventLoop<R>) -> Result<(), String> {
        self.runtime.sleep(LAST).await;
        while let Ok(input) = self.incoming.try_recv() {
            driver.handle_event(input);
        }
        driver.run_round()?;
        self.runtime.sleep(LAST).await;
        Ok(())
    }

    /// Does what is due, or waits for something to happen; false once the process ends.
    async fn turn(
        &mut self,
        driver: &mut EventLoop<R>,
        clients: &ClientConnections<R>,
    ) -> Result<bool, String> {
        let Process {
            runtime,
            control,
            signals,
            incoming,
            ..
        } = self;
        let now = runtime.now();
        let mut wake = driver.next_round_at();
        if wake <= now {
            driver.run_round()?;
            return Ok(true);
        }
        if driver
            .tenants
            .run_maintenance(&mut driver.events, driver.journal.has_spare())
        {
            wake = wake.min(now + Duration::from_millis(1));
        }
        if let Some(due) = driver
            .undeliverable
            .as_ref()
            .map(UndeliverableService::next_run_at)
        {
            if due <= now && control.state() != LifecycleState::Stopping {
                driver.run_undeliverable_service();
                return Ok(true);
            }
            wake = wake.min(due.max(now + Duration::from_millis(1)));
        }
        // Messages in hand may go out until the last call has to end, and what a restart costs them is not theirs to lose.
        let idle = || driver.is_idle() && clients.count() == 0 && incoming.is_empty();
        if control.should_exit(clients.is_accepting(), idle) {
            return Ok(false);
        }
        if let Some(soon) = control.publish_stage() {
            wake = wake.min(now + soon);
        }
        if let Some(at) = control.next_host_count_at() {
            if at <= now {
                driver.update_host_counts();
            }
            wake = wake.min(at.max(now + Duration::from_millis(1)));
        }
        let doubted = driver.membership.borrow().confirmation_deadline();
        if let Some(until) = doubted {
            if until <= now {
                log!(
                    *runtime,
                    "discovery: silent since the start; calls go by the remembered list"
                );
                driver.confirm_host_list();
                return Ok(true);
            }
            wake = wake.min(until);
        }
        if let Some(at) = driver.directory_owner.next_check_at() {
            if at <= now {
                driver.check_state_directory();
            }
            wake = wake.min(at.max(now + Duration::from_millis(1)));
        }
        tokio::select! {
            biased;
            signal = signals.next() => match signal {
                Signal::Stop => driver.begin_shutdown(),
                Signal::Reload => driver.reload()?,
            },
            Some(input) = incoming.recv() => {
                driver.handle_event(input);
                // What came together goes into one round, which must not wait for ever.
                for _ in 0..INPUTS {
                    let Ok(input) = incoming.try_recv() else { break };
                    driver.handle_event(input);
                }
            }
            () = control.state_changed() => {}
            () = runtime.sleep_until(wake) => {}
        }
        Ok(true)
    }

    /// Brings the calls of a process that has handed over to their end. Gives the folder where it came back.
    async fn finish(
        &mut self,
        mut arm: DepartingProcess<R>,
        clients: &ClientConnections<R>,
    ) -> Option<DirectoryOwner<R>> {
        let Process {
            runtime,
            control,
            signals,
            incoming,
            ..
        } = self;
        loop {
            let stopping = control.state() == LifecycleState::Stopping;
            if arm.is_idle() && clients.count() == 0 && (stopping || arm.is_replaced())
                || control.should_exit(false, || arm.is_idle())
            {
                return None;
            }
            control.publish_stage();
            if !stopping {
                match arm.take_back() {
                    Ok(office) => {
                        log!(
                            *runtime,
                            "upgrade: the process that took over is gone; this one serves again"
                        );
                        return Some(office);
                    }
                    Err(still) => arm = still,
                }
            }
            tokio::select! {
                biased;
                signal = signals.next() => match signal {
                    Signal::Stop => drop(control.handle_event(LifecycleEvent::Stop)),
                    Signal::Reload => log!(*runtime, "configuration: it is the new process's to read"),
                },
                Some(input) = incoming.recv() => match input {
                    RelayEvent::CallCompleted(end) => arm.report_call_end(&end).unwrap_or_else(|e| {
                        log!(*runtime, "upgrade: cannot tell the end of a call: {e}");
                    }),
                    RelayEvent::EnqueueRequest(request) => {
                        request.reply.into_iter().for_each(|reply| drop(reply.send(Reply::Busy(ELSEWHERE))));
                    }
                    // All else is the new process's to hear.
                    _ => {}
                },
                () = runtime.sleep(LOOK) => {}
            }
        }
    }
}
