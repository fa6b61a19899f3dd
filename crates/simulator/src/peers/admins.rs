//! Administrators, who read and change tenants, two of them concurrently, and send some malformed requests.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use runtime::Runtime;
use tokio::io::AsyncWriteExt;

use super::admin_api::{ApiRequest, ApiResponse, Body};
use super::PeerContext;
use crate::history::{Observation, TenantChange, TenantSnapshot, TenantVersion};
use crate::hosted::{AdminAction, AdminTask, TenantPlan, ADMIN_ADDRESS};

/// Maximum number of attempts of a request that is repeated until it has a response.
const MAX_ATTEMPTS: u32 = 6;
/// Pause between these attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which the connection of a malformed request stays open.
const MALFORMED_REQUEST_TIME: Duration = Duration::from_millis(300);
/// Status of a relay that could not save a change; the change may be requested again.
const SERVICE_UNAVAILABLE: u16 = 503;
const JSON: &str = "application/json";
const MERGE_PATCH: &str = "application/merge-patch+json";

/// Misbehaviour of an administrator or operator that must make the checker report a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MisbehavingAdmin {
    /// Reports different weights from those that it sets.
    ReportsOtherWeights,
    /// Resumes each tenant directly after pausing it, without reporting the resumption.
    ResumesSecretly,
    /// Removes tenants with their queued messages finished, but reports them as rejected.
    FinishesSecretly,
    /// Attests that messages did not take effect, even if they did.
    AttestsFalsely,
    /// Omits one record when reporting all records.
    OmitsRecord,
}

/// The request for a change of a tenant.
struct ChangeRequest {
    method: &'static str,
    path: String,
    headers: String,
    body: Option<Body>,
    /// The change that is reported to the checker.
    change: TenantChange,
}

/// An administrator.
pub struct Admin<R> {
    context: PeerContext<R>,
    number: u64,
    tenants: Vec<TenantPlan>,
    tasks: Vec<AdminTask>,
    misbehavior: Option<MisbehavingAdmin>,
    /// Number of changes requested so far.
    changes: u64,
    /// The entity tag that was last read, by tenant.
    last_tags: Vec<Option<String>>,
    /// Called just before a change is sent, so that a fault can be injected during it.
    before_change: Rc<dyn Fn()>,
}

impl<R: Runtime> Admin<R> {
    /// Creates an administrator. `number` is part of its idempotency keys.
    pub fn new(
        context: PeerContext<R>,
        number: u64,
        tenants: Vec<TenantPlan>,
        tasks: Vec<AdminTask>,
        misbehavior: Option<MisbehavingAdmin>,
        before_change: Rc<dyn Fn()>,
    ) -> Self {
        let last_tags = vec![None; tenants.len()];
        Admin {
            context,
            number,
            tenants,
            tasks,
            misbehavior,
            changes: 0,
            last_tags,
            before_change,
        }
    }

    /// Performs all tasks, each at its time, then reads all tenants.
    pub async fn run(mut self) {
        for task in std::mem::take(&mut self.tasks) {
            self.context
                .runtime
                .sleep_until(self.context.instant(task.at))
                .await;
            self.perform(&task).await;
        }
        // Reports the final state of all tenants to the checker.
        for tenant in 0..self.tenants.len() {
            self.read(tenant).await;
        }
    }

    async fn perform(&mut self, task: &AdminTask) {
        if let AdminAction::SendMalformed(kind) = task.action {
            return drop(self.send_malformed(kind).await);
        }
        let Some(tag) = self.read(task.tenant).await else {
            if let AdminAction::Create(weight) = task.action {
                self.create(task, weight).await;
            }
            return;
        };
        let earlier = self.last_tags[task.tenant].replace(tag.clone());
        let tag = earlier.filter(|_| task.uses_stale_version).unwrap_or(tag);
        if let AdminAction::Create(weight) = task.action {
            self.create(task, weight).await;
            return;
        }
        let Some(request) = self.change_request(task, &tag) else {
            return;
        };
        let change = request.change;
        self.change(task, &request).await;
        if self.misbehavior == Some(MisbehavingAdmin::ResumesSecretly)
            && change == TenantChange::Pause
        {
            let path = format!("/v1/tenants/{}/resume", self.tenants[task.tenant].name);
            drop(self.send("POST", &path, "If-Match: *\r\n", None).await);
        }
    }

