//! Requests of front ends about undeliverable messages, the responses, and the answers of partners.

use tokio::sync::oneshot;
use undeliverable::batch::{self, Batch, Order, Spec};
use undeliverable::record::{self, Says};
use undeliverable::store::{By, Page, Sums};
use undeliverable::{Filter, Micros, Need, Record, RecordId};

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
    State(Says),
    /// Ask the partner whether the message took effect.
    AskPartner,
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
    Counts(By),
    /// Show the state of the store.
    StoreReport,
    /// Act on a record.
    RecordAction {
        /// The record.
        id: RecordId,
        /// The action.
        act: RecordAction,
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
        spec: Spec,
        /// The operator who asks.
        who: String,
    },
    /// Run, pause or cancel a batch.
    Order {
        /// The batch's name.
        name: String,
        /// Whether to run, pause or cancel it.
        order: Order,
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
    pub need: Option<Need>,
}

/// The state of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreReport {
    /// Totals of what it holds.
    pub sums: Sums,
    /// Undeliverable messages that could not be stored.
    pub lost: u64,
    /// Resends in flight.
    pub out: usize,
    /// Why the store cannot be written now; none if it can.
    pub trouble: Option<String>,
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
    Refused(record::Refusal),
    /// A batch was not changed.
    BatchRefused(batch::Refusal),
    /// The store cannot be used now, or the relay has none, for this reason.
    Unavailable(String),
    /// Too much is in progress; retry after so many milliseconds.
    Busy(u64),
}

/// A request with the channel for its response.
pub struct UndeliverableCall {
    /// The request.
    pub ask: UndeliverableRequest,
    /// Channel for the response.
    pub reply: oneshot::Sender<UndeliverableResponse>,
}

/// An event for the undeliverable service.
pub enum UndeliverableEvent {
    /// A front end's request.
    UndeliverableCall(UndeliverableCall),
    /// A query to a partner, whether a message took effect, has ended.
    PartnerAnswered {
        /// The record.
        id: RecordId,
        /// When the query was sent, in Unix time in microseconds.
        asked: Micros,
        /// The partner's statement; none if there was no valid answer.
        says: Option<Says>,
    },
}
