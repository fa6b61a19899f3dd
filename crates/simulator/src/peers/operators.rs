//! Operators of undeliverable messages. Two of them, working independently, read the records, query partners, attest,
//! claim and resend, individually and in batches.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use runtime::Runtime;
use serde_json::Value;

use super::admin_api::{ApiRequest, Body};
use super::admins::MisbehavingAdmin;
use super::effect_log::EffectLog;
use super::PeerContext;
use crate::history::Observation;
use crate::kept;
use crate::rng::SimulationRng;

/// Number of records that an operator reads in one request.
const PAGE_SIZE: usize = 20;
/// Delay after which a request without a response is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of attempts to request a change.
const MAX_ATTEMPTS: u32 = 5;
/// Status of a relay that could not save a change; the change may be requested again.
const SERVICE_UNAVAILABLE: u16 = 503;

/// An operator.
pub struct Operator<R> {
    /// The context that all peers share.
    pub context: PeerContext<R>,
    /// Index of the operator.
    pub number: usize,
    /// The effects at the partners, which operators learn independently of the relay.
    pub effect_log: EffectLog,
    /// Random numbers for the operator's actions.
    pub rng: SimulationRng,
    /// When the operator stops working. The first operator then reads all records.
    pub until: Duration,
    /// Misbehaviour towards the relay or the checker, if any.
    pub misbehavior: Option<MisbehavingAdmin>,
    /// Called just before a change is sent, so that a fault can be injected during it.
    pub before_change: Rc<dyn Fn()>,
    /// Set when all records have been read.
    pub all_read: Rc<Cell<bool>>,
}

impl<R: Runtime> Operator<R> {
    /// Works until `until`; the first operator then reads all records.
    pub async fn run(mut self) {
        let pause_ms = self.rng.between(1_000, 3_000);
        self.context
            .runtime
            .sleep(Duration::from_millis(pause_ms))
            .await;
        while self.context.elapsed() < self.until {
            self.work().await;
            let pause_ms = self.rng.between(100, 900);
            self.context
                .runtime
                .sleep(Duration::from_millis(pause_ms))
                .await;
        }
        while self.number == 0 && !self.all_read.get() {
            if self.read_all().await.is_none() {
                self.context.runtime.sleep(RETRY_INTERVAL).await;
            }
        }
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &str,
        body: Option<String>,
    ) -> Option<(u16, Value)> {
        let body = body.map(|text| Body {
            content_type: "application/json",
            text,
        });
        let request = ApiRequest {
            token: &kept::operator_name(self.number),
            method,
            path,
            headers,
            body: body.as_ref(),
        };
        let response = request.send(&self.context).await.ok()?;
        Some((response.status, response.body))
    }

    /// Requests a change, and repeats the request if there is no response or status 503.
    async fn change(&self, path: &str, headers: &str, body: Option<String>) {
        (self.before_change)();
        for _ in 0..MAX_ATTEMPTS {
            let response = self.send("POST", path, headers, body.clone()).await;
            (self.context.trace)(format_args!(
                "POST {path}: {:?}",
                response.as_ref().map(|(status, _)| status)
            ));
            if response.is_some_and(|(status, _)| status != SERVICE_UNAVAILABLE) {
                return;
            }
            self.context.runtime.sleep(RETRY_INTERVAL).await;
        }
    }

    async fn work(&mut self) {
        if self.rng.percent(12) {
            return self.run_batch().await;
        }
        let filter = *self.rng.pick(&[
            "",
            "&may_have_run=true",
            "&may_have_run=false",
            "&class=payout",
        ]);
        let path = format!("/v1/undeliverable?state=open&limit={PAGE_SIZE}{filter}");
        let Some((200, page)) = self.send("GET", &path, "", None).await else {
            return;
        };
        let records = page["items"].as_array().cloned().unwrap_or_default();
        for record in records {
            if self.rng.percent(60) {
                self.handle(&record).await;
            }
        }
    }

    async fn handle(&mut self, record: &Value) {
        let (Some(id), Some(version)) = (record["id"].as_u64(), record["version"].as_u64()) else {
            return;
        };
        let path = |action: &str| format!("/v1/undeliverable/{id}/{action}");
        let read_version = format!("If-Match: \"{version}\"\r\n");
        let version = if self.rng.percent(20) {
            "If-Match: *\r\n"
        } else {
            &read_version
        };
        match self.rng.below(20) {
            0..=7 => self.change(&path("resend"), version, None).await,
            8..=12 => self.change(&path("ask"), version, None).await,
            13 => self.change(&path("claim"), version, None).await,
            14 => self.change(&path("release"), version, None).await,
            15 if self.rng.percent(20) => self.change(&path("discard"), version, None).await,
            _ => {
                let has_effect = self
                    .effect_log
                    .has_effect(record["message"].as_str().unwrap_or(""));
                let statement =
                    if has_effect && self.misbehavior != Some(MisbehavingAdmin::AttestsFalsely) {
                        "applied"
                    } else {
                        "not-applied"
                    };
                // The attestation applies to the record as it was read, so it is conditional on that version.
                self.change(
                    &path("attest"),
                    &read_version,
                    Some(format!("{{\"says\":\"{statement}\"}}")),
                )
                .await;
            }
        }
    }

    async fn run_batch(&mut self) {
        let name = format!("{}-{}", self.number, self.rng.below(1_000_000));
        let (per_second, at_once) = (self.rng.between(5, 50), self.rng.between(1, 6));
        let spec = format!(
            "{{\"name\":\"{name}\",\"per_second\":{per_second}.0,\"at_once\":{at_once},\"stop_after\":10}}"
        );
        let path = "/v1/undeliverable-batches";
        self.change(path, "", Some(spec)).await;
        self.change(&format!("{path}/{name}/run"), "If-Match: *\r\n", None)
            .await;
        if self.rng.percent(20) {
            self.change(&format!("{path}/{name}/pause"), "If-Match: *\r\n", None)
                .await;
        }
    }

    /// Reads and reports every record. None if not all records could be read.
    async fn read_all(&mut self) -> Option<()> {
        let (mut all, mut cursor) = (Vec::new(), String::new());
        loop {
            let path = format!("/v1/undeliverable?limit=100{cursor}");
            let (200, page) = self.send("GET", &path, "", None).await? else {
                return None;
            };
            for record in page["items"].as_array()? {
                all.push((
                    record["message"].as_str()?.to_string(),
                    record["state"].as_str()?.to_string(),
                ));
            }
            let Some(next) = page["next"].as_str() else {
                break;
            };
            cursor = format!("&cursor={next}");
        }
        if self.misbehavior == Some(MisbehavingAdmin::OmitsRecord) {
            all.pop();
        }
        all.iter().for_each(|(id, state)| {
            self.context
                .observe(&Observation::UndeliverableRecordRead { id, state })
        });
        self.context
            .observe(&Observation::AllUndeliverableRecordsRead);
        self.all_read.set(true);
        Some(())
    }
}
