//! The serving phase of a process that owns the state directory: starts the event loop and the other tasks, and serves
//! clients.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use control::{LifecycleEvent, LifecycleState};
use runtime::{log, retry_transient, Runtime, Signal, Signals, Task};
use tokio::sync::watch;

use super::{Process, RelayError, EVENT_QUEUE_CAPACITY};
use crate::client_connections::{self, Authentication, ClientConnections, PortSharing};
use crate::discovery_client;
use crate::event_loop::{EventLoop, LoopResources, OpenedLoop};
use crate::memory_budget::MemoryBudget;
use crate::operator_config::OperatorConfig;
use crate::state_directory::{DepartingProcess, DirectoryOwner};

/// Before it exits, a process reads pending requests for this long, and then writes replies for this long.
const FINAL_IO_TIME: Duration = Duration::from_millis(5);
/// How soon the time limit of the wait for discovery is checked again if discovery has not been polled yet.
const FIRST_POLL_RECHECK: Duration = Duration::from_millis(100);
/// How often idle connections to hosts are checked for expiry.
const IDLE_CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum wait for work that is already due but cannot be done yet.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// An invalid descriptor. A process without an inherited listener does not hand over, so the operating system's error for
/// this value is appropriate.
const NO_DESCRIPTOR: i32 = -1;

/// How a process stopped serving.
pub(super) enum ServeOutcome<R: Runtime> {
    /// The process exits.
    Ended,
    /// Another process owns the state directory; this process still owns the open calls.
    Departing {
        departing: DepartingProcess<R>,
        clients: Rc<ClientConnections<R>>,
    },
}

/// Result of a pass over the due work.
enum DueWork {
    /// Work was done, after which other work may be due.
    Done,
    /// Nothing is due before this time.
    NothingBefore(Instant),
    /// The process is to exit now.
    Exit,
}

/// Whether the process continues to serve.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Continue,
    Exit,
}

/// The parts of a serving process beside the event loop.
struct Servers<R: Runtime> {
    clients: Rc<ClientConnections<R>>,
    /// Address that clients connect to.
    listen_address: SocketAddr,
    /// Tasks that are aborted at a hand-over.
    tasks: Vec<R::Task>,
}

impl<R: Runtime> Process<R> {
    /// Serves until the process is to exit, or another process has taken over everything except the open calls.
    pub(super) async fn serve(
        &mut self,
        directory_owner: DirectoryOwner<R>,
    ) -> Result<ServeOutcome<R>, RelayError> {
        let opened = EventLoop::open(self.loop_resources(), directory_owner).await?;
        let OpenedLoop {
            mut event_loop,
            discovery_address,
            max_clients,
            memory,
        } = opened;
        let servers = self
            .start_servers(&event_loop, discovery_address, max_clients, &memory)
            .await?;
        event_loop.withdraw_handover_request();
        loop {
            if self.step(&mut event_loop, &servers.clients).await? == Progress::Exit {
                self.answer_last_requests(&mut event_loop).await?;
                return Ok(ServeOutcome::Ended);
            }
            let unconfirmed_calls = event_loop.host_connections().unconfirmed_calls();
            let clients = servers.clients.count();
            if !self
                .control
                .should_start_handover(clients, unconfirmed_calls)
            {
                continue;
            }
            self.handle_waiting_events(&mut event_loop);
            event_loop.run_round()?;
            match event_loop.start_handover() {
                Ok(departing) => return Ok(retire(event_loop, departing, servers).await),
                Err(error) => self.resume_serving(&servers, &error)?,
            }
        }
    }

