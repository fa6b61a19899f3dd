//! The event loop: connects the sockets, the journal and the delivery policy.
//!
//! Events from the sockets are collected and passed to [`DeliveryPolicy`] in rounds; the actions it returns are
//! carried out here. The loop owns the policy, its clock and its timer, and makes no decision about a message.
//! The policy identifies hosts and messages by number only: `host_directory` and `in_flight` map the numbers to the
//! names on the wire.

mod actions;
mod admission;
mod attempt_recorder;
mod attempts;
mod completion;
mod error;
mod handover;
mod host_list;
mod load_report;
mod maintenance;
mod persistence;
mod reload;
mod restore;
mod startup;
mod table_levels;
mod undeliverable_messages;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admin::Tokens;
use control::LifecycleEvent;
use membership::HostMembership;
use policy::types::{Action, Event, Micros};
use policy::DeliveryPolicy;
use relay_events::tenants::{LoginRequest, TenantCall};
use relay_events::{Clock, RelayEvent};
use runtime::{log, Runtime};
use tokio::sync::{mpsc, watch};

use crate::cached_state::CachedState;
use crate::call_log::CallLog;
use crate::classes::Classes;
use crate::clock_anchor::AnchorFile;
use crate::config::Config;
use crate::control_socket::Control;
use crate::discovery_client::Notifications;
use crate::host_connections::HostConnections;
use crate::host_directory::HostDirectory;
use crate::in_flight::InFlightMessages;
use crate::journal::Journal;
use crate::state_directory::{DirectoryOwner, RunningCalls};
use crate::tenant_service::{DiskSpace, Tenants};
use crate::undeliverable_service::UndeliverableService;

pub use error::{PolicyAborted, StartupError};
pub use startup::{LoopResources, OpenedLoop};

/// Retry-After, in milliseconds, for a message that is refused while the relay drains: the client may submit it to
/// another relay at once. Not 0, which would mean that no time is advertised.
pub const RETRY_ELSEWHERE_MS: u64 = 1;

/// Microseconds in a millisecond: the policy counts in the former, the wire in the latter.
const MICROS_PER_MS: Micros = 1000;

/// Minimum time between two rounds, in microseconds. A shorter tick in the settings is raised to it.
const MIN_TICK: Micros = 1000;

/// Delay of the next round while no event and no timer is pending.
const IDLE_ROUND_DELAY: Duration = Duration::from_secs(3600);

/// The policy's timer; there is at most one.
struct Timer {
    /// When it fires, in Unix time.
    at: Micros,
    /// Returned to the policy when the timer fires.
    token: u64,
}

/// Connects the sockets, the journal and the policy; see the module documentation.
pub struct EventLoop<R: Runtime> {
    runtime: R,
    config: Config,
    policy: DeliveryPolicy,
    clock: Clock<R>,
    /// Lets the next process interpret the times that this one stores.
    clock_anchor: AnchorFile,
    /// Shared with the calls, which record their starts.
    journal: Rc<RefCell<Journal<R>>>,
    /// Earliest time of the next try to write the records that the journal lacks.
    missing_records_due_at: Instant,
    tenants: Tenants<R>,
    /// Path of the operator file.
    operator_file: Option<PathBuf>,
    /// Tokens that authenticate requests to the administration API.
    admin_tokens: watch::Sender<Tokens>,
    host_connections: Rc<HostConnections<R>>,
    /// Tracks whether the host list is confirmed, and which hosts may be called.
    membership: Rc<RefCell<HostMembership>>,
    notifications: Rc<Notifications>,
    relay_events: mpsc::Sender<RelayEvent>,
    /// Events for the policy's next round.
    pending_events: Vec<Event>,
    timer: Option<Timer>,
    last_round_at: Instant,
    in_flight: InFlightMessages,
    /// Calls to hosts that have not ended.
    open_calls: RunningCalls,
    host_directory: HostDirectory,
    /// Classes by the policy's numbers.
    classes: Classes,
    /// The host list and the outages as they were last written to disk.
    cached_state: CachedState,
    /// Disk space that the state directory may take, in bytes.
    disk_limit: u64,
    /// Address of discovery. The discovery clients watch it for changes.
    discovery_address: watch::Sender<SocketAddr>,
    directory_owner: DirectoryOwner<R>,
    /// Lifecycle and metrics of the process.
    control: Rc<Control<R>>,
    call_log: CallLog<R>,
    /// Store of undeliverable messages; `None` if the operator file configures none.
    undeliverable: Option<UndeliverableService<R>>,
}

impl<R: Runtime> EventLoop<R> {
    /// When the policy's next round is due.
    pub fn next_round_at(&self) -> Instant {
        let tick = Duration::from_micros(self.config.settings.tick.max(MIN_TICK));
        let earliest = self.last_round_at + tick;
        if !self.pending_events.is_empty() {
            return earliest;
        }
        match &self.timer {
            Some(timer) => self.clock.instant(timer.at).max(earliest),
            None => earliest + IDLE_ROUND_DELAY,
        }
    }

