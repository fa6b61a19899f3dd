//! Scenarios in which the relay hosts tenants: the tenants, the administrators' tasks, and floods of messages.
//!
//! They extend a plain scenario with draws from a random sequence of their own, so that the plain scenarios stay the same.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tenancy::registry::{Action, Actor, ChangeRecord, Secret, State, Tenant, Version};
use tenancy::secret::Digest;
use tenancy::spec::TenantSpec;
use tenancy::{registry_file, Registry};

use crate::history::Idempotency;
use crate::peers::clients::{ClientBehavior, PlannedMessage};
use crate::rng::SimulationRng;

/// Address of the administration API.
pub const ADMIN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8700);
/// Directory of the tenant registry.
pub const REGISTRY_DIRECTORY: &str = "/tenants";
/// Path of the relay's operator file.
pub const OPERATOR_FILE: &str = "/operator.toml";
/// Number of tenants.
const TENANTS: u64 = 3;
/// Number of administrators.
const ADMINS: u64 = 2;
/// Earliest start of an administrator's task, in milliseconds.
const FIRST_TASK_AT_MS: u64 = 500;
/// Latest start of an administrator's task, in milliseconds.
const LAST_TASK_AT_MS: u64 = 14_500;

/// A tenant at the start of a scenario.
#[derive(Clone, Debug)]
pub struct TenantPlan {
    /// Its name.
    pub name: String,
    /// Its weight in the sharing of queue and calls.
    pub weight: u32,
    /// The secret with which its clients authenticate.
    pub secret: String,
}

/// A request of an administrator about a tenant.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminAction {
    /// Reads the tenant.
    Read,
    /// Updates parts of the specification, as JSON.
    Update(String),
    /// Pauses the tenant.
    Pause,
    /// Resumes the tenant.
    Resume,
    /// Removes the tenant.
    Remove {
        /// Reject queued messages at once instead of finishing them.
        reject_queued: bool,
    },
    /// Creates the tenant anew, with a weight.
    Create(u32),
    /// Sends a malformed request, of the kind with this number.
    SendMalformed(u64),
}

/// A task of an administrator.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminTask {
    /// When the task starts.
    pub at: Duration,
    /// Number of the tenant.
    pub tenant: usize,
    /// The request.
    pub action: AdminAction,
    /// Whether the request names a version that may be stale.
    pub uses_stale_version: bool,
    /// Whether a request without a response is sent again with the same idempotency key.
    pub is_retried: bool,
}

/// The parameters that a hosted scenario adds to a plain one.
#[derive(Clone, Debug)]
pub struct Hosted {
    /// Whether clients must authenticate.
    pub requires_auth: bool,
    /// The tenants.
    pub tenants: Vec<TenantPlan>,
    /// The tasks of each administrator.
    pub admins: Vec<Vec<AdminTask>>,
}

impl Hosted {
    /// Draws the tenants and the administrators' tasks.
    pub fn draw(rng: &mut SimulationRng) -> Self {
        let tenants: Vec<TenantPlan> = (0..TENANTS)
            .map(|number| TenantPlan {
                name: format!("tenant-{number}"),
                weight: *rng.pick(&[50, 100, 100, 200, 400]),
                secret: format!("secret-{number}"),
            })
            .collect();
        // A third of the scenarios have no changes, so that shares are observed for long.
        let has_changes = !rng.percent(33);
        let admins = (0..ADMINS)
            .map(|_| {
                let task_count = if has_changes { rng.between(3, 14) } else { 0 };
                let mut tasks: Vec<AdminTask> =
                    (0..task_count).flat_map(|_| draw_tasks(rng)).collect();
                tasks.sort_by_key(|task| task.at);
                tasks
            })
            .collect();
        Hosted {
            requires_auth: rng.percent(50),
            tenants,
            admins,
        }
    }

    /// The contents of the operator file.
    #[must_use]
    pub fn operator_file(&self) -> String {
        let digest = Digest::of(b"token");
        format!(
            "[tenants]\nfolder = {REGISTRY_DIRECTORY:?}\nauth = {}\nimport = false\nstore_mb = 1\n\
             [admin]\nlisten = \"{ADMIN_ADDRESS}\"\nrequests_per_second = 1000\n\
             [[admin.tokens]]\nname = \"root\"\nrole = \"admin\"\nsha256 = \"{digest}\"\ntenants = [\"*\"]\n",
            self.requires_auth
        )
    }

    /// The registry file before the relay's first start.
    #[must_use]
    pub fn registry(&self) -> Vec<u8> {
        let tenants = self
            .tenants
            .iter()
            .map(|plan| (plan.name.as_str(), plan.weight, plan.secret.as_str()));
        encode_registry(tenants)
    }

    /// The tenant of a client.
    #[must_use]
    pub fn tenant_of(&self, client: usize) -> &TenantPlan {
        &self.tenants[client % self.tenants.len()]
    }

