//! Undeliverable messages: looked through, claimed, spoken of and sent again, one by one or in batches.
//!
//! Nothing is decided here: what may be sent again is the desk's to say. A token sees the records of its tenants alone.

use axum::extract::{Path, State};
use axum::http::header::{CONTENT_TYPE, ETAG, LOCATION};
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Json;
use relay_events::undeliverable::{
    RecordAction, RecordView, StoreReport, UndeliverableRequest, UndeliverableResponse,
};
use serde::{Deserialize, Serialize};
use tenancy::audit::rfc3339;
use tenancy::Scope;
use undeliverable::batch::{self, Batch, BatchCommand, BatchSpec};
use undeliverable::record::{self, Attestation, Attester, ExecutionClaim, Idempotency};
use undeliverable::store::GroupBy as Group;
use undeliverable::{Attempt, Filter, Micros, Reason, Record, RecordId};
use utoipa::{IntoParams, ToSchema};
use utoipa_axum::router::OpenApiRouter;
use utoipa_axum::routes;

use crate::api::{cursor, page, query, to_cursor, unexpected, Answer, Api, Queried, JSON};
use crate::auth::Caller;
use crate::problem::{Problem, ProblemBody};
use crate::request::Asked;
use crate::settings::Role;

/// Batches' defaults: records a second, at once, and failures that stop one.
const PACE: (f64, u32, u32) = (1.0, 1, 5);

fn at(moment: Micros) -> String {
    rfc3339(moment / 1000)
}

fn moment(name: &str, text: Option<&String>) -> Result<Option<Micros>, Problem> {
    let Some(text) = text else { return Ok(None) };
    let bad = || Problem::malformed(format!("{name} is no time such as 2026-12-01T08:00:00Z"));
    let time = humantime::parse_rfc3339(text).map_err(|_| bad())?;
    let since = time
        .duration_since(std::time::UNIX_EPOCH)
        .map_err(|_| bad())?;
    Ok(Some(since.as_micros() as Micros))
}

/// What went wrong with a record.
fn refused(refusal: record::RecordError) -> Problem {
    use record::RecordError;
    let detail = refusal.to_string();
    let problem = |status, kind| Problem::new(status, kind, detail.clone());
    match refusal {
        RecordError::NoRecord => problem(StatusCode::NOT_FOUND, "no-such-record"),
        RecordError::Version(current) => Problem::stale(current.to_string(), detail),
        RecordError::Claimed(_) => problem(StatusCode::LOCKED, "record-claimed"),
        RecordError::Sending => problem(StatusCode::CONFLICT, "record-sending"),
        RecordError::Closed(_) => problem(StatusCode::CONFLICT, "record-closed"),
        RecordError::ResendBlocked(need) => problem(StatusCode::CONFLICT, need.as_str()),
        RecordError::Settling => problem(StatusCode::TOO_MANY_REQUESTS, "record-resting"),
        RecordError::NotAccepted => problem(StatusCode::CONFLICT, "not-handed-over"),
        RecordError::Malformed(_) => problem(StatusCode::UNPROCESSABLE_ENTITY, "invalid-value"),
    }
}

fn batch_refused(refusal: batch::BatchError) -> Problem {
    use batch::BatchError;
    let detail = refusal.to_string();
    let problem = |status, kind| Problem::new(status, kind, detail.clone());
    match refusal {
        BatchError::Exists => problem(StatusCode::CONFLICT, "batch-exists"),
        BatchError::None => problem(StatusCode::NOT_FOUND, "no-such-batch"),
        BatchError::TooMany => problem(StatusCode::CONFLICT, "too-many"),
        BatchError::Version(current) => Problem::stale(current.to_string(), detail),
        BatchError::Over(_) => problem(StatusCode::CONFLICT, "batch-over"),
        BatchError::Malformed(_) => problem(StatusCode::UNPROCESSABLE_ENTITY, "invalid-value"),
    }
}

impl Api {
    async fn told(&self, ask: UndeliverableRequest) -> Result<UndeliverableResponse, Problem> {
        match self.ask_undeliverable(ask).await? {
            UndeliverableResponse::Refused(refusal) => Err(refused(refusal)),
            UndeliverableResponse::BatchRefused(refusal) => Err(batch_refused(refusal)),
            UndeliverableResponse::Unavailable(why) => Err(Problem::unavailable(why)),
            UndeliverableResponse::Busy(_) => Err(Problem::new(
                StatusCode::TOO_MANY_REQUESTS,
                "too-much-under-way",
                "as much is sent again as may be beside live messages; nothing was done",
            )),
            told => Ok(told),
        }
    }

