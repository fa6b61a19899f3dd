//! Queries of partners whether a message took effect: which are in progress, and how often a record is queried.

use std::collections::{BTreeMap, BTreeSet};

use policy::types::Micros;
use relay_events::undeliverable::UndeliverableEvent;
use relay_events::RelayEvent;
use runtime::Runtime;
use tokio::sync::mpsc;
use undeliverable::RecordId;

use super::partner_client::PartnerQuery;
use super::settings::Partner;
use super::store_lifecycle::StoreLifecycle;

/// The most queries in progress.
const MAX_PARTNER_QUERIES: usize = 8;
/// The least time between two queries on the same record, in microseconds.
const PARTNER_QUERY_INTERVAL: Micros = 10_000_000;

/// Whether a partner's answer can be expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryState {
    /// An answer is awaited, or the query will be sent once others have ended.
    Awaited,
    /// The partner was queried lately or cannot be queried, or the record cannot be read.
    NotPossible,
}

/// The queries in progress and the recent ones.
pub struct PartnerQueries<R: Runtime> {
    runtime: R,
    relay_events: mpsc::Sender<RelayEvent>,
    partners: Vec<Partner>,
    /// When the partners of records were last queried.
    queried_at: BTreeMap<RecordId, Micros>,
    in_progress: BTreeSet<RecordId>,
}

impl<R: Runtime> PartnerQueries<R> {
    /// No queries. Answers go to the event loop's channel.
    pub fn new(runtime: R, relay_events: mpsc::Sender<RelayEvent>, partners: Vec<Partner>) -> Self {
        PartnerQueries {
            runtime,
            relay_events,
            partners,
            queried_at: BTreeMap::new(),
            in_progress: BTreeSet::new(),
        }
    }

    /// Queries the partner of a record, unless that is in progress or was done lately.
    pub fn query(
        &mut self,
        id: RecordId,
        store: &mut StoreLifecycle<R>,
        now: Micros,
    ) -> QueryState {
        if self.in_progress.contains(&id) {
            return QueryState::Awaited;
        }
        if self
            .queried_at
            .get(&id)
            .is_some_and(|at| is_recent(*at, now))
        {
            return QueryState::NotPossible;
        }
        let Some(record) = store.access(|store| store.find(id)).flatten() else {
            return QueryState::NotPossible;
        };
        let destination = record.origin.destination;
        let mut partners = self.partners.iter();
        let Some(partner) = partners.find(|partner| partner.destination == destination) else {
            return QueryState::NotPossible;
        };
        if self.in_progress.len() >= MAX_PARTNER_QUERIES {
            return QueryState::Awaited;
        }
        let key = record.origin.idempotency_key.as_deref();
        let query = PartnerQuery::new(partner, &record.origin.name, key);
        self.queried_at.retain(|_, at| is_recent(*at, now));
        self.queried_at.insert(id, now);
        self.in_progress.insert(id);
        self.spawn(id, query, now);
        QueryState::Awaited
    }

    fn spawn(&self, id: RecordId, query: PartnerQuery, queried_at: Micros) {
        let runtime = self.runtime.clone();
        let relay_events = self.relay_events.clone();
        self.runtime.spawn(async move {
            let claim = query.run(runtime).await;
            let event = UndeliverableEvent::PartnerQueryCompleted {
                id,
                queried_at,
                claim,
            };
            // The event loop may have ended.
            drop(relay_events.send(RelayEvent::Undeliverable(event)).await);
        });
    }

    /// A query has ended.
    pub fn query_completed(&mut self, id: RecordId) {
        self.in_progress.remove(&id);
    }

    /// Lets the partner of a record be queried at once.
    pub fn forget(&mut self, id: RecordId) {
        self.queried_at.remove(&id);
    }

    /// Whether a query on a record would have to wait for others to end.
    pub fn is_at_limit(&self, id: RecordId) -> bool {
        self.in_progress.len() >= MAX_PARTNER_QUERIES && !self.in_progress.contains(&id)
    }
}

/// Whether a query was sent within the interval. One in the future was sent before the clock was set back, and is not
/// recent.
fn is_recent(queried_at: Micros, now: Micros) -> bool {
    queried_at.saturating_add(PARTNER_QUERY_INTERVAL) > now && queried_at <= now
}
