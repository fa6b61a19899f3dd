//! Queries partners whether messages took effect, and limits the queries in progress and the rate per record.

use std::collections::{BTreeMap, BTreeSet};

use policy::types::Micros;
use relay_events::undeliverable::UndeliverableEvent;
use relay_events::RelayEvent;
use runtime::Runtime;
use tokio::sync::mpsc;
use undeliverable::{Record, RecordId};

use super::partner_client::PartnerQuery;
use super::settings::Partner;

/// Maximum number of queries in progress.
const MAX_PARTNER_QUERIES: usize = 8;
/// Minimum time between two queries for the same record, in microseconds.
const PARTNER_QUERY_INTERVAL: Micros = 10_000_000;

/// Whether a partner's answer can be expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryState {
    /// An answer is awaited, or a query can be sent once others have ended or its answer can count.
    Awaited,
    /// The partner was queried recently or cannot be queried, or the record cannot be read.
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
    /// Creates a set without queries. Answers are sent to `relay_events`, the event loop's channel.
    pub fn new(runtime: R, relay_events: mpsc::Sender<RelayEvent>, partners: Vec<Partner>) -> Self {
        PartnerQueries {
            runtime,
            relay_events,
            partners,
            queried_at: BTreeMap::new(),
            in_progress: BTreeSet::new(),
        }
    }

    /// Queries the partner of a record, unless a query is in progress or was sent recently. An answer of `not applied`
    /// counts only if it was requested from `answers_count_from` on, so a query before that time does not delay one after
    /// it; `None` if the time is not known yet.
    pub fn query(
        &mut self,
        id: RecordId,
        record: &Record,
        answers_count_from: Option<Micros>,
        now: Micros,
    ) -> QueryState {
        if self.in_progress.contains(&id) {
            return QueryState::Awaited;
        }
        let destination = record.origin.destination;
        let mut partners = self.partners.iter();
        let Some(partner) = partners.find(|partner| partner.destination == destination) else {
            return QueryState::NotPossible;
        };
        if let Some(queried_at) = self.recent_query(id, now) {
            match answers_count_from.filter(|from| *from <= now) {
                None => return QueryState::Awaited,
                Some(from) if queried_at >= from => return QueryState::NotPossible,
                Some(_) => {}
            }
        }
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
            // Sending fails only if the event loop has ended; the answer is then not needed.
            drop(relay_events.send(RelayEvent::Undeliverable(event)).await);
        });
    }

    /// Marks the query for a record as ended.
    pub fn query_completed(&mut self, id: RecordId) {
        self.in_progress.remove(&id);
    }

    /// When the partner was queried for a record, if that was recently.
    fn recent_query(&self, id: RecordId, now: Micros) -> Option<Micros> {
        let queried_at = self.queried_at.get(&id).copied();
        queried_at.filter(|at| is_recent(*at, now))
    }

    /// Allows the next query for a record before the interval is over.
    pub fn forget(&mut self, id: RecordId) {
        self.queried_at.remove(&id);
    }

    /// Whether a query for a record would have to wait for others to end.
    pub fn is_at_limit(&self, id: RecordId) -> bool {
        self.in_progress.len() >= MAX_PARTNER_QUERIES && !self.in_progress.contains(&id)
    }
}

/// Whether a query was sent within the interval. A time in the future dates from before the clock was set back, and
/// does not count as recent.
fn is_recent(queried_at: Micros, now: Micros) -> bool {
    queried_at.saturating_add(PARTNER_QUERY_INTERVAL) > now && queried_at <= now
}
