//! A demo of the relay: the real process on loopback sockets, between the clients, partners and discovery of the
//! simulation. It ends by itself and removes its files.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use relay::RelayError;
use runtime::{OsRuntime, Runtime};
use tempfile::TempDir;
use thiserror::Error;
use tokio::sync::watch;

use super::loopback::{
    block_on, configuration, free_address, peer_context, LoopbackError, RelayCommand, RelayProcess,
    MESSAGE_TTL_MS, READY_TIMEOUT, TENANT,
};
use super::CommandOutcome;
use crate::history::{Idempotency, Observation};
use crate::peers::clients::{Client, ClientBehavior, PlannedMessage};
use crate::peers::connection::wait_until_ready;
use crate::peers::discovery::{Discovery, HostEntry};
use crate::peers::host_behavior::HostBehavior;
use crate::peers::hosts::Host;
use crate::peers::PeerContext;
use crate::rng::SimulationRng;

/// The sub-command of this program that runs the relay.
const RELAY_COMMAND: &str = "relay";
/// Partners, each the only host of its destination.
const PARTNERS: u16 = 3;
/// Capacity of each partner, in calls a second.
const PARTNER_CAPACITY: u16 = 60;
/// Clients, which submit the messages in turn.
const CLIENTS: u64 = 4;
/// Messages are submitted for this long.
const ARRIVAL_SECONDS: u64 = 10;
/// Messages that are submitted a second.
const ARRIVALS_PER_SECOND: u64 = 30;
/// Bytes of a message's body.
const BODY_BYTES: usize = 100;
/// Time after its first use for which an idempotency key is remembered.
const KEY_WINDOW: Duration = Duration::from_secs(20);
/// The partner that fails.
const FAILING_PARTNER: u16 = 2;
/// The second at which it starts to fail.
const FAILS_AT_SECOND: u64 = 2;
/// The second at which it recovers.
const RECOVERS_AT_SECOND: u64 = 5;
/// The second at which the relay is killed.
const KILLED_AT_SECOND: u64 = 7;
/// Maximum time to wait for the ends of the last messages, in seconds.
const MAX_DRAIN_SECONDS: u64 = 10;

