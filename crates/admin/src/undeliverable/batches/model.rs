//! Bodies of requests and responses about batches.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use undeliverable::batch::Batch;
use utoipa::ToSchema;

use crate::undeliverable::filter::RecordFilter;
use crate::undeliverable::timestamp;

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
    pub needs: BTreeMap<String, u64>,
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
            state: batch.state.word(),
            by: batch.by,
            made_at: timestamp::format(batch.created_at),
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
