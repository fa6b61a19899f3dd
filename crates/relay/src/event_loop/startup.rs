//! Opens an event loop and restores its state from the state directory.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use membership::{DiscoveryMode, DiscoverySettings, HostMembership};
use policy::types::Settings;
use policy::DeliveryPolicy;
use relay_events::{Clock, RelayEvent};
use runtime::{retry_transient, Runtime};
use tokio::sync::{mpsc, watch};

use super::{EventLoop, PolicyAborted, StartupError};
use crate::cached_state::{self, CachedState};
use crate::call_log::CallLog;
use crate::classes::Classes;
use crate::clock_anchor::{self, AnchorFile};
use crate::completed_names::{CompletedNames, NameLimits};
use crate::config::Config;
use crate::control_socket::{self, Control};
use crate::host_connections::HostConnections;
use crate::host_directory::HostDirectory;
use crate::in_flight::InFlightMessages;
use crate::journal::{Journal, SharedNames};
use crate::memory_budget::{MachineLimits, MemoryBudget, TooLittleMemory};
use crate::operator_config::OperatorConfig;
use crate::state_directory::{DirectoryOwner, HandoverState};
use crate::tenant_service::Tenants;
use crate::undeliverable_service::{self, UndeliverableService};

/// Descriptors that are not connections of clients or hosts: those of discovery, the journal and the async runtime.
const OTHER_SOCKETS: usize = 24;
/// Descriptors of the administration API beside its connections: the listener, the registry's files, the audit log.
const ADMIN_SOCKETS: usize = 8;
/// Number of processes that share the limits in an upgrade.
const PROCESSES_IN_UPGRADE: usize = 2;

/// What an event loop shares with its process.
pub struct LoopResources<'a, R: Runtime> {
    /// Access to the operating system.
    pub runtime: &'a R,
    /// Path of the operator file; `None` if the process was started without one.
    pub operator_file: Option<&'a PathBuf>,
    /// The relay's clock.
    pub clock: &'a Clock<R>,
    /// Lifecycle and metrics of the process.
    pub control: &'a Rc<Control<R>>,
    /// Channel on which the sockets send their events to the loop.
    pub relay_events: &'a mpsc::Sender<RelayEvent>,
    /// Whether another process may run beside this one in an upgrade.
    pub may_overlap: bool,
}

/// An event loop that has restored its state.
pub struct OpenedLoop<R: Runtime> {
    /// The loop, ready to run rounds.
    pub event_loop: EventLoop<R>,
    /// The address of discovery, which a reload may change.
    pub discovery_address: watch::Receiver<SocketAddr>,
    /// Maximum number of concurrent client connections.
    pub max_clients: usize,
    /// The limits of the process's memory.
    pub memory: MemoryBudget,
}

/// How the sockets of the settings are divided.
struct SocketBudget {
    /// Maximum number of client connections.
    max_clients: usize,
    /// Maximum number of idle connections to hosts.
    max_idle: usize,
}

impl SocketBudget {
    /// Allots half of the sockets to clients. In the other half, calls have priority over idle connections.
    fn new(
        config: &Config,
        operator: &OperatorConfig,
        may_overlap: bool,
    ) -> Result<Self, StartupError> {
        let max_calls = config.settings.max_calls;
        let admin = operator
            .admin
            .as_ref()
            .map_or(0, |admin| admin.connections + ADMIN_SOCKETS);
        let control = config.control.map_or(0, |_| control_socket::SOCKETS);
        // In an upgrade the other process has its control socket and its last calls open beside this one's.
        let other_process = if may_overlap {
            control + OTHER_SOCKETS + max_calls
        } else {
            0
        };
        let reserved = OTHER_SOCKETS + admin + control + other_process;
        let sockets = config.limits.sockets.saturating_sub(reserved);
        let max_clients = sockets / 2;
        let host_sockets = sockets - max_clients;
        if max_calls + 1 > host_sockets {
            return Err(StartupError::TooFewSockets {
                sockets,
                slots: max_calls,
            });
        }
        Ok(SocketBudget {
            max_clients,
            max_idle: host_sockets - max_calls,
        })
    }
}