    /// A record that the caller may see: one outside the token's scope is as if it were not there.
    async fn seen(&self, caller: &Caller, id: RecordId) -> Result<RecordView, Problem> {
        let UndeliverableResponse::Found(shown) = self.told(UndeliverableRequest::Find(id)).await?
        else {
            return Err(unexpected());
        };
        if caller.scope.covers(shown.record.origin.tenant_name()) {
            Ok(*shown)
        } else {
            Err(refused(record::RecordError::NoRecord))
        }
    }

    async fn act(
        &self,
        asked: &Asked,
        id: RecordId,
        act: RecordAction,
        done: StatusCode,
    ) -> Answer {
        asked.caller.may(Role::Operator)?;
        let version = asked.expect_number()?;
        self.seen(&asked.caller, id).await?;
        let ask = UndeliverableRequest::RecordAction {
            id,
            action: act,
            who: asked.caller.name.clone(),
            version,
        };
        let UndeliverableResponse::Found(shown) = self.told(ask).await? else {
            return Err(unexpected());
        };
        Ok(one(*shown, done))
    }

    async fn batches(&self, caller: &Caller) -> Result<Vec<Batch>, Problem> {
        let UndeliverableResponse::Batches(mut batches) =
            self.told(UndeliverableRequest::Batches).await?
        else {
            return Err(unexpected());
        };
        batches.retain(|batch| theirs(caller, batch));
        Ok(batches)
    }

    async fn order(&self, asked: &Asked, name: String, order: BatchCommand) -> Answer {
        asked.caller.may(Role::Operator)?;
        let version = asked.expect_number()?;
        if !self
            .batches(&asked.caller)
            .await?
            .iter()
            .any(|batch| batch.spec.name == name)
        {
            return Err(batch_refused(batch::BatchError::None));
        }
        let UndeliverableResponse::Batch(batch) = self
            .told(UndeliverableRequest::BatchCommand {
                name,
                command: order,
                version,
            })
            .await?
        else {
            return Err(unexpected());
        };
        Ok(one_batch(*batch, StatusCode::OK))
    }
}

/// What of records the caller may see; none for all of them.
fn scope(caller: &Caller) -> Option<Scope> {
    (!caller.scope.covers_all()).then(|| caller.scope.clone())
}

/// Whether a batch is of the caller's tenants alone.
fn theirs(caller: &Caller, batch: &Batch) -> bool {
    caller.scope.covers_all() || batch.spec.filter.scope.as_ref() == Some(&caller.scope)
}

fn tagged(version: u32, mut response: Response) -> Response {
    let tag = HeaderValue::from_str(&format!("\"{version}\""))
        .unwrap_or(HeaderValue::from_static("\"\""));
    response.headers_mut().insert(ETAG, tag);
    response
}

fn one(shown: RecordView, status: StatusCode) -> Response {
    let version = shown.record.version;
    tagged(
        version,
        (
            status,
            Json(UndeliverableRecord::new(
                shown.id,
                &shown.record,
                Some(shown.blocked),
            )),
        )
            .into_response(),
    )
}

fn one_batch(batch: Batch, status: StatusCode) -> Response {
    let version = batch.version;
    tagged(
        version,
        (status, Json(ResendBatch::from(batch))).into_response(),
    )
}

/// An attempt on a message.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableAttempt {
    /// When it was sent.
    #[schema(format = DateTime)]
    pub at: String,
    /// The host; null where it is not known.
    pub host: Option<String>,
    /// How it ended.
    #[schema(value_type = String, example = "timed-out")]
    pub outcome: undeliverable::Outcome,
    /// False once it is known not to have run.
    pub may_have_run: bool,
    /// 0 for those before the message was given up, else the number of the resend.
    pub resend: u32,
}

impl From<&Attempt> for UndeliverableAttempt {
    fn from(attempt: &Attempt) -> Self {
        UndeliverableAttempt {
            at: at(attempt.sent),
            host: (!attempt.host.is_empty()).then(|| attempt.host.clone()),
            outcome: attempt.outcome,
            may_have_run: attempt.may_have_run,
            resend: attempt.resend,
        }
    }
}

/// What was said of whether a message took effect.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableStatement {
    /// The operator's name; null for the partner.
    pub operator: Option<String>,
    /// What.
    #[schema(value_type = String, example = "not-applied")]
    pub says: ExecutionClaim,
    /// When: what happened after is not covered.
    #[schema(format = DateTime)]
    pub at: String,
    /// Resends that there had been by then.
    pub resends: u32,
}