/// The demo could not be run.
#[derive(Debug, Error)]
pub enum DemoError {
    /// The relay can't be started.
    #[error(transparent)]
    Loopback(#[from] LoopbackError),
    /// The relay itself ended with an error.
    #[error(transparent)]
    Relay(#[from] RelayError),
    /// The demo was interrupted.
    #[error("interrupted")]
    Interrupted,
    /// The temporary directory can't be created.
    #[error("cannot create a temporary directory for the demo: {0}")]
    Folder(#[source] io::Error),
    /// The path of this program is not known.
    #[error("cannot determine the path of this program: {0}")]
    ProgramPath(#[source] io::Error),
    /// The configuration can't be written.
    #[error("cannot write the configuration: {0}")]
    WriteConfiguration(#[source] io::Error),
    /// The relay did not become ready in time.
    #[error("the relay did not become ready within 20 s")]
    NotReady,
    /// The relay did not become ready in time after it was killed.
    #[error("the relay did not become ready again within 20 s")]
    NotReadyAgain,
}

/// Runs the relay itself, in its own process.
///
/// # Errors
///
/// The relay's own error.
pub fn run_relay() -> Result<(), DemoError> {
    block_on(async { Ok(relay::run(OsRuntime, None).await?) })
}

/// Runs the demo. Fails if an invariant was violated or the relay did not terminate cleanly.
///
/// # Errors
///
/// If a process can't be started or a port can't be bound.
pub fn run() -> Result<CommandOutcome, DemoError> {
    block_on(async {
        tokio::select! {
            biased;
            // Dropping the demo kills its processes and removes its files.
            _ = tokio::signal::ctrl_c() => Err(DemoError::Interrupted),
            played = play() => played,
        }
    })
}

async fn play() -> Result<CommandOutcome, DemoError> {
    let mut demo = Demo::prepare()?;
    demo.start_peers();
    demo.print_line(format_args!(
        "three partners and discovery listen; the configuration is {}",
        demo.configuration.display()
    ));
    demo.start_relay(1, DemoError::NotReady).await?;
    demo.print_line(format_args!(
        "the relay is ready at {}; {ARRIVALS_PER_SECOND} messages a second come in",
        demo.relay_address
    ));
    let start = demo.context.elapsed();
    demo.start_clients(start);
    for second in 1..=ARRIVAL_SECONDS + MAX_DRAIN_SECONDS {
        let at = demo.context.instant(start + Duration::from_secs(second));
        demo.context.runtime.sleep_until(at).await;
        demo.play_faults(second).await?;
        demo.context.observe(&Observation::Tick);
        let open = demo.print_progress();
        if open == 0 && second > ARRIVAL_SECONDS {
            break;
        }
    }
    let has_ended_cleanly = demo.stop_relay().await;
    Ok(demo.print_summary(has_ended_cleanly))
}

/// The relay and its peers. The fields are dropped in this order: the process is killed first, and its files are removed
/// last.
struct Demo {
    process: Option<RelayProcess>,
    context: PeerContext<OsRuntime>,
    hosts: Vec<Rc<Host>>,
    discovery: Rc<Discovery>,
    discovery_address: SocketAddr,
    /// Discovery stops when this is dropped.
    discovery_stop: watch::Sender<bool>,
    relay_address: SocketAddr,
    /// This program.
    program: PathBuf,
    configuration: PathBuf,
    state_directory: PathBuf,
    _folder: TempDir,
}

impl Demo {
    /// Creates the peers and writes the relay's files. Nothing is started.
    fn prepare() -> Result<Self, DemoError> {
        let folder = tempfile::tempdir().map_err(DemoError::Folder)?;
        let state_directory = folder.path().join("state");
        let configuration_file = folder.path().join("config.json");
        std::fs::create_dir(&state_directory).map_err(LoopbackError::StateDirectory)?;
        let program = std::env::current_exe().map_err(DemoError::ProgramPath)?;
        let (relay_address, discovery_address) = (free_address()?, free_address()?);
        let hosts = (1..=PARTNERS)
            .map(|destination| Ok(partner(destination, free_address()?)))
            .collect::<Result<Vec<Rc<Host>>, LoopbackError>>()?;
        let discovery = Discovery::new(hosts.iter().map(|host| host_entry(host)).collect());
        let relay = configuration(
            relay_address,
            discovery_address,
            &state_directory,
            &discovery.full_snapshot(),
        );
        std::fs::write(&configuration_file, relay.file.to_string())
            .map_err(DemoError::WriteConfiguration)?;
        Ok(Demo {
            process: None,
            context: peer_context(relay.limits),
            hosts,
            discovery,
            discovery_address,
            discovery_stop: watch::Sender::new(false),
            relay_address,
            program,
            configuration: configuration_file,
            state_directory,
            _folder: folder,
        })
    }

    /// Starts the partners and discovery.
    fn start_peers(&self) {
        let runtime = self.context.runtime;
        for host in &self.hosts {
            let serving = host.clone().serve(self.context.clone());
            runtime.spawn(async move { drop(serving.await) });
        }
        let serving = self.discovery.clone().serve(
            self.context.clone(),
            self.discovery_address,
            self.discovery_stop.subscribe(),
        );
        runtime.spawn(async move { drop(serving.await) });
    }

    /// Starts process number `number` of the relay and waits until it is ready.
    async fn start_relay(&mut self, number: u32, not_ready: DemoError) -> Result<(), DemoError> {
        self.process = Some(RelayProcess::start(&RelayCommand {
            program: &self.program,
            arguments: &[RELAY_COMMAND],
            configuration: &self.configuration,
            state_directory: &self.state_directory,
            variables: &[],
        })?);
        self.context.observe(&Observation::ProcessStarted(number));
        let ready = wait_until_ready(&self.context, self.relay_address);
        let ready = self.context.runtime.timeout(READY_TIMEOUT, ready).await;
        ready.map_err(|_| not_ready)?;
        self.context.observe(&Observation::ProcessReady);
        Ok(())
    }

    /// Starts the clients, which submit messages from `start` on.
    fn start_clients(&self, start: Duration) {
        for messages in messages_by_client(start) {
            let relays = vec![self.relay_address];
            let client = Client::new(self.context.clone(), relays, 0, messages, None);
            self.context.runtime.spawn(client.run());
        }
    }

    /// Injects or clears the faults that are planned for a second.
    async fn play_faults(&mut self, second: u64) -> Result<(), DemoError> {
        if second == FAILS_AT_SECOND {
            self.break_partner();
        }
        if second == RECOVERS_AT_SECOND {
            self.restore_partner();
        }
        if second == KILLED_AT_SECOND {
            self.kill_and_restart_relay().await?;
        }
        Ok(())
    }

    fn break_partner(&self) {
        self.set_partner_behavior(HostBehavior {
            error_percent: 100,
            ..HostBehavior::default()
        });
        self.context.observe(&Observation::DestinationOutage {
            destination: FAILING_PARTNER,
            is_down: true,
        });
        self.print_line(format_args!(
            "partner {FAILING_PARTNER} breaks: every call to it ends in an error"
        ));
    }

    fn restore_partner(&self) {
        self.set_partner_behavior(HostBehavior::default());
        self.context.observe(&Observation::DestinationOutage {
            destination: FAILING_PARTNER,
            is_down: false,
        });
        self.print_line(format_args!("partner {FAILING_PARTNER} is mended"));
    }

    fn set_partner_behavior(&self, behavior: HostBehavior) {
        let partner = &self.hosts[usize::from(FAILING_PARTNER) - 1];
        *partner.behavior.borrow_mut() = behavior;
    }

    async fn kill_and_restart_relay(&mut self) -> Result<(), DemoError> {
        // Dropping the process kills it.
        drop(self.process.take());
        self.context.observe(&Observation::ProcessTerminated);
        self.print_line(format_args!(
            "the relay is killed with SIGKILL, and starts again on its journal"
        ));
        self.start_relay(2, DemoError::NotReadyAgain).await
    }

    /// Stops the relay with SIGTERM. Returns whether it ended in time and without an error.
    async fn stop_relay(&mut self) -> bool {
        let has_ended_cleanly = match self.process.take() {
            Some(process) => process.stop(&self.context.runtime).await,
            None => false,
        };
        let result = if has_ended_cleanly {
            "ended"
        } else {
            "did not end well"
        };
        self.print_line(format_args!("the relay was told to stop and {result}"));
        has_ended_cleanly
    }

    /// Prints a line with the time since the demo began.
    fn print_line(&self, line: fmt::Arguments<'_>) {
        println!("{:5.1} s  {line}", self.context.elapsed().as_secs_f64());
    }

    /// Prints the counts of messages so far. Returns how many accepted ones have not ended.
    fn print_progress(&self) -> usize {
        let checker = self.context.checker.borrow();
        let (counts, open) = (checker.counts, checker.open_messages());
        let undelivered = counts.undeliverable + counts.deferred;
        self.print_line(format_args!(
            "{} handed in, {} taken on, {} delivered, {undelivered} ended undelivered, {open} on their way",
            counts.submitted, counts.accepted, counts.delivered
        ));
        open
    }

    /// Prints how all messages ended, and whether an invariant was violated.
    fn print_summary(&self, has_ended_cleanly: bool) -> CommandOutcome {
        let checker = self.context.checker.borrow();
        let (counts, open) = (checker.counts, checker.open_messages());
        println!();
        println!(
            "Taken on: {}. Delivered: {}.",
            counts.accepted, counts.delivered
        );
        println!(
            "Ended by a notice: {} failed, {} refused.",
            counts.undeliverable, counts.deferred
        );
        println!("Without an end: {open}. Calls made: {}.", counts.calls);
        match checker.violation() {
            Some(violation) => println!("A rule was broken at {violation}"),
            None => {
                println!(
                    "No rule was broken: nothing lost, no payout twice, one end for each message."
                );
            }
        }
        CommandOutcome::passed_if(has_ended_cleanly && open == 0 && checker.violation().is_none())
    }
}

/// The only host of a destination.
fn partner(destination: u16, address: SocketAddr) -> Rc<Host> {
    Host::new(
        &format!("partner-{destination}"),
        destination,
        "a",
        address,
        PARTNER_CAPACITY.into(),
        SimulationRng::new(0, destination.into()),
    )
}

/// The entry of a host in discovery.
fn host_entry(host: &Host) -> HostEntry {
    HostEntry {
        host: host.name.borrow().clone(),
        address: host.address,
        zone: "a".into(),
        destination: host.destination,
        health: "up",
        calls_per_second: PARTNER_CAPACITY.into(),
    }
}

/// The messages of each client, the first of all at `start`.
fn messages_by_client(start: Duration) -> Vec<Vec<PlannedMessage>> {
    let mut clients = vec![Vec::new(); CLIENTS as usize];
    for number in 0..ARRIVAL_SECONDS * ARRIVALS_PER_SECOND {
        let client = (number % CLIENTS) as usize;
        clients[client].push(message(number, start));
    }
    clients
}

/// One message. Classes alternate, and so do destinations within each class.
fn message(number: u64, start: Duration) -> PlannedMessage {
    let (class, idempotency) = match number % 3 {
        0 => ("update", Idempotency::Idempotent),
        1 => (
            "event",
            Idempotency::Keyed {
                window: KEY_WINDOW,
                zone_only: false,
            },
        ),
        _ => ("payout", Idempotency::NonIdempotent),
    };
    let destination = 1 + (number / 3 % u64::from(PARTNERS)) as u16;
    PlannedMessage {
        at: start + Duration::from_millis(number * 1000 / ARRIVALS_PER_SECOND),
        name: format!("m{number:04}"),
        tenant: TENANT.into(),
        class,
        idempotency,
        ordering_key: 0,
        is_ordered: false,
        non_idempotent_from: None,
        destination,
        time_to_live_ms: MESSAGE_TTL_MS,
        body_bytes: BODY_BYTES,
        behavior: ClientBehavior::Regular,
    }
}