    /// Whether no work is left: no message in flight, no open call, no event for the policy and no notification to
    /// deliver.
    pub fn is_idle(&self) -> bool {
        self.in_flight.len() == 0
            && self.open_calls.is_empty()
            && self.pending_events.is_empty()
            && self.notifications.len() == 0
    }

    /// Address that clients connect to.
    pub fn listen_address(&self) -> SocketAddr {
        self.config.listen
    }

    /// Whether clients have to authenticate.
    pub fn requires_login(&self) -> bool {
        self.tenants.requires_login()
    }

    /// Version of the host list in force.
    pub fn host_list_version(&self) -> u64 {
        self.host_directory.version()
    }

    /// Shared state of the host list.
    pub fn membership(&self) -> Rc<RefCell<HostMembership>> {
        self.membership.clone()
    }

    /// Notifications that wait for the platform.
    pub fn notifications(&self) -> Rc<Notifications> {
        self.notifications.clone()
    }

    /// Connections to hosts.
    pub fn host_connections(&self) -> Rc<HostConnections<R>> {
        self.host_connections.clone()
    }

    /// Tokens of the administration API, which a reload may change.
    pub fn admin_tokens(&self) -> watch::Receiver<Tokens> {
        self.admin_tokens.subscribe()
    }

    /// Starts the graceful shutdown, and passes the policy the time by which the last call has to end.
    pub fn begin_shutdown(&mut self) {
        if !self.control.handle_event(LifecycleEvent::Stop) {
            return;
        }
        if let Some(remaining) = self.control.time_left_for_calls() {
            let at = self.clock.now() + remaining.as_micros() as Micros;
            self.pending_events.push(Event::ShuttingDown { at });
        }
        let messages = self.in_flight.len();
        let open_calls = self.open_calls.len();
        log!(
            self.runtime,
            "relay: shutdown_started messages={messages} open_calls={open_calls}"
        );
    }

    /// Handles an event from a socket. Its effect on messages follows in the next round.
    pub fn handle_event(&mut self, event: RelayEvent) {
        match event {
            RelayEvent::EnqueueRequest(request) => self.enqueue(request),
            RelayEvent::CallAnswered { call, credibility } => {
                self.attempt_answered(call, credibility);
            }
            RelayEvent::ResponseLikely(id) => self.deliver_provisionally(id),
            RelayEvent::SurplusResponses(surplus) => self.surplus_received(&surplus),
            RelayEvent::CallCompleted(call) => {
                self.directory_owner.call_completed(&call);
                self.attempt_ended(call);
            }
            RelayEvent::HostListReceived(list) => self.host_list_received(list),
            RelayEvent::HostListConfirmed => self.discovery_contacted(),
            RelayEvent::NotificationsAccepted(ids) => self.notifications_accepted(ids),
            RelayEvent::Tenants(call) => self.answer_tenant_call(call),
            RelayEvent::Undeliverable(event) => self.handle_undeliverable_event(event),
            RelayEvent::Login(request) => self.answer_login(request),
        }
    }

    /// Runs one round: the policy sees all pending events, and its actions are carried out.
    ///
    /// # Errors
    /// [`PolicyAborted`] if the policy finds its own state inconsistent; the process must end.
    pub fn run_round(&mut self) -> Result<(), PolicyAborted> {
        self.last_round_at = self.runtime.now();
        let now = self.clock.now();
        self.fire_timer(now);
        let actions = self.decide(now);
        self.reject_arriving(&actions);
        self.accept_arriving();
        self.save_cached_state();
        self.carry_out(now, actions)?;
        self.log_table_levels(now);
        Ok(())
    }

    fn fire_timer(&mut self, now: Micros) {
        if let Some(timer) = self.timer.take_if(|timer| timer.at <= now) {
            self.pending_events.push(Event::TimerFired(timer.token));
        }
    }

    /// Passes the pending events to the policy.
    fn decide(&mut self, now: Micros) -> Vec<Action> {
        let mut actions = Vec::new();
        self.call_log
            .record_events(now, &self.pending_events, &self.host_directory);
        let events = std::mem::take(&mut self.pending_events);
        self.policy.handle(now, events, &mut actions);
        self.call_log.record_actions(now, &actions, &self.policy);
        actions
    }

    fn answer_tenant_call(&mut self, call: TenantCall) {
        let scheduler = self.policy.scheduler();
        let disk_space = if self.journal.borrow_mut().ensure_reserve() {
            DiskSpace::Available
        } else {
            DiskSpace::ReserveOnly
        };
        let response = self.tenants.handle_request(
            call.request,
            |tenant| scheduler.usage(tenant),
            &mut self.pending_events,
            disk_space,
        );
        // The caller may have stopped waiting.
        drop(call.reply.send(response));
    }

    fn answer_login(&mut self, request: LoginRequest) {
        let login = self.tenants.login(&request.name, &request.secret);
        drop(request.reply.send(login));
    }
}