    fn loop_resources(&self) -> LoopResources<'_, R> {
        LoopResources {
            runtime: &self.runtime,
            operator_file: self.operator_file.as_ref(),
            clock: &self.clock,
            control: &self.control,
            relay_events: &self.events_sender,
            may_overlap: self.inherited_listener.is_some(),
        }
    }

    /// Starts the tasks beside the event loop. Clients are accepted last, because the first answer to a PING signals that
    /// all other parts are running.
    async fn start_servers(
        &self,
        event_loop: &EventLoop<R>,
        discovery_address: watch::Receiver<SocketAddr>,
        max_clients: usize,
        memory: &MemoryBudget,
    ) -> Result<Servers<R>, RelayError> {
        let mut tasks =
            self.spawn_background_tasks(event_loop, discovery_address, memory.host_list);
        let listen_address = event_loop.listen_address();
        let listen = async || match self.inherited_listener {
            Some(descriptor) => self.runtime.inherited_listener(descriptor),
            None => self.runtime.listen(listen_address).await,
        };
        let listener = retry_transient(&self.runtime, listen).await;
        let listener = listener.map_err(|source| listen_error(listen_address, source))?;
        let authentication = if event_loop.requires_login() {
            Authentication::Required
        } else {
            Authentication::Disabled
        };
        let clients = ClientConnections::new(
            self.runtime.clone(),
            self.control.clone(),
            max_clients,
            memory.requests,
            authentication,
        );
        let report = client_connections::report_request_memory(clients.clone());
        tasks.push(self.runtime.spawn(report));
        tasks.extend(self.start_administration(event_loop).await?);
        self.control.handle_event(self.started_event());
        self.accept_clients(listener, &clients);
        Ok(Servers {
            clients,
            listen_address,
            tasks,
        })
    }

    /// Starts the clients of discovery and the check of idle connections.
    fn spawn_background_tasks(
        &self,
        event_loop: &EventLoop<R>,
        discovery_address: watch::Receiver<SocketAddr>,
        max_list_bytes: usize,
    ) -> Vec<R::Task> {
        let runtime = &self.runtime;
        let watch_host_list = discovery_client::watch_host_list(
            runtime.clone(),
            discovery_address.clone(),
            event_loop.host_list_version(),
            event_loop.membership(),
            self.events_sender.clone(),
            max_list_bytes,
        );
        let send_notifications = discovery_client::send_notifications(
            runtime.clone(),
            discovery_address,
            event_loop.notifications(),
            self.events_sender.clone(),
        );
        let host_connections = event_loop.host_connections();
        let timers = runtime.clone();
        let close_expired = async move {
            loop {
                timers.sleep(IDLE_CONNECTION_CHECK_INTERVAL).await;
                host_connections.close_expired();
            }
        };
        vec![
            runtime.spawn(watch_host_list),
            runtime.spawn(send_notifications),
            runtime.spawn(close_expired),
        ]
    }

    /// Starts the administration API if the operator file enables it.
    async fn start_administration(
        &self,
        event_loop: &EventLoop<R>,
    ) -> Result<Option<R::Task>, RelayError> {
        let operator = OperatorConfig::load(&self.runtime, self.operator_file.as_deref())?;
        let Some(settings) = operator.admin else {
            return Ok(None);
        };
        let tokens = event_loop.admin_tokens();
        let task = admin::start(&self.runtime, &settings, tokens, self.events_sender.clone())
            .await
            .map_err(|error| RelayError::Administration(error.to_string()))?;
        Ok(Some(task))
    }

    fn started_event(&self) -> LifecycleEvent {
        if self.control.state() == LifecycleState::HandingOver {
            LifecycleEvent::Reclaimed
        } else {
            LifecycleEvent::Started
        }
    }

    fn accept_clients(&self, listener: R::Listener, clients: &Rc<ClientConnections<R>>) {
        let port_sharing = match self.inherited_listener {
            Some(_) => PortSharing::Shared,
            None => PortSharing::Exclusive,
        };
        self.runtime.spawn(client_connections::accept_connections(
            listener,
            clients.clone(),
            self.clock.clone(),
            self.events_sender.clone(),
            port_sharing,
        ));
    }

    /// Accepts clients again after a hand-over that failed.
    fn resume_serving(&self, servers: &Servers<R>, error: &io::Error) -> Result<(), RelayError> {
        log!(self.runtime, "upgrade: handover_failed error={error}");
        if !self.control.handle_event(LifecycleEvent::Reclaimed) {
            return Ok(());
        }
        let descriptor = self.inherited_listener.unwrap_or(NO_DESCRIPTOR);
        let listener = self
            .runtime
            .inherited_listener(descriptor)
            .map_err(|source| listen_error(servers.listen_address, source))?;
        self.accept_clients(listener, &servers.clients);
        Ok(())
    }

    /// Answers the requests that arrived while the process was about to exit. Messages that are accepted here are
    /// delivered by the next process.
    async fn answer_last_requests(
        &mut self,
        event_loop: &mut EventLoop<R>,
    ) -> Result<(), RelayError> {
        self.runtime.sleep(FINAL_IO_TIME).await;
        self.handle_waiting_events(event_loop);
        event_loop.run_round()?;
        self.runtime.sleep(FINAL_IO_TIME).await;
        Ok(())
    }

    fn handle_waiting_events(&mut self, event_loop: &mut EventLoop<R>) {
        while let Ok(event) = self.events.try_recv() {
            event_loop.handle_event(event);
        }
    }

    /// Does work that is due, or waits for the next event.
    async fn step(
        &mut self,
        event_loop: &mut EventLoop<R>,
        clients: &ClientConnections<R>,
    ) -> Result<Progress, RelayError> {
        match self.run_due_work(event_loop, clients)? {
            DueWork::Done => {}
            DueWork::Exit => return Ok(Progress::Exit),
            DueWork::NothingBefore(wake_at) => self.wait(event_loop, wake_at).await?,
        }
        Ok(Progress::Continue)
    }

    /// Does work whose time has come, in order of urgency.
    fn run_due_work(
        &self,
        event_loop: &mut EventLoop<R>,
        clients: &ClientConnections<R>,
    ) -> Result<DueWork, RelayError> {
        let now = self.runtime.now();
        let soonest = now + MIN_WAIT;
        let mut wake_at = event_loop.next_round_at();
        if wake_at <= now {
            event_loop.run_round()?;
            return Ok(DueWork::Done);
        }
        if event_loop.run_tenant_maintenance() {
            wake_at = wake_at.min(soonest);
        }
        if let Some(due_at) = event_loop.next_undeliverable_run_at() {
            if due_at <= now && self.control.state() != LifecycleState::Stopping {
                event_loop.run_undeliverable_service();
                return Ok(DueWork::Done);
            }
            wake_at = wake_at.min(due_at.max(soonest));
        }
        if self.should_exit(event_loop, clients) {
            return Ok(DueWork::Exit);
        }
        if let Some(delay) = self.control.publish_stage() {
            wake_at = wake_at.min(now + delay);
        }
        if let Some(due_at) = event_loop.update_host_counts_if_due(now) {
            wake_at = wake_at.min(due_at.max(soonest));
        }
        if let Some(due_at) = event_loop.write_missing_records_if_due(now) {
            wake_at = wake_at.min(due_at.max(soonest));
        }
        if event_loop.awaits_first_poll() {
            wake_at = wake_at.min(now + FIRST_POLL_RECHECK);
        }
        if let Some(deadline) = event_loop.confirmation_deadline() {
            if deadline <= now {
                event_loop.use_unconfirmed_host_list();
                return Ok(DueWork::Done);
            }
            wake_at = wake_at.min(deadline);
        }
        if let Some(due_at) = event_loop.check_state_directory_if_due(now) {
            wake_at = wake_at.min(due_at.max(soonest));
        }
        Ok(DueWork::NothingBefore(wake_at))
    }

    /// Whether the process exits now. Calls for messages in flight may still start until the time by which the last call
    /// must have ended, so that a restart costs these messages no attempt.
    fn should_exit(&self, event_loop: &EventLoop<R>, clients: &ClientConnections<R>) -> bool {
        let is_idle = || event_loop.is_idle() && clients.count() == 0 && self.events.is_empty();
        if clients.is_accepting() {
            self.control.should_exit_listening(is_idle)
        } else {
            self.control.should_exit(is_idle)
        }
    }

    /// Waits for a signal, an event, a change of the lifecycle state, or `wake_at`.
    async fn wait(
        &mut self,
        event_loop: &mut EventLoop<R>,
        wake_at: Instant,
    ) -> Result<(), RelayError> {
        tokio::select! {
            biased;
            signal = self.signals.next() => match signal {
                Signal::Stop => event_loop.begin_shutdown(),
                Signal::Reload => event_loop.reload()?,
            },
            Some(event) = self.events.recv() => {
                event_loop.handle_event(event);
                // Events that are already queued go into the same round. Their number is limited, so that the round is
                // not delayed indefinitely.
                for _ in 0..EVENT_QUEUE_CAPACITY {
                    let Ok(event) = self.events.try_recv() else { break };
                    event_loop.handle_event(event);
                }
            }
            () = self.control.state_changed() => {}
            () = self.runtime.sleep_until(wake_at) => {}
        }
        Ok(())
    }
}

/// Stops all parts except the open calls. The state directory is released last, when no file in it is open and the address
/// of the administration API is free for the next owner.
async fn retire<R: Runtime>(
    event_loop: EventLoop<R>,
    mut departing: DepartingProcess<R>,
    mut servers: Servers<R>,
) -> ServeOutcome<R> {
    servers.tasks.iter().for_each(Task::abort);
    event_loop.retire(&mut departing);
    for task in &mut servers.tasks {
        task.join().await;
    }
    departing.release_directory();
    ServeOutcome::Departing {
        departing,
        clients: servers.clients,
    }
}

fn listen_error(address: SocketAddr, source: io::Error) -> RelayError {
    RelayError::ListenForClients { address, source }
}
