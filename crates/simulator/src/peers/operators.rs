//! Operators of undeliverable messages: two who know nothing of each other look through what was given up, ask
//! partners, attest, claim and send again, one by one and in batches.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use runtime::Runtime;
use serde_json::Value;

use super::admins::{request, Rogue};
use super::ledger::Ledger;
use super::Stage;
use crate::dice::Dice;
use crate::history::Observation;
use crate::kept;

/// Records that an operator looks at in one go.
const PAGE: usize = 20;
/// What is not answered is asked again after this, so often at most.
const AGAIN: (Duration, u32) = (Duration::from_millis(400), 5);

/// An operator.
pub struct Operator<R> {
    /// The stage.
    pub stage: Stage<R>,
    /// Which of them.
    pub number: usize,
    /// What took effect, which operators find out by other ways than the relay.
    pub ledger: Ledger,
    /// Draws what is done.
    pub dice: Dice,
    /// At work until then; the first of them then looks at all records.
    pub until: Duration,
    /// Deceives the relay or the checker.
    pub rogue: Option<Rogue>,
    /// Told just before a change is sent, so that a fault may strike within it.
    pub strikes: Rc<dyn Fn()>,
    /// Set once all records were looked at.
    pub done: Rc<Cell<bool>>,
}

impl<R: Runtime> Operator<R> {
    /// Works until its time is over.
    pub async fn run(mut self) {
        let rest = self.dice.between(1_000, 3_000);
        self.stage.runtime.sleep(Duration::from_millis(rest)).await;
        while self.stage.at() < self.until {
            self.work().await;
            let rest = self.dice.between(100, 900);
            self.stage.runtime.sleep(Duration::from_millis(rest)).await;
        }
        while self.number == 0 && !self.done.get() {
            if self.look_at_all().await.is_none() {
                self.stage.runtime.sleep(AGAIN.0).await;
            }
        }
    }

    async fn ask(
        &self,
        method: &str,
        path: &str,
        headers: &str,
        body: Option<String>,
    ) -> Option<(u16, Value)> {
        let body = body.map(|body| ("application/json", body));
        let token = kept::operator(self.number);
        let asked = request(&self.stage, &token, method, path, headers, body.as_ref()).await;
        asked.ok().map(|answer| (answer.status, answer.body))
    }

    /// A change, asked again where no answer came.
    async fn change(&self, path: &str, headers: &str, body: Option<String>) {
        (self.strikes)();
        for _ in 0..AGAIN.1 {
            let told = self.ask("POST", path, headers, body.clone()).await;
            (self.stage.news)(format_args!(
                "POST {path}: {:?}",
                told.as_ref().map(|(status, _)| status)
            ));
            if told.is_some_and(|(status, _)| status != 503) {
                return;
            }
            self.stage.runtime.sleep(AGAIN.0).await;
        }
    }

    async fn work(&mut self) {
        if self.dice.percent(12) {
            return self.batch().await;
        }
        let filter = *self.dice.pick(&[
            "",
            "&may_have_run=true",
            "&may_have_run=false",
            "&class=payout",
        ]);
        let path = format!("/v1/undeliverable?state=open&limit={PAGE}{filter}");
        let Some((200, page)) = self.ask("GET", &path, "", None).await else {
            return;
        };
        let records = page["items"].as_array().cloned().unwrap_or_default();
        for record in records {
            if self.dice.percent(60) {
                self.act(&record).await;
            }
        }
    }

    async fn act(&mut self, record: &Value) {
        let (Some(id), Some(version)) = (record["id"].as_u64(), record["version"].as_u64()) else {
            return;
        };
        let path = |act: &str| format!("/v1/undeliverable/{id}/{act}");
        let seen = format!("If-Match: \"{version}\"\r\n");
        let any = if self.dice.percent(20) {
            "If-Match: *\r\n"
        } else {
            &seen
        };
        match self.dice.below(20) {
            0..=7 => self.change(&path("resend"), any, None).await,
            8..=12 => self.change(&path("ask"), any, None).await,
            13 => self.change(&path("claim"), any, None).await,
            14 => self.change(&path("release"), any, None).await,
            15 if self.dice.percent(20) => self.change(&path("discard"), any, None).await,
            _ => {
                let applied = self.ledger.knows(record["message"].as_str().unwrap_or(""));
                let says = if applied && self.rogue != Some(Rogue::Perjures) {
                    "applied"
                } else {
                    "not-applied"
                };
                // What is attested is what was found out of the record as it was seen.
                self.change(
                    &path("attest"),
                    &seen,
                    Some(format!("{{\"says\":\"{says}\"}}")),
                )
                .await;
            }
        }
    }

    async fn batch(&mut self) {
        let name = format!("{}-{}", self.number, self.dice.below(1_000_000));
        let (rate, at_once) = (self.dice.between(5, 50), self.dice.between(1, 6));
        let spec = format!(
            "{{\"name\":\"{name}\",\"per_second\":{rate}.0,\"at_once\":{at_once},\"stop_after\":10}}"
        );
        let path = "/v1/undeliverable-batches";
        self.change(path, "", Some(spec)).await;
        self.change(&format!("{path}/{name}/run"), "If-Match: *\r\n", None)
            .await;
        if self.dice.percent(20) {
            self.change(&format!("{path}/{name}/pause"), "If-Match: *\r\n", None)
                .await;
        }
    }

    /// Looks at every record, and tells the checker. None if not all could be seen.
    async fn look_at_all(&mut self) -> Option<()> {
        let (mut all, mut cursor) = (Vec::new(), String::new());
        loop {
            let path = format!("/v1/undeliverable?limit=100{cursor}");
            let (200, page) = self.ask("GET", &path, "", None).await? else {
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
        if self.rogue == Some(Rogue::Forgets) {
            all.pop();
        }
        all.iter().for_each(|(id, state)| {
            self.stage
                .observe(&Observation::UndeliverableRecordRead { id, state })
        });
        self.stage
            .observe(&Observation::AllUndeliverableRecordsRead);
        self.done.set(true);
        Some(())
    }
}