impl From<&Attestation> for UndeliverableStatement {
    fn from(statement: &Attestation) -> Self {
        let operator = match &statement.attester {
            Attester::Operator(name) => Some(name.clone()),
            Attester::Partner => None,
        };
        UndeliverableStatement {
            operator,
            says: statement.claim,
            at: at(statement.at),
            resends: statement.resends,
        }
    }
}

/// A message that was given up, with its story.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableRecord {
    /// Its number in the store.
    pub id: u64,
    /// Grows with every change; the ETag is this in quotes.
    pub version: u32,
    /// Where it stands: open, claimed, sending, delivered, applied-before or discarded.
    pub state: &'static str,
    /// Who has claimed it or sends it; null for nobody.
    pub holder: Option<String>,
    /// Until when it is claimed, since when it is sent or closed; null for open ones.
    #[schema(format = DateTime)]
    pub state_at: Option<String>,
    /// The message's name as it was handed in.
    pub message: String,
    /// Its tenant.
    pub tenant: String,
    /// Its class.
    pub class: String,
    /// Its destination.
    pub destination: u16,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Whether it may run more than once: safe, keyed or unsafe.
    pub effect: &'static str,
    /// For how long its key is remembered, in seconds.
    pub key_window_s: Option<f64>,
    /// Bytes of its body.
    pub size: u32,
    /// When it was given up first.
    #[schema(format = DateTime)]
    pub ended_at: String,
    /// When its time was up.
    #[schema(format = DateTime)]
    pub due_at: String,
    /// Why it was given up, at the last time.
    #[schema(value_type = String, example = "out-of-time")]
    pub reason: Reason,
    /// Whether one of its attempts may have run.
    pub may_have_run: bool,
    /// How often it was sent again.
    pub resends: u32,
    /// Every attempt, in order.
    pub attempts: Vec<UndeliverableAttempt>,
    /// What was said of it, in order.
    pub statements: Vec<UndeliverableStatement>,
    /// What it needs before it can be sent again; null if it could be sent now. Absent in lists.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schema(value_type = Option<String>, example = "needs-word")]
    pub needs: Option<Option<&'static str>>,
}

impl UndeliverableRecord {
    fn new(
        id: RecordId,
        record: &Record,
        need: Option<Option<undeliverable::ResendBlocked>>,
    ) -> Self {
        use undeliverable::RecordState;
        let (holder, state_at) = match &record.state {
            RecordState::Open => (None, None),
            RecordState::Claimed { by, until } => (Some(by.clone()), Some(at(*until))),
            RecordState::Sending { by, since } => (Some(by.clone()), Some(at(*since))),
            RecordState::Closed(_, since) => (None, Some(at(*since))),
        };
        let (effect, window) = match record.idempotency {
            Idempotency::Idempotent => ("safe", None),
            Idempotency::Keyed { window } => ("keyed", Some(window as f64 / 1e6)),
            Idempotency::NonIdempotent => ("unsafe", None),
        };
        UndeliverableRecord {
            id,
            version: record.version,
            state: record.state.as_str(),
            holder,
            state_at,
            message: record.origin.name.clone(),
            tenant: record.origin.tenant_name().into(),
            class: record.origin.class.clone(),
            destination: record.origin.destination,
            key: record.origin.idempotency_key.clone(),
            effect,
            key_window_s: window,
            size: record.size,
            ended_at: at(record.given_up_at),
            due_at: at(record.origin.deadline),
            reason: record.reason,
            may_have_run: record.may_have_run(),
            resends: record.resends,
            attempts: record.attempts.iter().map(Into::into).collect(),
            statements: record.attestations.iter().map(Into::into).collect(),
            needs: need.map(|need| need.map(undeliverable::ResendBlocked::as_str)),
        }
    }
}

/// Some of the records.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverablePage {
    /// They, newest first. There may be fewer than asked for, even none, while there are more.
    pub items: Vec<UndeliverableRecord>,
    /// The cursor of the next page; null on the last. Records that come later do not move it.
    pub next: Option<String>,
}

/// How many records there are of a value.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableCount {
    /// The value.
    pub value: String,
    /// Records.
    pub records: u64,
}

/// How many records there are, by one of their fields.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableCounts {
    /// A count for each value.
    pub items: Vec<UndeliverableCount>,
}

