//! Days on which the relay hosts tenants: who they are, what administrators do to them, and who floods.
//!
//! Drawn on top of a plain day from numbers of their own, so that the plain days stay as they are.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tenancy::registry::{Action, Actor, ChangeRecord, Secret, State, Tenant, Version};
use tenancy::secret::Digest;
use tenancy::spec::TenantSpec;
use tenancy::{registry_file, Registry};

use crate::history::Idempotency;
use crate::peers::clients::{ClientBehavior, PlannedMessage};
use crate::rng::SimulationRng;

/// Where the administration API listens.
pub const ADMIN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8700);
/// The folder of the registry.
pub const FOLDER: &str = "/tenants";
/// Where the relay finds its operator file.
pub const OPERATOR: &str = "/operator.toml";
/// Tenants of a day.
const TENANTS: u64 = 3;
/// Administrators of a day.
const ADMINS: u64 = 2;
/// When their first task may begin, in milliseconds.
const FIRST_TASK_AT_MS: u64 = 500;
/// When their last task may begin, in milliseconds.
const LAST_TASK_AT_MS: u64 = 14_500;

/// A tenant at the beginning of a day.
#[derive(Clone, Debug)]
pub struct TenantPlan {
    /// Its name.
    pub name: String,
    /// Its weight.
    pub weight: u32,
    /// What its clients name themselves with.
    pub secret: String,
}

/// What an administrator does.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminAction {
    /// Reads it.
    Read,
    /// Updates parts of the specification, as JSON.
    Update(String),
    /// Pauses.
    Pause,
    /// Resumes.
    Resume,
    /// Removes it.
    Remove {
        /// Reject its queued messages at once instead of finishing them.
        reject_queued: bool,
    },
    /// Creates it anew, with a weight.
    Create(u32),
    /// Sends something malformed, of a kind.
    SendMalformed(u64),
}

/// Something that an administrator is to do.
#[derive(Clone, Debug, PartialEq)]
pub struct AdminTask {
    /// When.
    pub at: Duration,
    /// Number of the tenant.
    pub tenant: usize,
    /// What.
    pub action: AdminAction,
    /// The version that it names is past, or may be.
    pub uses_stale_version: bool,
    /// It is sent again with the same idempotency key where no response came.
    pub insists: bool,
}

/// What a hosted day has beside a plain one.
#[derive(Clone, Debug)]
pub struct Hosted {
    /// Clients have to name themselves.
    pub auth: bool,
    /// The tenants.
    pub tenants: Vec<TenantPlan>,
    /// What administrators do, each by itself.
    pub admins: Vec<Vec<AdminTask>>,
}

impl Hosted {
    /// The tenants and administrators of a seed.
    pub fn draw(rng: &mut SimulationRng) -> Self {
        let tenants: Vec<TenantPlan> = (0..TENANTS)
            .map(|number| TenantPlan {
                name: format!("tenant-{number}"),
                weight: *rng.pick(&[50, 100, 100, 200, 400]),
                secret: format!("secret-{number}"),
            })
            .collect();
        // On every third day nobody changes anything, so that shares are seen for long.
        let busy = !rng.percent(33);
        let admins = (0..ADMINS)
            .map(|_| {
                let many = if busy { rng.between(3, 14) } else { 0 };
                let mut tasks: Vec<AdminTask> = (0..many).flat_map(|_| draw_tasks(rng)).collect();
                tasks.sort_by_key(|task| task.at);
                tasks
            })
            .collect();
        Hosted {
            auth: rng.percent(50),
            tenants,
            admins,
        }
    }

    /// The operator file.
    #[must_use]
    pub fn operator(&self) -> String {
        let digest = Digest::of(b"token");
        format!(
            "[tenants]\nfolder = {FOLDER:?}\nauth = {}\nimport = false\nstore_mb = 1\n\
             [admin]\nlisten = \"{ADMIN}\"\nrequests_per_second = 1000\n\
             [[admin.tokens]]\nname = \"root\"\nrole = \"admin\"\nsha256 = \"{digest}\"\ntenants = [\"*\"]\n",
            self.auth
        )
    }

    /// The registry as it is before the relay's first start.
    #[must_use]
    pub fn registry(&self) -> Vec<u8> {
        let tenants = self
            .tenants
            .iter()
            .map(|plan| (plan.name.as_str(), plan.weight, plan.secret.as_str()));
        registry(tenants)
    }

    /// The tenant that a client speaks for.
    #[must_use]
    pub fn tenant_of(&self, client: usize) -> &TenantPlan {
        &self.tenants[client % self.tenants.len()]
    }

    /// Gives each message to its client's tenant, and adds those of the tenants that flood.
    pub fn fill(
        &self,
        rng: &mut SimulationRng,
        clients: &mut [Vec<PlannedMessage>],
        blocks: &[u16],
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
            let block = *rng.pick(blocks);
            let (from, many) = (rng.between(500, 9_000), rng.between(80, 400));
            let until = from + rng.between(1_000, 5_000);
            let kind = rng.below(3);
            for _ in 0..many {
                number += 1;
                let senders: Vec<usize> = (0..clients.len())
                    .filter(|c| c % self.tenants.len() == tenant)
                    .collect();
                let client = *rng.pick(&senders);
                let (class, idempotency, left) = match kind {
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
                    destination: block,
                    time_to_live_ms: left,
                    body_bytes: rng.below(300) as usize,
                    behavior: ClientBehavior::Regular,
                });
            }
        }
        if self.auth {
            // Some ask for another's tenant.
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

/// The text of a registry with these tenants: name, weight and secret of each.
pub fn registry<'a>(tenants: impl Iterator<Item = (&'a str, u32, &'a str)>) -> Vec<u8> {
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

/// A task, or two that belong together: what is paused or removed comes back, so that the day goes on.
fn draw_tasks(rng: &mut SimulationRng) -> Vec<AdminTask> {
    let at = rng.between(FIRST_TASK_AT_MS, LAST_TASK_AT_MS);
    let tenant = rng.below(TENANTS) as usize;
    let (uses_stale_version, insists) = (rng.percent(15), rng.percent(50));
    let one = |at: u64, action| AdminTask {
        at: Duration::from_millis(at),
        tenant,
        action,
        uses_stale_version,
        insists,
    };
    let later = |rng: &mut SimulationRng| at + rng.between(50, 3_000);
    match rng.below(20) {
        0..=3 => vec![one(at, AdminAction::Read)],
        4..=7 => {
            let weight = *rng.pick(&[30, 100, 300, 1000]);
            vec![one(
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
                one(at, AdminAction::Update(format!("{{{set}}}"))),
                one(later(rng), AdminAction::Update(clear.into())),
            ]
        }
        9..=12 => vec![
            one(at, AdminAction::Pause),
            one(later(rng), AdminAction::Resume),
        ],
        13..=17 => {
            let reject_queued = rng.percent(50);
            vec![
                one(at, AdminAction::Remove { reject_queued }),
                one(later(rng), AdminAction::Create(*rng.pick(&[50, 100, 200]))),
            ]
        }
        _ => vec![one(at, AdminAction::SendMalformed(rng.below(4)))],
    }
}
