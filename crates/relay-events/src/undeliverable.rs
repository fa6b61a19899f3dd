//! Requests of front ends about undeliverable messages, the responses, and the answers of partners.

use tokio::sync::oneshot;
use undeliverable::batch::{self, Batch, BatchCommand, BatchSpec};
use undeliverable::record::{self, ExecutionClaim};
use undeliverable::store::{GroupBy, Page, StoreTotals};
use undeliverable::{Filter, Micros, Record, RecordId, ResendBlocked};

/// An operator's action on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordAction {
    /// Claim it for the operator who asks.
    Claim,
    /// Release the claim.
    Release,
    /// Send it again.
    Resend,
    /// Record what the operator states about the message's effect.
    Attest(ExecutionClaim),
    /// Ask the partner whether the message took effect.
    QueryPartner,
    /// Close it without another attempt.
    Discard,
}

/// A request about undeliverable messages.
#[derive(Clone, Debug)]
pub enum UndeliverableRequest {
    /// List records, the newest first.
    Page {
        /// Which records.
        filter: Filter,
        /// Only records before this one.
        before: Option<RecordId>,
        /// Page size.
        most: usize,
    },
    /// Show one record.
    Find(RecordId),
    /// Show the body of a record's message.
    Body(RecordId),
    /// Count the records by the values of a property.
    Counts(GroupBy),
    /// Show the state of the store.
    StoreReport,
    /// Act on a record.
    RecordAction {
        /// The record.
        id: RecordId,
        /// The action.
        action: RecordAction,
        /// The operator who asks.
        who: String,
        /// Precondition: the record's current version.
        version: Option<u32>,
    },
    /// List all batches.
    Batches,
    /// Plan a batch: counts what it would do, and does nothing yet.
    Plan {
        /// The batch.
        spec: BatchSpec,
        /// The operator who asks.
        who: String,
    },
    /// Run, pause or cancel a batch.
    BatchCommand {
        /// The batch's name.
        name: String,
        /// Whether to run, pause or cancel it.
        command: BatchCommand,
        /// Precondition: the batch's current version.
        version: Option<u32>,
    },
}

/// A record as front ends show it.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordView {
    /// The record's number.
    pub id: RecordId,
    /// The record.
    pub record: Record,
    /// What is missing before it can be resent; none if it could be resent now.
    pub blocked: Option<ResendBlocked>,
}

/// The state of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreReport {
    /// Totals of what it holds.
    pub totals: StoreTotals,
    /// Undeliverable messages that could not be stored.
    pub unstored_messages: u64,
    /// Resends in flight.
    pub resends_in_flight: usize,
    /// Why the store cannot be written now; none if it can.
    pub error: Option<String>,
}

/// A response to an [`UndeliverableRequest`].
#[derive(Clone, Debug)]
pub enum UndeliverableResponse {
    /// A page of records.
    Page(Page),
    /// One record.
    Found(Box<RecordView>),
    /// A body.
    Body(Vec<u8>),
    /// Number of records by value.
    Counts(Vec<(String, u64)>),
    /// The state of the store.
    StoreReport(StoreReport),
    /// All batches.
    Batches(Vec<Batch>),
    /// One batch.
    Batch(Box<Batch>),
    /// A record was not changed.
    Refused(record::RecordError),
    /// A batch was not changed.
    BatchRefused(batch::BatchError),
    /// The store cannot be used now, or the relay has none, for this reason.
    Unavailable(String),
    /// Too much is in progress; retry after this time in milliseconds.
    Busy(u64),
}

/// A request with the channel for its response.
pub struct UndeliverableCall {
    /// The request.
    pub request: UndeliverableRequest,
    /// Channel for the response.
    pub reply: oneshot::Sender<UndeliverableResponse>,
}

/// An event for the undeliverable service.
pub enum UndeliverableEvent {
    /// A front end's request.
    UndeliverableCall(UndeliverableCall),
    /// A query to a partner, whether a message took effect, has ended.
    PartnerQueryCompleted {
        /// The record.
        id: RecordId,
        /// When the query was sent, in Unix time in microseconds.
        queried_at: Micros,
        /// The partner's statement; none if there was no valid answer.
        claim: Option<ExecutionClaim>,
    },
}
