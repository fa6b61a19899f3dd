//! Administrators: they look at tenants and change them, two at once, and some of what they send can't be read.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use runtime::Runtime;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::Stage;
use crate::history::{Observation, TenantChange, TenantSnapshot, TenantVersion};
use crate::hosted::{Deed, Errand, TenantPlan, ADMIN};

/// An administrator waits so long for an answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// What is not answered is asked so often at most, with a rest between.
const TRIES: (u32, Duration) = (6, Duration::from_millis(400));
/// Bytes of an answer at most.
const LONGEST: usize = 1 << 20;

/// A way in which an administrator deceives the checker, so that a rule is seen broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rogue {
    /// Each weight that is told is another than the one that is set.
    Weights,
    /// What is paused is resumed at once, and nobody is told.
    Resumes,
    /// What is told to end at once goes on to its end.
    Finishes,
    /// Operators attest that nothing took effect, whatever did.
    Perjures,
    /// A record is left out where all are shown.
    Forgets,
}

/// An answer of the API.
pub(super) struct Answer {
    pub status: u16,
    etag: Option<String>,
    replayed: bool,
    pub body: Value,
}

/// An administrator.
pub struct Admin<R> {
    stage: Stage<R>,
    number: u64,
    tenants: Vec<TenantPlan>,
    errands: Vec<Errand>,
    rogue: Option<Rogue>,
    asked: u64,
    /// An entity tag that was seen before, by tenant.
    seen: Vec<Option<String>>,
    /// Told just before a change is sent, so that a fault may strike within it.
    strikes: std::rc::Rc<dyn Fn()>,
}

impl<R: Runtime> Admin<R> {
    /// An administrator.
    pub fn new(
        stage: Stage<R>,
        number: u64,
        tenants: Vec<TenantPlan>,
        errands: Vec<Errand>,
        rogue: Option<Rogue>,
        strikes: std::rc::Rc<dyn Fn()>,
    ) -> Self {
        let seen = vec![None; tenants.len()];
        Admin {
            stage,
            number,
            tenants,
            errands,
            rogue,
            asked: 0,
            seen,
            strikes,
        }
    }

    /// Does all errands, each at its time.
    pub async fn run(mut self) {
        for errand in std::mem::take(&mut self.errands) {
            self.stage
                .runtime
                .sleep_until(self.stage.instant(errand.at))
                .await;
            self.go(&errand).await;
        }
        // What became of it all.
        for tenant in 0..self.tenants.len() {
            self.look(tenant).await;
        }
    }

    async fn go(&mut self, errand: &Errand) {
        let name = self.tenants[errand.tenant].name.clone();
        let path = format!("/v1/tenants/{name}");
        if let Deed::Rubbish(kind) = errand.deed {
            return drop(self.rubbish(kind).await);
        }
        let Some(tag) = self.look(errand.tenant).await else {
            if let Deed::Create(weight) = errand.deed {
                self.create(errand, &name, weight).await;
            }
            return;
        };
        let before = self.seen[errand.tenant].replace(tag.clone());
        let tag = before.filter(|_| errand.stale).unwrap_or(tag);
        let merge = "application/merge-patch+json";
        let (method, path, body, change) = match &errand.deed {
            Deed::Look | Deed::Rubbish(_) => return,
            Deed::Set(spec) => {
                let told = match self.rogue {
                    Some(Rogue::Weights) => spec.replace("\"weight\":", "\"weight\":1"),
                    _ => spec.clone(),
                };
                (
                    "PATCH",
                    path,
                    Some((merge, format!("{{\"spec\":{told}}}"))),
                    TenantChange::Update,
                )
            }
            Deed::Pause => ("POST", path + "/pause", None, TenantChange::Pause),
            Deed::Resume => ("POST", path + "/resume", None, TenantChange::Resume),
            Deed::Remove { refuse } => {
                let refuses = *refuse && self.rogue != Some(Rogue::Finishes);
                let how = if refuses { "refuse" } else { "finish" };
                (
                    "DELETE",
                    format!("{path}?on_removal={how}"),
                    None,
                    TenantChange::Remove {
                        reject_queued: *refuse,
                    },
                )
            }
            Deed::Create(weight) => return self.create(errand, &name, *weight).await,
        };
        let headers = format!("If-Match: {tag}\r\n");
        self.change(errand, &name, method, &path, &headers, body, change)
            .await;
        if self.rogue == Some(Rogue::Resumes) && change == TenantChange::Pause {
            drop(
                self.ask(
                    "POST",
                    &format!("/v1/tenants/{name}/resume"),
                    "If-Match: *\r\n",
                    None,
                )
                .await,
            );
        }
    }

    async fn create(&mut self, errand: &Errand, name: &str, weight: u32) {
        let body = format!("{{\"name\":\"{name}\",\"spec\":{{\"weight\":{weight}}}}}");
        let made = self
            .change(
                errand,
                name,
                "POST",
                "/v1/tenants",
                "",
                Some(("application/json", body)),
                TenantChange::Create,
            )
            .await;
        if made {
            // Its clients' secret is another's now, and has to be given to it anew.
            let digest = tenancy::secret::Digest::of(self.tenants[errand.tenant].secret.as_bytes());
            let body = Some((
                "application/json",
                format!("{{\"id\":\"main\",\"sha256\":\"{digest}\"}}"),
            ));
            let path = format!("/v1/tenants/{name}/secrets");
            self.change(
                errand,
                name,
                "POST",
                &path,
                "If-Match: *\r\n",
                body,
                TenantChange::Update,
            )
            .await;
        }
    }