    /// Returns the request for a change of an existing tenant, conditional on the entity tag `tag`; none if the task
    /// changes no existing tenant.
    fn change_request(&self, task: &AdminTask, tag: &str) -> Option<ChangeRequest> {
        let path = format!("/v1/tenants/{}", self.tenants[task.tenant].name);
        let (method, path, body, change) = match &task.action {
            AdminAction::Read | AdminAction::SendMalformed(_) | AdminAction::Create(_) => {
                return None;
            }
            AdminAction::Update(spec) => {
                let spec = match self.misbehavior {
                    Some(MisbehavingAdmin::ReportsOtherWeights) => {
                        spec.replace("\"weight\":", "\"weight\":1")
                    }
                    _ => spec.clone(),
                };
                let body = Body {
                    content_type: MERGE_PATCH,
                    text: format!("{{\"spec\":{spec}}}"),
                };
                ("PATCH", path, Some(body), TenantChange::Update)
            }
            AdminAction::Pause => ("POST", path + "/pause", None, TenantChange::Pause),
            AdminAction::Resume => ("POST", path + "/resume", None, TenantChange::Resume),
            AdminAction::Remove { reject_queued } => {
                let rejects =
                    *reject_queued && self.misbehavior != Some(MisbehavingAdmin::FinishesSecretly);
                let on_removal = if rejects { "refuse" } else { "finish" };
                let change = TenantChange::Remove {
                    reject_queued: *reject_queued,
                };
                (
                    "DELETE",
                    format!("{path}?on_removal={on_removal}"),
                    None,
                    change,
                )
            }
        };
        Some(ChangeRequest {
            method,
            path,
            headers: format!("If-Match: {tag}\r\n"),
            body,
            change,
        })
    }

    async fn create(&mut self, task: &AdminTask, weight: u32) {
        let tenant = &self.tenants[task.tenant];
        let name = tenant.name.clone();
        // The new generation of the tenant does not have the clients' secret; add it.
        let digest = tenancy::secret::Digest::of(tenant.secret.as_bytes());
        let create = ChangeRequest {
            method: "POST",
            path: "/v1/tenants".into(),
            headers: String::new(),
            body: Some(Body {
                content_type: JSON,
                text: format!("{{\"name\":\"{name}\",\"spec\":{{\"weight\":{weight}}}}}"),
            }),
            change: TenantChange::Create,
        };
        let add_secret = ChangeRequest {
            method: "POST",
            path: format!("/v1/tenants/{name}/secrets"),
            headers: "If-Match: *\r\n".into(),
            body: Some(Body {
                content_type: JSON,
                text: format!("{{\"id\":\"main\",\"sha256\":\"{digest}\"}}"),
            }),
            change: TenantChange::Update,
        };
        if self.change(task, &create).await {
            self.change(task, &add_secret).await;
        }
    }