/// Records that were dropped.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableDropped {
    /// Whose.
    pub tenant: String,
    /// Why: age, bytes, tenant-bytes or records.
    pub cause: String,
    /// How many, since the store was made.
    pub records: u64,
}

/// How the store of undeliverable messages does.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableStatus {
    /// Records it holds.
    pub records: u64,
    /// Their bytes, as the caps count them.
    pub bytes: u64,
    /// Records that can't be read.
    pub unreadable: u64,
    /// Messages that were given up and could not be kept, since the relay's start.
    pub lost: u64,
    /// Messages that are being sent again now.
    pub sending: usize,
    /// Why nothing is kept now; null if all is well.
    pub trouble: Option<String>,
    /// Records that were dropped.
    pub dropped: Vec<UndeliverableDropped>,
}

impl From<StoreReport> for UndeliverableStatus {
    fn from(status: StoreReport) -> Self {
        let dropped = status.totals.dropped.into_iter();
        UndeliverableStatus {
            records: status.totals.records,
            bytes: status.totals.bytes,
            unreadable: status.totals.unreadable_values,
            lost: status.unstored_messages,
            sending: status.resends_in_flight,
            trouble: status.error,
            dropped: dropped
                .map(|evicted| UndeliverableDropped {
                    tenant: evicted.tenant,
                    cause: evicted.cause,
                    records: evicted.records,
                })
                .collect(),
        }
    }
}

/// What somebody says of whether a message took effect.
#[derive(Debug, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields)]
#[schema(as = Attestation)]
#[serde(rename = "Attestation")]
pub struct NewAttestation {
    /// It did (applied), it did not and will not (not-applied), or that can't be told (unknown).
    #[schema(value_type = String, pattern = "^(applied|not-applied|unknown)$")]
    pub says: ExecutionClaim,
}

/// Which records.
#[derive(Clone, Debug, Default, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields, default)]
pub struct RecordFilter {
    /// Of this partner.
    pub destination: Option<u16>,
    /// Of this class.
    pub class: Option<String>,
    /// Given up for this reason.
    pub reason: Option<String>,
    /// Of this tenant.
    pub tenant: Option<String>,
    /// Given up at this moment or later.
    #[schema(format = DateTime)]
    pub since: Option<String>,
    /// Given up before this moment.
    #[schema(format = DateTime)]
    pub until: Option<String>,
    /// Of which an attempt may have run, or none may.
    pub may_have_run: Option<bool>,
}

impl RecordFilter {
    fn read(self, caller: &Caller, state: Option<String>) -> Result<Filter, Problem> {
        let reason = self.reason.as_deref().map(|word| {
            Reason::parse(word).ok_or_else(|| {
                let words: Vec<&str> = Reason::ALL.iter().map(|reason| reason.as_str()).collect();
                Problem::malformed(format!("reason is none of {}", words.join(", ")))
            })
        });
        Ok(Filter {
            destination: self.destination,
            class: self.class,
            reason: reason.transpose()?,
            tenant: self.tenant,
            scope: scope(caller),
            since: moment("since", self.since.as_ref())?,
            until: moment("until", self.until.as_ref())?,
            may_have_run: self.may_have_run,
            state,
        })
    }
}

impl From<Filter> for RecordFilter {
    fn from(filter: Filter) -> Self {
        RecordFilter {
            destination: filter.destination,
            class: filter.class,
            reason: filter.reason.map(|reason| reason.as_str().into()),
            tenant: filter.tenant,
            since: filter.since.map(at),
            until: filter.until.map(at),
            may_have_run: filter.may_have_run,
        }
    }
}

/// A batch to be planned.
#[derive(Debug, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct NewBatch {
    /// Its name.
    #[schema(max_length = 64, pattern = "^[A-Za-z0-9._-]+$")]
    pub name: String,
    /// Which of the records that are open now.
    #[serde(default)]
    pub filter: RecordFilter,
    /// Records a second at most, 0.01 to 1000; 1 if absent.
    pub per_second: Option<f64>,
    /// Records out at once at most, 1 to 64; 1 if absent.
    pub at_once: Option<u32>,
    /// It stops by itself once so many of the last twice as many failed, 1 to 1000; 5 if absent.
    pub stop_after: Option<u32>,
}