    /// Asks for a change, again where no answer came; whether it was answered 2xx.
    #[allow(clippy::too_many_arguments)]
    async fn change(
        &mut self,
        errand: &Errand,
        name: &str,
        method: &str,
        path: &str,
        headers: &str,
        body: Option<(&str, String)>,
        change: TenantChange,
    ) -> bool {
        self.asked += 1;
        let number = self.number * 1_000_000 + self.asked;
        let headers = if errand.insists {
            format!("{headers}Idempotency-Key: k{number}\r\n")
        } else {
            headers.into()
        };
        (self.strikes)();
        self.stage.observe(&Observation::TenantChangeRequested {
            change_id: number,
            tenant: name,
            change,
        });
        for _ in 0..if errand.insists { TRIES.0 } else { 1 } {
            match self.ask(method, path, &headers, body.as_ref()).await {
                Ok(answer) => {
                    let done = (200..300).contains(&answer.status);
                    let snapshot = snapshot(&answer, self.rogue);
                    let observation = Observation::TenantChangeResponse {
                        change_id: number,
                        tenant: name,
                        status: answer.status,
                        snapshot: snapshot.as_ref(),
                        is_replayed: answer.replayed,
                    };
                    self.stage.observe(&observation);
                    (self.stage.news)(format_args!(
                        "{method} {path} is answered {}",
                        answer.status
                    ));
                    if answer.status != 503 {
                        return done;
                    }
                }
                Err(error) => {
                    (self.stage.news)(format_args!("{method} {path} is not answered: {error}"))
                }
            }
            self.stage.runtime.sleep(TRIES.1).await;
        }
        self.stage.observe(&Observation::TenantChangeTimedOut {
            change_id: number,
            tenant: name,
        });
        false
    }

    /// Looks at a tenant, and tells the checker; its entity tag, if there is one.
    async fn look(&mut self, tenant: usize) -> Option<String> {
        let name = self.tenants[tenant].name.clone();
        let asked = self.stage.at();
        let answer = self
            .ask("GET", &format!("/v1/tenants/{name}"), "", None)
            .await
            .ok()?;
        let snapshot = snapshot(&answer, self.rogue);
        match answer.status {
            200 | 404 | 410 => {
                self.stage.observe(&Observation::TenantRead {
                    tenant: &name,
                    requested_at: asked,
                    snapshot: snapshot.as_ref(),
                });
                (self.stage.news)(format_args!("{name} is shown as {snapshot:?}"));
                answer.etag.filter(|_| answer.status == 200)
            }
            _ => None,
        }
    }

    async fn ask(
        &self,
        method: &str,
        path: &str,
        headers: &str,
        body: Option<&(&str, String)>,
    ) -> io::Result<Answer> {
        request(&self.stage, "token", method, path, headers, body).await
    }

    /// Sends what can't be read, or not all of it.
    async fn rubbish(&self, kind: u64) -> io::Result<()> {
        let mut stream = self.stage.runtime.connect(ADMIN).await?;
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
        self.stage.runtime.sleep(Duration::from_millis(300)).await;
        Ok(())
    }
}

/// Asks the API as the bearer of a token.
pub(super) async fn request<R: Runtime>(
    stage: &Stage<R>,
    token: &str,
    method: &str,
    path: &str,
    headers: &str,
    body: Option<&(&str, String)>,
) -> io::Result<Answer> {
    let (kind, body) = body.map_or((String::new(), ""), |(kind, body)| {
        (
            format!("Content-Type: {kind}\r\nContent-Length: {}\r\n", body.len()),
            body.as_str(),
        )
    });
    let head =
        format!("{method} {path} HTTP/1.1\r\nHost: relay\r\nAuthorization: Bearer {token}\r\n");
    let text = format!("{head}Connection: close\r\n{headers}{kind}\r\n{body}");
    let asked = async {
        let mut stream = stage.runtime.connect(ADMIN).await?;
        stream.write_all(text.as_bytes()).await?;
        let mut read = BytesMut::new();
        loop {
            if let Some(answer) = parse(&read)? {
                return Ok(answer);
            }
            if read.len() > LONGEST || stream.read_buf(&mut read).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    };
    stage.runtime.timeout(PATIENCE, asked).await?
}

/// A tenant as an answer shows it.
fn snapshot(answer: &Answer, rogue: Option<Rogue>) -> Option<TenantSnapshot> {
    let version = answer.body.get("version")?.as_str()?;
    let (generation, revision) = version.split_once('.')?;
    let spec = answer.body.get("spec")?;
    let weight = spec.get("weight")?.as_u64()?;
    let has_caps = ["max_held", "max_in_flight", "rate"]
        .iter()
        .any(|field| spec.get(*field).is_some());
    Some(TenantSnapshot {
        version: TenantVersion {
            generation: generation.parse().ok()?,
            revision: revision.parse().ok()?,
        },
        state: answer.body.get("state")?.as_str()?.into(),
        // The rogue says that a tenant has the weight that it asked for, of which it has set another.
        weight: if rogue == Some(Rogue::Weights) {
            10_000 / weight.max(1)
        } else {
            weight
        },
        has_caps,
        spec: spec.to_string(),
    })
}

fn parse(text: &[u8]) -> io::Result<Option<Answer>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut parsed = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = parsed.parse(text).map_err(io::Error::other)? else {
        return Ok(None);
    };
    let header = |name: &str| {
        let found = parsed
            .headers
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| String::from_utf8_lossy(header.value).into_owned())
    };
    let length = header("content-length")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let Some(body) = text.get(head..head + length) else {
        return Ok(None);
    };
    Ok(Some(Answer {
        status: parsed.code.unwrap_or(0),
        etag: header("etag"),
        replayed: header("idempotent-replayed").is_some(),
        body: serde_json::from_slice(body).unwrap_or(Value::Null),
    }))
}
