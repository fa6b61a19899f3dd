//! What fronts ask about undeliverable messages, and what they are told.

use tokio::sync::oneshot;
use undeliverable::batch::{self, Batch, Order, Spec};
use undeliverable::record::{self, Says};
use undeliverable::store::{By, Page, Sums};
use undeliverable::{Filter, Micros, Need, Record, RecordId};

/// What is to be done with a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordAction {
    /// Set it aside for the one who asks.
    Claim,
    /// Give that up.
    Release,
    /// Send it again.
    Resend,
    /// Take down what the one who asks says of it.
    State(Says),
    /// Ask its partner.
    AskPartner,
    /// Close it without more.
    Discard,
}

/// What is asked.
#[derive(Clone, Debug)]
pub enum UndeliverableRequest {
    /// Records that fit, newest first.
    Page {
        /// Which.
        filter: Filter,
        /// Only those before this one.
        before: Option<RecordId>,
        /// So many at most.
        most: usize,
    },
    /// One record.
    Find(RecordId),
    /// The body of its message.
    Body(RecordId),
    /// How many there are by each value.
    Counts(By),
    /// How the store does.
    StoreReport,
    /// Do something with a record.
    RecordAction {
        /// Which.
        id: RecordId,
        /// What.
        act: RecordAction,
        /// Who wants it.
        who: String,
        /// Only in this version.
        version: Option<u32>,
    },
    /// All batches.
    Batches,
    /// Plan a batch: count what it would do, and do nothing.
    Plan {
        /// What is wanted.
        spec: Spec,
        /// Who wants it.
        who: String,
    },
    /// Run, pause or cancel a batch.
    Order {
        /// Its name.
        name: String,
        /// What is wanted.
        order: Order,
        /// Only in this version.
        version: Option<u32>,
    },
}

/// A record as it is shown.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordView {
    /// Its number.
    pub id: RecordId,
    /// The record.
    pub record: Record,
    /// What it needs before it can be sent again; none if it could be sent now.
    pub need: Option<Need>,
}

/// How the store does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreReport {
    /// What it holds.
    pub sums: Sums,
    /// Messages that were given up and could not be kept.
    pub lost: u64,
    /// Messages that are being sent again.
    pub out: usize,
    /// Why nothing is kept now; none if all is well.
    pub trouble: Option<String>,
}

/// What is told.
#[derive(Clone, Debug)]
pub enum UndeliverableResponse {
    /// Records.
    Page(Page),
    /// One record.
    Found(Box<RecordView>),
    /// A body.
    Body(Vec<u8>),
    /// Counts.
    Counts(Vec<(String, u64)>),
    /// How the store does.
    StoreReport(StoreReport),
    /// Batches.
    Batches(Vec<Batch>),
    /// One batch.
    Batch(Box<Batch>),
    /// A record was not changed.
    Refused(record::Refusal),
    /// A batch was not changed.
    BatchRefused(batch::Refusal),
    /// The store can't be used now, or the relay has none.
    Unavailable(String),
    /// Too much is under way; come again after so many milliseconds.
    Busy(u64),
}

/// A question with the way back for its answer.
pub struct UndeliverableCall {
    /// What is asked.
    pub ask: UndeliverableRequest,
    /// Where the answer goes.
    pub reply: oneshot::Sender<UndeliverableResponse>,
}

/// What happens about undeliverable messages.
pub enum UndeliverableEvent {
    /// A front asks.
    UndeliverableCall(UndeliverableCall),
    /// A partner was asked whether a message took effect.
    PartnerAnswered {
        /// The record.
        id: RecordId,
        /// When it was asked, in Unix time.
        asked: Micros,
        /// What it says; none if it gave no answer that can be read.
        says: Option<Says>,
    },
}