    /// Requests a change and returns whether it succeeded. If `is_retried` is set for the task, repeats the request until it has a
    /// response other than 503.
    async fn change(&mut self, task: &AdminTask, request: &ChangeRequest) -> bool {
        let name = self.tenants[task.tenant].name.clone();
        let ChangeRequest {
            method,
            path,
            headers,
            body,
            change,
        } = request;
        self.changes += 1;
        let change_id = self.number * 1_000_000 + self.changes;
        let headers = if task.is_retried {
            format!("{headers}Idempotency-Key: k{change_id}\r\n")
        } else {
            headers.clone()
        };
        (self.before_change)();
        self.context.observe(&Observation::TenantChangeRequested {
            change_id,
            tenant: &name,
            change: *change,
        });
        for _ in 0..if task.is_retried { MAX_ATTEMPTS } else { 1 } {
            match self.send(method, path, &headers, body.as_ref()).await {
                Ok(response) => {
                    let status = response.status;
                    self.context.observe(&Observation::TenantChangeResponse {
                        change_id,
                        tenant: &name,
                        status,
                        snapshot: snapshot(&response, self.misbehavior).as_ref(),
                        is_replayed: response.is_replayed,
                    });
                    (self.context.trace)(format_args!("{method} {path} is answered {status}"));
                    if status != SERVICE_UNAVAILABLE {
                        return (200..300).contains(&status);
                    }
                }
                Err(error) => {
                    (self.context.trace)(format_args!("{method} {path} is not answered: {error}"));
                }
            }
            self.context.runtime.sleep(RETRY_INTERVAL).await;
        }
        self.context.observe(&Observation::TenantChangeTimedOut {
            change_id,
            tenant: &name,
        });
        false
    }

    /// Reads a tenant, reports it, and returns its entity tag if the tenant exists.
    async fn read(&mut self, tenant: usize) -> Option<String> {
        let name = self.tenants[tenant].name.clone();
        let requested_at = self.context.elapsed();
        let path = format!("/v1/tenants/{name}");
        let response = self.send("GET", &path, "", None).await.ok()?;
        let snapshot = snapshot(&response, self.misbehavior);
        match response.status {
            200 | 404 | 410 => {
                self.context.observe(&Observation::TenantRead {
                    tenant: &name,
                    requested_at,
                    snapshot: snapshot.as_ref(),
                });
                (self.context.trace)(format_args!("{name} is shown as {snapshot:?}"));
                response.etag.filter(|_| response.status == 200)
            }
            _ => None,
        }
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &str,
        body: Option<&Body>,
    ) -> io::Result<ApiResponse> {
        let request = ApiRequest {
            token: "token",
            method,
            path,
            headers,
            body,
        };
        request.send(&self.context).await
    }

    /// Sends a malformed or incomplete request.
    async fn send_malformed(&self, kind: u64) -> io::Result<()> {
        let mut stream = self.context.runtime.connect(ADMIN_ADDRESS).await?;
        let text: &[u8] = match kind {
            0 => b"\x16\x03\x01\x02\x00 no request at all\r\n\r\n",
            1 => b"POST /v1/tenants HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000000\r\n\r\n{",
            2 => b"GET /v1/tenants HTTP/1.1\r\nX-Half: a head",
            _ => {
                b"PATCH /v1/tenants/tenant-0 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer token\r\n\
                Content-Type: application/json\r\nIf-Match: *\r\nContent-Length: 4\r\n\r\n[[[["
            }
        };
        stream.write_all(text).await?;
        self.context.runtime.sleep(MALFORMED_REQUEST_TIME).await;
        Ok(())
    }
}

/// Parses the tenant in a response, altered if the administrator reports other weights.
fn snapshot(
    response: &ApiResponse,
    misbehavior: Option<MisbehavingAdmin>,
) -> Option<TenantSnapshot> {
    let version = response.body.get("version")?.as_str()?;
    let (generation, revision) = version.split_once('.')?;
    let spec = response.body.get("spec")?;
    let weight = spec.get("weight")?.as_u64()?;
    let has_caps = ["max_held", "max_in_flight", "rate"]
        .iter()
        .any(|field| spec.get(*field).is_some());
    Some(TenantSnapshot {
        version: TenantVersion {
            generation: generation.parse().ok()?,
            revision: revision.parse().ok()?,
        },
        state: response.body.get("state")?.as_str()?.into(),
        weight: match misbehavior {
            Some(MisbehavingAdmin::ReportsOtherWeights) => 10_000 / weight.max(1),
            _ => weight,
        },
        has_caps,
        spec: spec.to_string(),
    })
}