/// A batch of resends.
#[derive(Debug, Serialize, ToSchema)]
pub struct ResendBatch {
    /// Its name.
    pub name: String,
    /// Grows with every order; the ETag is this in quotes.
    pub version: u32,
    /// Where it stands: planned, running, paused, stopped (too many failed), done or cancelled.
    pub state: &'static str,
    /// Who planned it.
    pub by: String,
    /// When.
    #[schema(format = DateTime)]
    pub made_at: String,
    /// Which records.
    pub filter: RecordFilter,
    /// Records a second at most.
    pub per_second: f64,
    /// Records out at once at most.
    pub at_once: u32,
    /// Failures that stop it.
    pub stop_after: u32,
    /// Records that the dry run found.
    pub found: u64,
    /// Of those, the ones that could go then.
    pub may_go: u64,
    /// Of those, the ones that could not, by what they need.
    pub needs: std::collections::BTreeMap<String, u64>,
    /// Sent so far.
    pub sent: u64,
    /// Delivered.
    pub delivered: u64,
    /// Ended without delivery.
    pub failed: u64,
    /// Passed over.
    pub skipped: u64,
}

impl From<Batch> for ResendBatch {
    fn from(batch: Batch) -> Self {
        ResendBatch {
            name: batch.spec.name,
            version: batch.version,
            state: batch.state.as_str(),
            by: batch.by,
            made_at: at(batch.created_at),
            filter: batch.spec.filter.into(),
            per_second: batch.spec.per_second,
            at_once: batch.spec.at_once,
            stop_after: batch.spec.stop_after,
            found: batch.counts.found,
            may_go: batch.counts.may_go,
            needs: batch.counts.needs,
            sent: batch.counts.sent,
            delivered: batch.counts.delivered,
            failed: batch.counts.failed,
            skipped: batch.counts.skipped,
        }
    }
}

/// All batches.
#[derive(Debug, Serialize, ToSchema)]
pub struct BatchList {
    /// They, by name.
    pub items: Vec<ResendBatch>,
}

/// Which records, and which page of them.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
struct Wanted {
    /// Records at most; 50 if absent.
    #[param(minimum = 1, maximum = 200)]
    limit: Option<usize>,
    /// The `next` of the page before.
    cursor: Option<String>,
    /// Of this partner.
    destination: Option<u16>,
    /// Of this class.
    class: Option<String>,
    /// Given up for this reason.
    reason: Option<String>,
    /// Of this tenant.
    tenant: Option<String>,
    /// Given up at this moment or later, such as 2026-12-01T08:00:00Z.
    since: Option<String>,
    /// Given up before this moment.
    until: Option<String>,
    /// Of which an attempt may have run, or none may.
    may_have_run: Option<bool>,
    /// In this state.
    state: Option<String>,
}

/// By what is counted.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
struct CountedBy {
    /// destination, class, reason, tenant or state.
    by: String,
}

/// List undeliverable messages, newest first. Role: viewer.
#[utoipa::path(get, path = "/v1/undeliverable", tag = "undeliverable", params(Wanted), responses(
    (status = 200, description = "Records of tenants in the token's scope.", body = UndeliverablePage),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "They can't be read now, or are not kept.", body = ProblemBody, content_type = "application/problem+json")))]
async fn list_undeliverable(
    State(api): State<Api>,
    caller: Caller,
    asked: Queried<Wanted>,
) -> Answer {
    caller.may(Role::Viewer)?;
    let Wanted {
        limit,
        cursor: from,
        destination,
        class,
        reason,
        tenant,
        since,
        until,
        may_have_run,
        state,
    } = query(asked)?;
    let before = cursor(from)?.map(|text| text.parse::<RecordId>());
    let before = before
        .transpose()
        .map_err(|_| Problem::malformed("the cursor is none of this list's"))?;
    let filter = RecordFilter {
        destination,
        class,
        reason,
        tenant,
        since,
        until,
        may_have_run,
    };
    let ask = UndeliverableRequest::Page {
        filter: filter.read(&caller, state)?,
        before,
        most: page(limit)?,
    };
    let UndeliverableResponse::Page(found) = api.told(ask).await? else {
        return Err(unexpected());
    };
    let items = found
        .records
        .iter()
        .map(|(id, record)| UndeliverableRecord::new(*id, record, None))
        .collect();
    Ok(Json(UndeliverablePage {
        items,
        next: found.next.map(to_cursor),
    })
    .into_response())
}

/// Count undeliverable messages by a field. Role: viewer; by another field than tenant only for all tenants.
#[utoipa::path(get, path = "/v1/undeliverable/counts", tag = "undeliverable", params(CountedBy), responses(
    (status = 200, description = "The counts.", body = UndeliverableCounts),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "They can't be read now, or are not kept.", body = ProblemBody, content_type = "application/problem+json")))]