impl<R: Runtime> EventLoop<R> {
    /// Opens the files of the state directory and restores the state from them.
    ///
    /// # Errors
    /// If the configuration, the operator file, the journal or the registry cannot be used, if the sockets do not
    /// suffice, or if the policy aborts.
    pub async fn open(
        resources: LoopResources<'_, R>,
        mut directory_owner: DirectoryOwner<R>,
    ) -> Result<OpenedLoop<R>, StartupError> {
        let runtime = resources.runtime;
        let mut config = Config::load(runtime)?;
        let operator_file = resources.operator_file.map(PathBuf::as_path);
        let operator = OperatorConfig::load(runtime, operator_file)?;
        let handover = directory_owner.read_handover().await;
        let memory = memory_budget(&config, resources.may_overlap)?;
        let disk_limit = memory.state_files;
        let completed_names = completed_names(&config, memory.completed_names);
        let journal = open_journal(&resources, &config, disk_limit, &completed_names).await?;
        config.settings.max_queued_bytes = journal.capacity();
        let budget = SocketBudget::new(&config, &operator, resources.may_overlap)?;
        let (discovery_sender, discovery_address) = watch::channel(config.discovery);
        let tenants = open_tenants(&resources, &config, &operator)?;
        let (scheduler, tenant_events) = tenants.scheduler(&config.settings);
        let membership = open_membership(&resources, &config);
        let admin_tokens = watch::channel(operator.tokens()).0;
        let host_connections =
            open_host_connections(&resources, &config, &membership, budget.max_idle);
        let mut event_loop = EventLoop {
            policy: DeliveryPolicy::with_scheduler(config.settings.clone(), config.seed, scheduler),
            tenants,
            operator_file: resources.operator_file.cloned(),
            admin_tokens,
            clock: resources.clock.clone(),
            clock_anchor: AnchorFile::new(runtime, &config.state),
            journal: Rc::new(RefCell::new(journal)),
            missing_records_due_at: runtime.now(),
            host_connections,
            membership,
            notifications: Rc::default(),
            relay_events: resources.relay_events.clone(),
            pending_events: tenant_events,
            timer: None,
            last_round_at: runtime.now(),
            in_flight: InFlightMessages::new(completed_names),
            open_calls: BTreeMap::new(),
            host_directory: HostDirectory::default(),
            classes: Classes::new(&config.classes, &config.settings.classes),
            cached_state: CachedState::load(runtime, &config.state),
            disk_limit,
            discovery_address: discovery_sender,
            directory_owner,
            control: resources.control.clone(),
            call_log: CallLog::new(runtime.clone(), operator.log_calls),
            undeliverable: open_undeliverable_service(&resources, operator.undeliverable),
            config,
            runtime: runtime.clone(),
        };
        event_loop.start(handover)?;
        Ok(OpenedLoop {
            event_loop,
            discovery_address,
            max_clients: budget.max_clients.min(memory.max_clients),
            memory,
        })
    }

    /// Restores the state. The clock's anchor is written before any time of that clock is stored.
    fn start(&mut self, handover: Option<HandoverState>) -> Result<(), PolicyAborted> {
        self.clock_anchor.ensure_written(&self.runtime, &self.clock);
        self.call_log
            .record_start(self.clock.now(), &self.config.settings);
        self.restore(handover)?;
        clock_anchor::log_difference(&self.runtime, &self.clock);
        Ok(())
    }
}

/// Divides the memory of the settings.
fn memory_budget(config: &Config, may_overlap: bool) -> Result<MemoryBudget, TooLittleMemory> {
    MemoryBudget::new(MachineLimits {
        memory_mb: config.limits.memory_mb,
        disk_mb: config.limits.disk_mb,
        processes: if may_overlap { PROCESSES_IN_UPGRADE } else { 1 },
    })
}

/// Creates the table of the names of ended messages, which are kept until the deadline of any copy has passed.
fn completed_names(config: &Config, limits: NameLimits) -> SharedNames {
    let classes = config.settings.classes.iter();
    let longest_life = classes.map(|class| class.time_to_live).max();
    let names = CompletedNames::new(config.seed, limits, longest_life.unwrap_or_default());
    Rc::new(RefCell::new(names))
}

async fn open_journal<R: Runtime>(
    resources: &LoopResources<'_, R>,
    config: &Config,
    disk_limit: u64,
    completed_names: &SharedNames,
) -> Result<Journal<R>, StartupError> {
    let runtime = resources.runtime;
    let now = resources.clock.now();
    let open = async || {
        let names = completed_names.clone();
        Journal::open(runtime.clone(), &config.state, disk_limit, names, now)
    };
    retry_transient(runtime, open)
        .await
        .map_err(|source| StartupError::Journal {
            folder: config.state.clone(),
            source,
        })
}

fn open_tenants<R: Runtime>(
    resources: &LoopResources<'_, R>,
    config: &Config,
    operator: &OperatorConfig,
) -> Result<Tenants<R>, StartupError> {
    Tenants::open(
        resources.runtime,
        resources.clock,
        operator.tenants.as_ref(),
        &config.tenants,
        &config.classes,
        &config.settings,
    )
    .map_err(StartupError::Tenants)
}

/// Creates the state of the host list. The time since the last contact with discovery decides whether the list counts as
/// confirmed at once.
fn open_membership<R: Runtime>(
    resources: &LoopResources<'_, R>,
    config: &Config,
) -> Rc<RefCell<HostMembership>> {
    let Settings {
        polls_discovery,
        replicas,
        ..
    } = config.settings;
    let settings = DiscoverySettings {
        mode: if polls_discovery {
            DiscoveryMode::Poll
        } else {
            DiscoveryMode::Push
        },
        replicas,
        drain_grace: config.drain_grace,
        seed: config.seed,
    };
    let last_contact =
        cached_state::time_since_contact(resources.runtime, &config.state, resources.clock.now());
    Rc::new(RefCell::new(HostMembership::new(&settings, last_contact)))
}

fn open_host_connections<R: Runtime>(
    resources: &LoopResources<'_, R>,
    config: &Config,
    membership: &Rc<RefCell<HostMembership>>,
    max_idle: usize,
) -> Rc<HostConnections<R>> {
    Rc::new(HostConnections::new(
        resources.runtime.clone(),
        membership.clone(),
        config.dial_timeout,
        config.host_idle_timeout,
        max_idle,
        resources.control.dispatches(),
    ))
}

/// Opens the undeliverable service, if the operator file configures one.
fn open_undeliverable_service<R: Runtime>(
    resources: &LoopResources<'_, R>,
    settings: Option<undeliverable_service::Settings>,
) -> Option<UndeliverableService<R>> {
    settings.map(|settings| {
        let relay_events = resources.relay_events.clone();
        let started_at = resources.clock.now();
        UndeliverableService::new(
            resources.runtime.clone(),
            settings,
            relay_events,
            started_at,
        )
    })
}