    /// Assigns each message to its client's tenant, and adds floods of messages of some tenants.
    pub fn add_traffic(
        &self,
        rng: &mut SimulationRng,
        clients: &mut [Vec<PlannedMessage>],
        destinations: &[u16],
    ) {
        for (client, plans) in clients.iter_mut().enumerate() {
            let tenant = &self.tenant_of(client).name;
            plans
                .iter_mut()
                .for_each(|plan| plan.tenant = tenant.clone());
        }
        let mut number = 0;
        for _ in 0..rng.between(1, 3) {
            let tenant = rng.below(TENANTS) as usize;
            let destination = *rng.pick(destinations);
            let (from, message_count) = (rng.between(500, 9_000), rng.between(80, 400));
            let until = from + rng.between(1_000, 5_000);
            let kind = rng.below(3);
            for _ in 0..message_count {
                number += 1;
                let senders: Vec<usize> = (0..clients.len())
                    .filter(|client| client % self.tenants.len() == tenant)
                    .collect();
                let client = *rng.pick(&senders);
                let (class, idempotency, time_to_live_ms) = match kind {
                    0 => ("payout", Idempotency::NonIdempotent, 10_000),
                    _ => ("update", Idempotency::Idempotent, 6_000),
                };
                clients[client].push(PlannedMessage {
                    at: Duration::from_millis(rng.between(from, until)),
                    name: format!("f{number:04}"),
                    tenant: self.tenants[tenant].name.clone(),
                    class,
                    idempotency,
                    ordering_key: 0,
                    is_ordered: false,
                    non_idempotent_from: None,
                    destination,
                    time_to_live_ms,
                    body_bytes: rng.below(300) as usize,
                    behavior: ClientBehavior::Regular,
                });
            }
        }
        if self.requires_auth {
            // Some clients submit messages for another tenant.
            for plan in clients
                .iter_mut()
                .flatten()
                .filter(|plan| plan.behavior == ClientBehavior::Regular)
            {
                if rng.percent(2) {
                    plan.behavior = ClientBehavior::Impersonates;
                }
            }
        }
    }
}

/// Encodes a registry file with these tenants: name, weight and secret of each.
pub fn encode_registry<'a>(tenants: impl Iterator<Item = (&'a str, u32, &'a str)>) -> Vec<u8> {
    let mut registry = Registry::new(Vec::new());
    for (seq, (name, weight, secret)) in (1..).zip(tenants) {
        let secret = Secret {
            id: "main".into(),
            sha256: Digest::of(secret.as_bytes()),
            created_at_ms: 0,
        };
        let to = Tenant {
            name: name.into(),
            version: Version {
                generation: 1,
                revision: 1,
            },
            state: State::Active,
            spec: TenantSpec {
                weight,
                ..TenantSpec::default()
            },
            secrets: vec![secret],
            created_at_ms: 0,
            changed_at_ms: 0,
        };
        registry.commit(&ChangeRecord {
            seq,
            at_ms: 0,
            actor: Actor {
                name: "world".into(),
                role: "relay".into(),
            },
            request: String::new(),
            key: None,
            action: Action::Created,
            from: None,
            to: Some(to),
        });
    }
    registry_file::encode_snapshot(&registry, 0)
}

/// Draws a task, or a pair of them: a paused or removed tenant is resumed or created again later, so that traffic goes on.
fn draw_tasks(rng: &mut SimulationRng) -> Vec<AdminTask> {
    let at = rng.between(FIRST_TASK_AT_MS, LAST_TASK_AT_MS);
    let tenant = rng.below(TENANTS) as usize;
    let (uses_stale_version, is_retried) = (rng.percent(15), rng.percent(50));
    let task = |at: u64, action| AdminTask {
        at: Duration::from_millis(at),
        tenant,
        action,
        uses_stale_version,
        is_retried,
    };
    let later = |rng: &mut SimulationRng| at + rng.between(50, 3_000);
    match rng.below(20) {
        0..=3 => vec![task(at, AdminAction::Read)],
        4..=7 => {
            let weight = *rng.pick(&[30, 100, 300, 1000]);
            vec![task(
                at,
                AdminAction::Update(format!("{{\"weight\":{weight}}}")),
            )]
        }
        8 => {
            let set = *rng.pick(&[
                "\"max_held\":8",
                "\"max_in_flight\":1",
                "\"rate\":{\"per_second\":6,\"burst\":3}",
            ]);
            let clear = "{\"max_held\":null,\"max_in_flight\":null,\"rate\":null}";
            vec![
                task(at, AdminAction::Update(format!("{{{set}}}"))),
                task(later(rng), AdminAction::Update(clear.into())),
            ]
        }
        9..=12 => vec![
            task(at, AdminAction::Pause),
            task(later(rng), AdminAction::Resume),
        ],
        13..=17 => {
            let reject_queued = rng.percent(50);
            vec![
                task(at, AdminAction::Remove { reject_queued }),
                task(later(rng), AdminAction::Create(*rng.pick(&[50, 100, 200]))),
            ]
        }
        _ => vec![task(at, AdminAction::SendMalformed(rng.below(4)))],
    }
}