async fn count_undeliverable(
    State(api): State<Api>,
    caller: Caller,
    asked: Queried<CountedBy>,
) -> Answer {
    caller.may(Role::Viewer)?;
    let by = match query(asked)?.by.as_str() {
        "destination" => Group::Destination,
        "class" => Group::Class,
        "reason" => Group::Reason,
        "tenant" => Group::Tenant,
        "state" => Group::State,
        _ => {
            return Err(Problem::malformed(
                "by is none of destination, class, reason, tenant and state",
            ))
        }
    };
    if by != Group::Tenant && !caller.scope.covers_all() {
        return Err(Problem::forbidden(
            "these counts are of all tenants, the token is not",
        ));
    }
    let UndeliverableResponse::Counts(counts) = api.told(UndeliverableRequest::Counts(by)).await?
    else {
        return Err(unexpected());
    };
    let seen = counts
        .into_iter()
        .filter(|(value, _)| by != Group::Tenant || caller.scope.covers(value));
    // Destinations stand with leading zeros in the store.
    let plain = |value: String| match by {
        Group::Destination => value
            .parse::<u16>()
            .map_or(value, |number| number.to_string()),
        _ => value,
    };
    let items = seen
        .map(|(value, records)| UndeliverableCount {
            value: plain(value),
            records,
        })
        .collect();
    Ok(Json(UndeliverableCounts { items }).into_response())
}

/// Show how the store does. Role: viewer of all tenants.
#[utoipa::path(get, path = "/v1/undeliverable/status", tag = "undeliverable", responses(
    (status = 200, description = "Its figures.", body = UndeliverableStatus),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Such messages are not kept.", body = ProblemBody, content_type = "application/problem+json")))]
async fn undeliverable_status(State(api): State<Api>, caller: Caller) -> Answer {
    caller.may(Role::Viewer)?;
    if !caller.scope.covers_all() {
        return Err(Problem::forbidden(
            "the store is that of all tenants, the token is not",
        ));
    }
    let UndeliverableResponse::StoreReport(status) =
        api.told(UndeliverableRequest::StoreReport).await?
    else {
        return Err(unexpected());
    };
    Ok(Json(UndeliverableStatus::from(status)).into_response())
}

/// Show a record with its whole story. Role: viewer.
#[utoipa::path(get, path = "/v1/undeliverable/{id}", tag = "undeliverable", params(("id" = u64, Path)), responses(
    (status = 200, description = "The record.", body = UndeliverableRecord, headers(("ETag" = String, description = "Its version."))),
    (status = 404, description = "There is none, or it was dropped.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
async fn show_undeliverable(State(api): State<Api>, caller: Caller, Path(id): Path<u64>) -> Answer {
    caller.may(Role::Viewer)?;
    Ok(one(api.seen(&caller, id).await?, StatusCode::OK))
}

/// Show the body of a record's message. Role: operator.
#[utoipa::path(get, path = "/v1/undeliverable/{id}/body", tag = "undeliverable", params(("id" = u64, Path)), responses(
    (status = 200, description = "The body, as it was handed in.", body = Vec<u8>, content_type = "application/octet-stream"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
async fn undeliverable_body(State(api): State<Api>, caller: Caller, Path(id): Path<u64>) -> Answer {
    caller.may(Role::Operator)?;
    api.seen(&caller, id).await?;
    let UndeliverableResponse::Body(body) = api.told(UndeliverableRequest::Body(id)).await? else {
        return Err(unexpected());
    };
    Ok(([(CONTENT_TYPE, "application/octet-stream")], body).into_response())
}

/// Answers to a change of a record that was not made.
#[derive(utoipa::IntoResponses)]
#[allow(dead_code, reason = "the document is made from it")]
enum RecordNotChanged {
    /// It is being sent, closed, or may not be sent again; the type says which.
    #[response(status = 409, content_type = "application/problem+json")]
    Conflict(ProblemBody),
    /// It is in another version, which current_version tells.
    #[response(status = 412, content_type = "application/problem+json")]
    Stale(ProblemBody),
    /// Somebody else has claimed it.
    #[response(status = 423, content_type = "application/problem+json")]
    Claimed(ProblemBody),
    /// Not as asked.
    #[response(status = "4XX", content_type = "application/problem+json")]
    Wrong(ProblemBody),
    /// Not kept; harmless to ask again.
    #[response(status = 503, content_type = "application/problem+json")]
    NotKept(ProblemBody),
}

/// Answers to an order to a batch that was not followed.
#[derive(utoipa::IntoResponses)]
#[allow(dead_code, reason = "the document is made from it")]
enum BatchNotChanged {
    /// It is over.
    #[response(status = 409, content_type = "application/problem+json")]
    Over(ProblemBody),
    /// It is in another version, which current_version tells.
    #[response(status = 412, content_type = "application/problem+json")]
    Stale(ProblemBody),
    /// Not as asked.
    #[response(status = "4XX", content_type = "application/problem+json")]
    Wrong(ProblemBody),
    /// Not kept; harmless to ask again.
    #[response(status = 503, content_type = "application/problem+json")]
    NotKept(ProblemBody),
}

/// Set a record aside for the one who asks: until the claim is over nobody else may change it. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/claim", tag = "undeliverable", params(("id" = u64, Path),
    ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 200, description = "The record after.", body = UndeliverableRecord, headers(("ETag" = String, description = "Its version."))),
    RecordNotChanged))]
