//! Requests of front ends about undeliverable messages, the responses, and the responses of partners.

use tokio::sync::oneshot;
use undeliverable::batch::{self, Batch, BatchCommand, BatchSpec};
use undeliverable::record::{self, ExecutionClaim};
use undeliverable::store::{GroupBy, Page, StoreTotals};
use undeliverable::{Filter, Micros, Record, RecordId, ResendBlocked};

/// An operator's action on a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordAction {
    /// Claim the record for the operator who makes the request.
    Claim,
    /// Release the operator's claim.
    Release,
    /// Send the message again.
    Resend,
    /// Record the operator's statement about the message's effect.
    Attest(ExecutionClaim),
    /// Ask the partner whether the message took effect.
    QueryPartner,
    /// Close the record without another attempt.
    Discard,
}

/// A request about undeliverable messages.
#[derive(Clone, Debug)]
pub enum UndeliverableRequest {
    /// List records, the newest first.
    Page {
        /// The conditions that the records have to meet.
        filter: Filter,
        /// Only records before this one.
        before: Option<RecordId>,
        /// Maximum number of records in the page.
        limit: usize,
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
        /// Name of the operator who makes the request.
        operator: String,
        /// Precondition: the record's current version.
        version: Option<u32>,
    },
    /// List all batches.
    Batches,
    /// Plan a batch: count what it would do, without doing any of it yet.
    Plan {
        /// The batch.
        spec: BatchSpec,
        /// Name of the operator who makes the request.
        operator: String,
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

/// The view of a record that front ends show.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordView {
    /// The record's number.
    pub id: RecordId,
    /// The record.
    pub record: Record,
    /// What is missing before the message can be resent; `None` if it could be resent now.
    pub blocked: Option<ResendBlocked>,
    /// The earliest time at which an attestation of `not applied` may be requested to count, in Unix time: zero if none is
    /// needed, `None` while a call is open.
    pub attestations_count_from: Option<Micros>,
}

/// The state of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreReport {
    /// Totals of the store's content.
    pub totals: StoreTotals,
    /// Undeliverable messages that could not be stored.
    pub unstored_messages: u64,
    /// Resends in flight.
    pub resends_in_flight: usize,
    /// Why the store cannot be written now; `None` if it can.
    pub error: Option<String>,
}

/// A response to an [`UndeliverableRequest`].
#[derive(Clone, Debug)]
pub enum UndeliverableResponse {
    /// A page of records.
    Page(Page),
    /// One record.
    Found(Box<RecordView>),
    /// The body of a message.
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
    /// A query to a partner about whether a message took effect has ended.
    PartnerQueryCompleted {
        /// The record.
        id: RecordId,
        /// When the query was sent, in Unix time in microseconds.
        queried_at: Micros,
        /// The partner's statement; `None` if there was no valid response.
        claim: Option<ExecutionClaim>,
    },
}
