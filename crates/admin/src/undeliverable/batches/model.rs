//! Bodies of requests and responses about batches.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use undeliverable::batch::Batch;
use utoipa::ToSchema;

use crate::undeliverable::filter::RecordFilter;
use crate::undeliverable::timestamp;

/// A batch to plan.
#[derive(Debug, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct NewBatch {
    /// Its name.
    #[schema(max_length = 64, pattern = "^[A-Za-z0-9._-]+$")]
    pub name: String,
    /// Selects among the records that are open when the batch is planned.
    #[serde(default)]
    pub filter: RecordFilter,
    /// Maximum resends per second, 0.01 to 1000; 1 if absent.
    pub per_second: Option<f64>,
    /// Maximum resends in flight, 1 to 64; 1 if absent.
    pub at_once: Option<u32>,
    /// The batch stops after this many failures among the last twice as many resends, 1 to 1000; 5 if absent.
    pub stop_after: Option<u32>,
}

/// A batch of resends.
#[derive(Debug, Serialize, ToSchema)]
pub struct ResendBatch {
    /// Its name.
    pub name: String,
    /// Increases with every command; the ETag is this number in quotes.
    pub version: u32,
    /// Its state: planned, running, paused, stopped (too many failures), done or cancelled.
    pub state: &'static str,
    /// Who planned it.
    pub by: String,
    /// When it was planned.
    #[schema(format = DateTime)]
    pub made_at: String,
    /// A filter of records; all fields that are present have to match.
    pub filter: RecordFilter,
    /// Maximum resends per second.
    pub per_second: f64,
    /// Maximum resends in flight.
    pub at_once: u32,
    /// Number of failures that stop the batch.
    pub stop_after: u32,
    /// Number of records that the dry run found.
    pub found: u64,
    /// Number of the found records that could be resent at that time.
    pub may_go: u64,
    /// Number of the found records that could not be resent, by what is missing.
    pub needs: BTreeMap<String, u64>,
    /// Number of records resent so far.
    pub sent: u64,
    /// Number of resent records that were delivered.
    pub delivered: u64,
    /// Number of resent records that failed.
    pub failed: u64,
    /// Number of records skipped.
    pub skipped: u64,
}

impl From<Batch> for ResendBatch {
    fn from(batch: Batch) -> Self {
        ResendBatch {
            name: batch.spec.name,
            version: batch.version,
            state: batch.state.as_str(),
            by: batch.by,
            made_at: timestamp::format(batch.created_at),
            filter: batch.spec.filter.into(),
            per_second: batch.spec.per_second,
            at_once: batch.spec.at_once,
            stop_after: batch.spec.stop_after,
            found: batch.counts.found,
            may_go: batch.counts.resendable,
            needs: batch.counts.blocked,
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
    /// Batches, sorted by name.
    pub items: Vec<ResendBatch>,
}