async fn claim_undeliverable(State(api): State<Api>, Path(id): Path<u64>, asked: Asked) -> Answer {
    api.act(&asked, id, RecordAction::Claim, StatusCode::OK)
        .await
}

/// Give a claim up. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/release", tag = "undeliverable", params(("id" = u64, Path),
    ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 200, description = "The record after.", body = UndeliverableRecord, headers(("ETag" = String, description = "Its version."))),
    RecordNotChanged))]
async fn release_undeliverable(
    State(api): State<Api>,
    Path(id): Path<u64>,
    asked: Asked,
) -> Answer {
    api.act(&asked, id, RecordAction::Release, StatusCode::OK)
        .await
}

/// Send a message again, if its rules allow that now. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/resend", tag = "undeliverable", params(("id" = u64, Path),
    ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 202, description = "The record after.", body = UndeliverableRecord, headers(("ETag" = String, description = "Its version."))),
    (status = 429, description = "Too much is sent again already, or live messages need the room; nothing was done.", body = ProblemBody, content_type = "application/problem+json"),
    RecordNotChanged))]
async fn resend_undeliverable(State(api): State<Api>, Path(id): Path<u64>, asked: Asked) -> Answer {
    api.act(&asked, id, RecordAction::Resend, StatusCode::ACCEPTED)
        .await
}

/// Ask the partner whether a message took effect. What it says stands among the statements. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/ask", tag = "undeliverable", params(("id" = u64, Path),
    ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 202, description = "The record after.", body = UndeliverableRecord, headers(("ETag" = String, description = "Its version."))),
    RecordNotChanged))]
async fn ask_undeliverable(State(api): State<Api>, Path(id): Path<u64>, asked: Asked) -> Answer {
    api.act(&asked, id, RecordAction::QueryPartner, StatusCode::ACCEPTED)
        .await
}

/// Close a record without more. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/discard", tag = "undeliverable", params(("id" = u64, Path),
    ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 200, description = "The record after.", body = UndeliverableRecord, headers(("ETag" = String, description = "Its version."))),
    RecordNotChanged))]
async fn discard_undeliverable(
    State(api): State<Api>,
    Path(id): Path<u64>,
    asked: Asked,
) -> Answer {
    api.act(&asked, id, RecordAction::Discard, StatusCode::OK)
        .await
}

/// Say whether a message took effect. Two operators who agree stand for the partner's word. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/attest", tag = "undeliverable", request_body = NewAttestation,
    params(("id" = u64, Path), ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 200, description = "The record after.", body = UndeliverableRecord, headers(("ETag" = String, description = "Its version."))),
    (status = 412, description = "It is in another version, which current_version tells.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn attest_undeliverable(State(api): State<Api>, Path(id): Path<u64>, asked: Asked) -> Answer {
    let NewAttestation { says } = asked.json(JSON)?;
    api.act(&asked, id, RecordAction::Attest(says), StatusCode::OK)
        .await
}

/// List batches of resends. Role: viewer.
#[utoipa::path(get, path = "/v1/undeliverable-batches", tag = "undeliverable", responses(
    (status = 200, description = "Batches of the token's tenants.", body = BatchList),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
async fn list_batches(State(api): State<Api>, caller: Caller) -> Answer {
    caller.may(Role::Viewer)?;
    let items = api
        .batches(&caller)
        .await?
        .into_iter()
        .map(ResendBatch::from)
        .collect();
    Ok(Json(BatchList { items }).into_response())
}

/// Plan a batch: a dry run that counts what it would find. Nothing is sent before it is run. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable-batches", tag = "undeliverable", request_body = NewBatch, responses(
    (status = 201, description = "Planned.", body = ResendBatch,
        headers(("ETag" = String, description = "Its version."), ("Location" = String, description = "Where it is."))),
    (status = 409, description = "There is one of this name, or there are as many as may be.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn plan_batch(State(api): State<Api>, asked: Asked) -> Answer {
    asked.caller.may(Role::Operator)?;
    let new: NewBatch = asked.json(JSON)?;
    let spec = BatchSpec {
        name: new.name,
        filter: new.filter.read(&asked.caller, None)?,
        per_second: new.per_second.unwrap_or(PACE.0),
        at_once: new.at_once.unwrap_or(PACE.1),
        stop_after: new.stop_after.unwrap_or(PACE.2),
    };
    let location = format!("/v1/undeliverable-batches/{}", spec.name);
    let ask = UndeliverableRequest::Plan {
        spec,
        who: asked.caller.name.clone(),
    };
    let UndeliverableResponse::Batch(batch) = api.told(ask).await? else {
        return Err(unexpected());
    };
    let mut response = one_batch(*batch, StatusCode::CREATED);
    if let Ok(location) = HeaderValue::from_str(&location) {
        response.headers_mut().insert(LOCATION, location);
    }
    Ok(response)
}

/// Show a batch. Role: viewer.
#[utoipa::path(get, path = "/v1/undeliverable-batches/{name}", tag = "undeliverable", params(("name" = String, Path)), responses(
    (status = 200, description = "The batch.", body = ResendBatch, headers(("ETag" = String, description = "Its version."))),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
async fn show_batch(State(api): State<Api>, caller: Caller, Path(name): Path<String>) -> Answer {
    caller.may(Role::Viewer)?;
    let found = api
        .batches(&caller)
        .await?
        .into_iter()
        .find(|batch| batch.spec.name == name);
    Ok(one_batch(
        found.ok_or_else(|| batch_refused(batch::BatchError::None))?,
        StatusCode::OK,
    ))
}

/// Run a batch, or let one go on. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable-batches/{name}/run", tag = "undeliverable", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The batch's ETag, or * for any version.")), responses(
    (status = 200, description = "The batch after.", body = ResendBatch, headers(("ETag" = String, description = "Its version."))),
    BatchNotChanged))]
async fn run_batch(State(api): State<Api>, Path(name): Path<String>, asked: Asked) -> Answer {
    api.order(&asked, name, BatchCommand::Run).await
}

/// Send nothing new of a batch for now. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable-batches/{name}/pause", tag = "undeliverable", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The batch's ETag, or * for any version.")), responses(
    (status = 200, description = "The batch after.", body = ResendBatch, headers(("ETag" = String, description = "Its version."))),
    BatchNotChanged))]
async fn pause_batch(State(api): State<Api>, Path(name): Path<String>, asked: Asked) -> Answer {
    api.order(&asked, name, BatchCommand::Pause).await
}

/// Send nothing more of a batch, for good. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable-batches/{name}/cancel", tag = "undeliverable", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The batch's ETag, or * for any version.")), responses(
    (status = 200, description = "The batch after.", body = ResendBatch, headers(("ETag" = String, description = "Its version."))),
    BatchNotChanged))]
async fn cancel_batch(State(api): State<Api>, Path(name): Path<String>, asked: Asked) -> Answer {
    api.order(&asked, name, BatchCommand::Cancel).await
}

/// The routes, with what the document says of them.
pub fn routes() -> OpenApiRouter<Api> {
    OpenApiRouter::new()
        .routes(routes!(list_undeliverable))
        .routes(routes!(count_undeliverable))
        .routes(routes!(undeliverable_status))
        .routes(routes!(show_undeliverable))
        .routes(routes!(undeliverable_body))
        .routes(routes!(claim_undeliverable))
        .routes(routes!(release_undeliverable))
        .routes(routes!(resend_undeliverable))
        .routes(routes!(ask_undeliverable))
        .routes(routes!(discard_undeliverable))
        .routes(routes!(attest_undeliverable))
        .routes(routes!(list_batches, plan_batch))
        .routes(routes!(show_batch))
        .routes(routes!(run_batch))
        .routes(routes!(pause_batch))
        .routes(routes!(cancel_batch))
}
