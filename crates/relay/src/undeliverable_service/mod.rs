//! Undeliverable messages: hands what is given up over to the store, answers fronts, and sends records again.
//!
//! What may be sent again is decided in [`undeliverable`]; a resend goes through the same decision
//! module, journal and hosts as any other message. The order of steps keeps a resend from being made twice:
//!
//! 1. the record's state becomes `sending`, with the resend's number, and that is kept;
//! 2. the resend is taken on in the journal, which names the record and the number;
//! 3. it runs its course; its end is kept in the record;
//! 4. the journal forgets it.
//!
//! A process that ends between two of them finds at its next start which steps were made: a record that is being
//! sent, of which the journal holds nothing, was not begun; what the journal holds goes on.

mod partner;
mod settings;

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bytes::Bytes;
use policy::types::{AttemptOutcome, Class, Idempotency, MessageId, Micros};
use relay_events::undeliverable::{
    RecordAction, RecordView, StoreReport, UndeliverableEvent, UndeliverableRequest,
    UndeliverableResponse,
};
use relay_events::{DeliveryFailure, RelayEvent};
use runtime::{log, Runtime};
use tokio::sync::mpsc;
use undeliverable::batch::{self, Batch, BatchCommand, BatchCounts, BatchSpec};
use undeliverable::record::{self, Attester, ExecutionClaim, Origin, RecordError, Resolution};
use undeliverable::resend_policy::{check_resend, ResendBlocked, ResendPermit, ResendPolicy};
use undeliverable::rules::{PartnerHealth, Rules};
use undeliverable::store::{GroupCounts, StoreError};
use undeliverable::{Attempt, Filter, Outcome, Reason, Record, RecordId, RecordState, Store};

use crate::journal::{self, AcceptedMessage, PendingMessage, ResendOrigin};
use partner::Question;
pub use settings::{Settings, SettingsError};

/// Batches and rules are looked after so often.
const LOOK: Duration = Duration::from_millis(50);
/// A store that can't be used is opened again after this.
const REOPEN: Duration = Duration::from_secs(1);
/// What is past the caps is dropped so often, and so many at a time.
const DROP: (Duration, usize) = (Duration::from_secs(2), 500);
/// Given-up messages that wait for a store that can't be used; more are lost, and counted.
const MOST_FRESH: usize = 1000;
/// Records of batches that are looked at in one go, and of rules.
const LOOKED_AT: usize = 64;
/// Records of a dry run that are counted at most; of more the batch tells so many.
const MOST_COUNTED: u64 = 100_000;
/// Partners that are asked at once, and how soon one is asked again for the same record.
const MOST_ASKED: usize = 8;
const ASK_AGAIN: Micros = 10_000_000;
/// How a batch stands is kept so often, beside when it is ordered to do something.
const KEEP_COUNTS: Duration = Duration::from_secs(1);
/// Whoever finds too much under way comes again after this, in milliseconds.
const COME_AGAIN: u64 = 200;
/// A record is not sent again before its last call, which is called off when its message is given up, has surely ended.
const REST: Duration = Duration::from_secs(1);
/// Spoilt stores that a process puts aside; past that what is given up is not kept until an operator has looked.
const MOST_ASIDE: u32 = 4;

/// What the relay has to spare.
#[derive(Clone, Copy, Debug)]
pub struct Live {
    /// Messages held.
    pub held: usize,
    /// Messages held at most.
    pub most_held: usize,
    /// Calls out.
    pub out: usize,
    /// Calls out at most.
    pub slots: usize,
}

impl Live {
    /// Guards live messages: nothing is sent again while they have half of the hold or of the slots.
    fn spare(&self) -> bool {
        self.held * 2 < self.most_held.max(2) && self.out * 2 < self.slots.max(2)
    }
}

/// A record that is to go to the decision module now.
pub struct Resend {
    /// The record and the number of its resend.
    pub again: ResendOrigin,
    /// The message, whose time is not set.
    pub taken: AcceptedMessage,
}

#[derive(Clone)]
struct Out {
    again: ResendOrigin,
    by: String,
    /// The message's name. A store that was begun anew gives the same number to another record.
    name: String,
}

impl Out {
    /// Whether a record is the one that is out, and still is.
    fn is(&self, record: &Record) -> bool {
        let sending = matches!(record.state, RecordState::Sending { .. });
        sending && record.resends == self.again.number && record.origin.name == self.name
    }
}

/// The desk of undeliverable messages.
pub struct UndeliverableService<R: Runtime> {
    runtime: R,
    set: Settings,
    inputs: mpsc::Sender<RelayEvent>,
    path: PathBuf,
    store: Option<Store>,
    trouble: Option<String>,
    reopen: Instant,
    /// Spoilt stores put aside so far.
    aside: u32,
    /// Given up and not kept yet.
    fresh: Vec<(Record, Bytes)>,
    lost: u64,
    batches: BTreeMap<String, Batch>,
    /// Batches that have changed since they were kept.
    changed: BTreeSet<String>,
    rules: Rules,
    partners: PartnerHealth,
    /// Where the rules look next.
    looked: RecordId,
    out: BTreeMap<MessageId, Out>,
    /// Ends that could not be kept: delivered, or the attempts and why.
    ends: BTreeMap<MessageId, End>,
    /// Partners that are being asked or were lately, and when.
    asked: BTreeMap<RecordId, Micros>,
    asking: BTreeSet<RecordId>,
    /// Records that rest until then.
    resting: BTreeMap<RecordId, Instant>,
    look: Instant,
    drop: Instant,
    /// Counts of batches are kept then.
    keep_counts: Instant,
}

/// How a resend ended.
#[derive(Clone, Debug)]
enum End {
    Delivered,
    /// Its attempts, why it failed, and what is kept of it if its record is gone.
    Back(Vec<Attempt>, Option<Reason>, Box<(Record, Bytes)>),
}

fn effect(class: &Class) -> record::Idempotency {
    match class.idempotency {
        Idempotency::Idempotent => record::Idempotency::Idempotent,
        // Which zone knows a key is not kept: such a one is taken for unsafe.
        Idempotency::Keyed {
            zone_only: true, ..
        }
        | Idempotency::NonIdempotent => record::Idempotency::NonIdempotent,
        Idempotency::Keyed { window, .. } => record::Idempotency::Keyed { window },
    }
}

/// How the story calls an outcome.
pub fn stored_outcome(outcome: AttemptOutcome) -> Outcome {
    match outcome {
        AttemptOutcome::Delivered => Outcome::Delivered,
        AttemptOutcome::Error => Outcome::Error,
        AttemptOutcome::Rejected { .. } => Outcome::Refused,
        AttemptOutcome::Timeout => Outcome::TimedOut,
        AttemptOutcome::ConnectFailed => Outcome::NotConnected,
        AttemptOutcome::Reset | AttemptOutcome::ConnectionLost => Outcome::Broken,
        AttemptOutcome::Cancelled => Outcome::Cancelled,
        AttemptOutcome::Obsolete | AttemptOutcome::NotStarted => Outcome::NotSent,
    }
}

/// A message's attempts as the store has them, without those from before a resend.
fn story(owed: &PendingMessage) -> Vec<Attempt> {
    let (number, past) = owed.resend.map_or((0, 0), |again| {
        (again.number, usize::from(again.past_attempt.is_some()))
    });
    let attempts = owed.attempts.iter().enumerate().skip(past);
    let attempt = |(at, attempt): (usize, &journal::Attempt)| {
        let (host, outcome) = owed
            .outcomes
            .get(&(at as u8))
            .cloned()
            .unwrap_or((String::new(), Outcome::Unknown));
        Attempt {
            sent: attempt.sent_at,
            host,
            outcome,
            may_have_run: attempt.may_have_executed,
            resend: number,
        }
    };
    attempts.map(attempt).collect()
}

/// Why a message was given up, as far as what is known of it tells.
fn reason(
    owed: &PendingMessage,
    class: Option<&Class>,
    abandoned: bool,
    most_attempts: usize,
    now: Micros,
) -> Reason {
    let Some(class) = class else {
        return Reason::NotKnown;
    };
    let may_have_run = owed
        .attempts
        .iter()
        .any(|attempt| attempt.may_have_executed);
    // The module ends a message a few rounds before its time is up.
    let late = now + 100_000 >= owed.accepted.deadline;
    match class.idempotency {
        _ if abandoned => Reason::TenantRemoved,
        _ if late && owed.attempts.is_empty() => Reason::OutOfTimeUnsent,
        _ if owed.attempts.len() >= most_attempts => Reason::AttemptsSpent,
        Idempotency::NonIdempotent if may_have_run => Reason::MayHaveRun,
        _ if late => Reason::OutOfTime,
        Idempotency::Keyed { .. } if may_have_run => Reason::KeyForgotten,
        _ => Reason::GivenUp,
    }
}

impl<R: Runtime> UndeliverableService<R> {
    /// Opens the store. One that can't be used is tried again later: the relay serves all the same.
    pub fn new(runtime: R, set: Settings, inputs: mpsc::Sender<RelayEvent>) -> Self {
        let now = runtime.now();
        let path = Path::new(&set.folder).join("undeliverable.redb");
        let rules = Rules::new(set.rules());
        let mut desk = UndeliverableService {
            runtime,
            set,
            inputs,
            path,
            store: None,
            trouble: None,
            reopen: now,
            aside: 0,
            fresh: Vec::new(),
            lost: 0,
            batches: BTreeMap::new(),
            changed: BTreeSet::new(),
            rules,
            partners: PartnerHealth::default(),
            looked: 0,
            out: BTreeMap::new(),
            ends: BTreeMap::new(),
            asked: BTreeMap::new(),
            asking: BTreeSet::new(),
            resting: BTreeMap::new(),
            look: now,
            drop: now,
            keep_counts: now,
        };
        desk.open();
        desk
    }

    fn open(&mut self) {
        self.reopen = self.runtime.now() + REOPEN;
        let pages = self
            .runtime
            .open_random_access(&self.path)
            .map_err(|e| StoreError::Database(e.to_string()));
        let opened = pages.and_then(|pages| Store::open(pages, self.set.sync));
        let opened = opened.and_then(|store| store.batches().map(|batches| (store, batches)));
        match opened {
            Ok((store, batches)) => {
                for batch in batches {
                    self.batches.entry(batch.spec.name.clone()).or_insert(batch);
                }
                self.store = Some(store);
                if self.trouble.take().is_some() {
                    log!(self.runtime, "undeliverable: the store can be used again");
                }
            }
            Err(error) => {
                self.broken(&error);
                if matches!(error, StoreError::Corrupt(_)) {
                    self.put_aside();
                }
            }
        }
    }

    /// The store can't be used for now.
    fn broken(&mut self, error: &StoreError) {
        if self.trouble.is_none() {
            log!(self.runtime, "undeliverable: {error}");
        }
        self.store = None;
        self.trouble = Some(error.to_string());
    }

    /// A store that is spoilt is kept for whoever can read it, and a new one is begun: what it held can't be told
    /// truly. Resends that are out find their records gone.
    fn put_aside(&mut self) {
        if self.aside >= MOST_ASIDE {
            return;
        }
        self.aside += 1;
        let name = format!("spoilt-{}", self.runtime.unix_time().as_secs());
        let aside = self.path.with_extension(name);
        match self.runtime.rename(&self.path, &aside) {
            Ok(()) => {
                log!(
                    self.runtime,
                    "undeliverable: the store is put aside as {}",
                    aside.display()
                );
                self.batches.clear();
                self.changed.clear();
                self.looked = 0;
            }
            Err(e) => log!(
                self.runtime,
                "undeliverable: the store can't be put aside: {e}"
            ),
        }
    }

    /// What the store gives, or nothing and the trouble is noted.
    fn with<T>(&mut self, what: impl FnOnce(&Store) -> Result<T, StoreError>) -> Option<T> {
        match what(self.store.as_ref()?) {
            Ok(value) => Some(value),
            // One record that can't be read is no reason to leave the others.
            Err(StoreError::Unreadable(id)) => {
                log!(self.runtime, "undeliverable: record {id} can't be read");
                None
            }
            Err(error) => {
                self.broken(&error);
                None
            }
        }
    }

    fn terms(&self, now: Micros) -> ResendPolicy {
        ResendPolicy {
            now,
            key_expiry_margin: self.set.key_expiry_margin(),
            settle_time: self.set.settle_time(),
            attestation_validity: self.set.attestation_validity(),
            max_resends: self.set.max_resends,
        }
    }

    /// When it wants to be looked after next.
    pub fn next_run_at(&self) -> Instant {
        self.look
    }

    /// After the store was opened: what the journal holds of resends goes on. What is being sent by the store's word and
    /// is not in the journal was most likely not begun; but a store whose newest change was torn or spoilt opens as it was before
    /// that, and then its end may be what is missing. It is a doubt.
    pub fn reconcile(&mut self, now: Micros) {
        let held: BTreeSet<(RecordId, u32)> = self
            .out
            .values()
            .map(|out| (out.again.record, out.again.number))
            .collect();
        let sending = Filter {
            state: Some("sending".into()),
            ..Filter::default()
        };
        let mut after = 0;
        while let Some(page) = self.with(|store| store.page_after(&sending, after, 200)) {
            for (id, record) in &page.records {
                if !held.contains(&(*id, record.resends)) {
                    let by = record.state.clone();
                    self.with(|store| {
                        store.update(*id, |record| {
                            record.record_unknown_outcome(now);
                            Ok::<_, RecordError>(())
                        })
                    });
                    if let RecordState::Sending { by, .. } = by {
                        self.batch_ended(&by, false);
                    }
                }
            }
            let Some(next) = page.next else { break };
            after = next;
        }
        let outs: Vec<String> = self.out.values().map(|out| out.by.clone()).collect();
        for batch in self.batches.values_mut() {
            let sender = batch.sender_name();
            batch.resume_after_restart(outs.iter().filter(|by| **by == sender).count() as u32, now);
        }
    }

    /// A resend from before the restart goes on.
    pub fn resend_restored(&mut self, id: MessageId, again: ResendOrigin, name: &str, now: Micros) {
        // The journal is right where the store has gone back.
        self.with(|store| {
            store.update(again.record, |record| {
                if record.origin.name == name {
                    record.continue_resend("", again.number, now);
                }
                Ok::<_, RecordError>(())
            })
        });
        self.resend_started(id, again, name);
    }

    /// Whether a resend from the journal has its end in the store already: it must not be made again.
    pub fn is_closed(&mut self, again: &ResendOrigin, name: &str) -> bool {
        let found = self.with(|store| store.find(again.record)).flatten();
        found.is_some_and(|record| {
            let sending = matches!(record.state, RecordState::Sending { .. });
            let known = record.resends == again.number && !sending || record.resends > again.number;
            record.origin.name == name && (known || matches!(record.state, RecordState::Closed(..)))
        })
    }

    /// A message was given up; it is kept with the next [`Desk::keep`].
    pub fn record_given_up(
        &mut self,
        owed: &PendingMessage,
        class: Option<&Class>,
        abandoned: bool,
        most_attempts: usize,
        now: Micros,
    ) {
        let record = self.record(owed, class, abandoned, most_attempts, now);
        self.fresh(record, owed.accepted.body.clone());
    }

    /// The record of a message that was given up.
    fn record(
        &self,
        owed: &PendingMessage,
        class: Option<&Class>,
        abandoned: bool,
        most_attempts: usize,
        now: Micros,
    ) -> Record {
        let taken = &owed.accepted;
        let origin = Origin {
            name: taken.name.clone(),
            tenant: taken.tenant.clone(),
            class: taken.class.clone(),
            destination: taken.destination,
            idempotency_key: taken.idempotency_key.clone(),
            ordering_key: taken.ordering_key,
            deadline: taken.deadline,
        };
        Record {
            origin,
            idempotency: class.map_or(record::Idempotency::NonIdempotent, effect),
            size: taken.body.len() as u32,
            given_up_at: now,
            reason: reason(owed, class, abandoned, most_attempts, now),
            attempts: story(owed),
            attestations: Vec::new(),
            state: RecordState::Open,
            version: 1,
            resends: 0,
        }
    }

    fn fresh(&mut self, record: Record, body: Bytes) {
        if self.fresh.len() >= MOST_FRESH {
            self.fresh.remove(0);
            self.lost += 1;
            if self.lost % 100 == 1 {
                log!(
                    self.runtime,
                    "undeliverable: {} messages could not be kept",
                    self.lost
                );
            }
        }
        self.fresh.push((record, body));
    }

    /// Keeps what was given up. Must have been called before the journal forgets any of it.
    pub fn flush(&mut self) {
        if self.fresh.is_empty() || self.store.is_none() {
            return;
        }
        let fresh = std::mem::take(&mut self.fresh);
        let all: Vec<(Record, &[u8])> = fresh
            .iter()
            .map(|(record, body)| (record.clone(), &body[..]))
            .collect();
        match self.with(|store| store.insert(&all)) {
            Some(numbers) => self.rest(&numbers),
            None => self.fresh = fresh,
        }
    }

    fn rest(&mut self, records: &[RecordId]) {
        let now = self.runtime.now();
        self.resting.retain(|_, until| *until > now);
        self.resting
            .extend(records.iter().map(|id| (*id, now + REST)));
    }

    /// Whether it is too early to send a record again.
    fn rests(&self, id: RecordId) -> bool {
        let now = self.runtime.now();
        self.resting.get(&id).is_some_and(|until| *until > now)
    }

    /// Whether a message is a resend.
    pub fn is_resend(&self, id: MessageId) -> bool {
        self.out.contains_key(&id)
    }

    /// A live call has ended.
    pub fn attempt_ended(&mut self, destination: u16, outcome: AttemptOutcome, now: Micros) {
        if !self.rules.is_empty() {
            self.partners
                .record_call(destination, outcome == AttemptOutcome::Delivered, now);
        }
    }

    /// A resend was delivered. True once that is kept, so that the journal may forget it.
    pub fn resend_delivered(&mut self, id: MessageId, now: Micros) -> bool {
        self.end(id, End::Delivered, now)
    }

    /// A resend was given up or handed back. True once that is kept, so that the journal may forget it.
    pub fn resend_failed(
        &mut self,
        id: MessageId,
        owed: &PendingMessage,
        class: Option<&Class>,
        verdict: DeliveryFailure,
        most_attempts: usize,
        now: Micros,
    ) -> bool {
        let failed = matches!(verdict, DeliveryFailure::Undeliverable)
            || owed.attempts.len() >= most_attempts;
        let why = failed.then(|| reason(owed, class, false, most_attempts, now));
        let mut whole = owed.clone();
        whole.resend = None;
        let kept = self.record(&whole, class, false, most_attempts, now);
        self.end(
            id,
            End::Back(
                story(owed),
                why,
                Box::new((kept, owed.accepted.body.clone())),
            ),
            now,
        )
    }

    fn end(&mut self, id: MessageId, end: End, now: Micros) -> bool {
        let Some(out) = self.out.get(&id) else {
            return true;
        };
        let out = out.clone();
        let (again, by) = (out.again, out.by.clone());
        let delivered = matches!(end, End::Delivered);
        let change = |record: &mut Record| {
            // Another resend's end, or a closed record: this end was kept before a restart.
            let theirs = record.origin.name == out.name;
            if out.is(record) {
                match &end {
                    End::Delivered => record.resolve(Resolution::Delivered, now),
                    End::Back(attempts, why, _) => {
                        record.reopen_after_resend(attempts.clone(), *why)
                    }
                }
            }
            Ok::<_, RecordError>(theirs)
        };
        let kept = self
            .store
            .as_ref()
            .map(|store| store.update(again.record, change));
        match kept {
            Some(Ok(Some(Ok(true)))) => {}
            // The record can't be read, or is gone with a store that was put aside: what is known of the message is
            // kept anew.
            Some(Ok(_) | Err(StoreError::Unreadable(_))) => {
                if let End::Back(_, _, kept) = end {
                    self.fresh(kept.0, kept.1);
                    self.flush();
                }
            }
            other => {
                if let Some(Err(error)) = other {
                    self.broken(&error);
                }
                self.ends.insert(id, end);
                return false;
            }
        }
        self.out.remove(&id);
        self.rest(&[again.record]);
        // What its partner said before says nothing of this attempt.
        self.asked.remove(&again.record);
        self.batch_ended(&by, delivered);
        true
    }

    fn batch_ended(&mut self, by: &str, delivered: bool) {
        let Some(batch) = by
            .strip_prefix("batch ")
            .and_then(|name| self.batches.get_mut(name))
        else {
            return;
        };
        if batch.record_outcome(delivered) {
            log!(
                self.runtime,
                "undeliverable: batch {} has stopped, as too many fail",
                batch.spec.name
            );
        }
        self.changed.insert(batch.spec.name.clone());
    }

    /// A resend could not be handed over.
    pub fn resend_not_started(&mut self, again: &ResendOrigin) {
        let by = self.with(|store| {
            store.update(again.record, |record| {
                let by = match &record.state {
                    RecordState::Sending { by, .. } => by.clone(),
                    _ => String::new(),
                };
                record.abort_resend();
                Ok::<_, RecordError>(by)
            })
        });
        if let Some(Some(Ok(by))) = by {
            self.batch_ended(&by, false);
        }
    }

    /// The resend is in the journal under this number.
    pub fn resend_started(&mut self, id: MessageId, again: ResendOrigin, name: &str) {
        let mut out = Out {
            again,
            by: String::new(),
            name: name.into(),
        };
        let found = self
            .with(|store| store.find(again.record))
            .flatten()
            .filter(|record| out.is(record));
        if let Some(RecordState::Sending { by, .. }) = found.map(|record| record.state) {
            out.by = by;
        }
        self.out.insert(id, out);
    }

    /// Makes a record ready to be sent again, if it may be.
    fn start(
        &mut self,
        id: RecordId,
        sender: &str,
        who: &str,
        version: Option<u32>,
        now: Micros,
    ) -> Option<Result<Resend, RecordError>> {
        let terms = self.terms(now);
        // A look costs much less than a change that is not made.
        let looked = self.with(|store| store.find(id))?;
        let Some(record) = looked else {
            return Some(Err(RecordError::NoRecord));
        };
        let free = record.check_unclaimed(who, version, now);
        if let Err(refusal) =
            free.and_then(|()| check_resend(&record, &terms).map_err(RecordError::ResendBlocked))
        {
            return Some(Err(refusal));
        }
        if self.rests(id) {
            return Some(Err(RecordError::Settling));
        }
        let found = self.with(|store| {
            let Some(body) = store.body(id)? else {
                return Ok(None);
            };
            let begun = store.update(id, |record| {
                record.check_unclaimed(who, version, now)?;
                let clearance = check_resend(record, &terms).map_err(RecordError::ResendBlocked)?;
                let number = record.begin_resend(sender, now);
                Ok((clearance, number, record.origin.clone()))
            })?;
            Ok(begun.map(|begun| begun.map(|begun| (begun, body))))
        })?;
        let Some(begun) = found else {
            return Some(Err(RecordError::NoRecord));
        };
        Some(begun.map(|((clearance, number, origin), body)| {
            let past = match clearance {
                ResendPermit::AsNew => None,
                ResendPermit::Keyed { first } => Some(journal::Attempt {
                    sent_at: first,
                    zone: 0,
                    may_have_executed: true,
                }),
            };
            let Origin {
                name,
                tenant,
                class,
                destination,
                idempotency_key: key,
                ordering_key: order,
                ..
            } = origin;
            let body = Bytes::from(body);
            let taken = AcceptedMessage {
                name,
                idempotency_key: key,
                ordering_key: order,
                class,
                tenant,
                destination,
                deadline: 0,
                is_resubmitted: true,
                body,
            };
            Resend {
                again: ResendOrigin {
                    record: id,
                    number,
                    past_attempt: past,
                },
                taken,
            }
        }))
    }

    /// Looks after the store, batches and rules; gives what is to be sent now, and the resends whose ends have been
    /// kept meanwhile, so that the journal may forget them.
    pub fn run(&mut self, now: Micros, live: Live) -> (Vec<Resend>, Vec<MessageId>) {
        let at = self.runtime.now();
        self.look = at + LOOK;
        if self.store.is_none() && self.reopen <= at {
            self.open();
            self.reconcile(now);
        }
        self.flush();
        let mut ended = Vec::new();
        for (id, end) in std::mem::take(&mut self.ends) {
            if self.end(id, end, now) {
                ended.push(id);
            }
        }
        if self.drop <= at {
            self.drop = at + DROP.0;
            let caps = self.set.store_limits();
            if let Some(dropped @ 1..) =
                self.with(|store| store.evict_beyond_limits(&caps, now, DROP.1))
            {
                log!(
                    self.runtime,
                    "undeliverable: {dropped} records are dropped, past the caps"
                );
                if dropped as usize >= DROP.1 {
                    self.drop = at;
                }
            }
        }
        let mut resends = Vec::new();
        if self.store.is_some() && live.spare() {
            self.run_batches(now, &mut resends);
            self.run_rules(now, &mut resends);
        }
        self.keep_batches();
        (resends, ended)
    }

    fn room(&self, resends: &[Resend]) -> bool {
        self.out.len() + resends.len() < self.set.max_concurrent_resends
    }

    fn run_batches(&mut self, now: Micros, resends: &mut Vec<Resend>) {
        let names: Vec<String> = self.batches.keys().cloned().collect();
        for name in names {
            let sender = format!("batch {name}");
            for _ in 0..LOOKED_AT {
                let room = self.room(resends);
                let Some(batch) = self.batches.get_mut(&name).filter(|_| room) else {
                    break;
                };
                if batch.check_pace(now).is_err() {
                    break;
                }
                let (filter, looked, upto) = (
                    batch.spec.filter.only_open(),
                    batch.last_examined,
                    batch.last_planned,
                );
                let Some(page) = self.with(|store| store.page_after(&filter, looked, 1)) else {
                    return;
                };
                let Some(batch) = self.batches.get_mut(&name) else {
                    break;
                };
                let next = page.records.first().map(|(id, _)| *id).or(page.next);
                let Some(id) = next.filter(|id| *id <= upto) else {
                    let before = batch.version;
                    batch.mark_exhausted();
                    if batch.version != before {
                        self.changed.insert(name.clone());
                    }
                    break;
                };
                if page.records.is_empty() {
                    batch.last_examined = id;
                    continue;
                }
                self.changed.insert(name.clone());
                match self.start(id, &sender, &sender, None, now) {
                    Some(Ok(resend)) => {
                        resends.push(resend);
                        self.batches
                            .get_mut(&name)
                            .into_iter()
                            .for_each(|batch| batch.record_sent(id));
                    }
                    Some(Err(refusal)) => {
                        // The batch waits while the partner is asked, or the last call ends.
                        if refusal == RecordError::Settling || self.look_into(id, &refusal, now) {
                            break;
                        }
                        self.batches
                            .get_mut(&name)
                            .into_iter()
                            .for_each(|batch| batch.record_skipped(id));
                    }
                    None => return,
                }
            }
        }
    }

    fn run_rules(&mut self, now: Micros, resends: &mut Vec<Resend>) {
        if self.rules.is_empty() || !self.rules.has_capacity(now) || !self.room(resends) {
            return;
        }
        let (open, looked) = (Filter::default().only_open(), self.looked);
        let Some(page) = self.with(|store| store.page_after(&open, looked, LOOKED_AT)) else {
            return;
        };
        self.looked = page.next.unwrap_or(0);
        for (id, record) in page.records {
            if !self.room(resends) {
                self.looked = id - 1;
                return;
            }
            if self.rests(id) {
                continue;
            }
            let Some(rule) = self.rules.matching_rule(&record, &self.partners, now) else {
                continue;
            };
            // Whether it may go is looked at before the rule's turn is used up.
            if let Err(need) = check_resend(&record, &self.terms(now)) {
                self.look_into(id, &RecordError::ResendBlocked(need), now);
                continue;
            }
            let sender = self.rules.record_resend(rule, now);
            if let Some(Ok(resend)) = self.start(id, &sender, &sender, Some(record.version), now) {
                resends.push(resend);
            }
        }
    }

    /// Does what can be done about a record that may not go: asks its partner, or closes it. True if its partner is
    /// being asked, so that it may go soon.
    fn look_into(&mut self, id: RecordId, refusal: &RecordError, now: Micros) -> bool {
        match refusal {
            RecordError::ResendBlocked(ResendBlocked::NeedsAttestation) => {
                self.ask_partner(id, now)
            }
            RecordError::ResendBlocked(ResendBlocked::Applied) => {
                self.close_applied(id, now);
                false
            }
            _ => false,
        }
    }

    fn close_applied(&mut self, id: RecordId, now: Micros) {
        let terms = self.terms(now);
        self.with(|store| {
            store.update(id, |record| {
                record.check_unclaimed("", None, now)?;
                if check_resend(record, &terms) == Err(ResendBlocked::Applied) {
                    record.resolve(Resolution::AppliedBefore, now);
                }
                Ok::<_, RecordError>(())
            })
        });
    }

    /// Asks a record's partner, unless that was done lately; true while the answer is awaited.
    fn ask_partner(&mut self, id: RecordId, now: Micros) -> bool {
        if self.asking.contains(&id) {
            return true;
        }
        let lately = self
            .asked
            .get(&id)
            .is_some_and(|at| at.saturating_add(ASK_AGAIN) > now && *at <= now);
        if lately {
            return false;
        }
        let Some(record) = self.with(|store| store.find(id)).flatten() else {
            return false;
        };
        let partner = self
            .set
            .partners
            .iter()
            .find(|partner| partner.destination == record.origin.destination);
        let Some(partner) = partner else { return false };
        if self.asking.len() >= MOST_ASKED {
            return true;
        }
        self.asked
            .retain(|_, at| at.saturating_add(ASK_AGAIN) > now && *at <= now);
        self.asked.insert(id, now);
        self.asking.insert(id);
        let question = Question::new(
            partner,
            &record.origin.name,
            record.origin.idempotency_key.as_deref(),
        );
        let (runtime, inputs) = (self.runtime.clone(), self.inputs.clone());
        self.runtime.spawn(async move {
            let says = question.ask(runtime).await;
            let word = UndeliverableEvent::PartnerQueryCompleted {
                id,
                queried_at: now,
                claim: says,
            };
            drop(inputs.send(RelayEvent::Undeliverable(word)).await);
        });
        true
    }

    /// A partner has answered, or has not.
    pub fn partner_answered(
        &mut self,
        id: RecordId,
        asked: Micros,
        says: Option<ExecutionClaim>,
        now: Micros,
    ) {
        self.asking.remove(&id);
        let Some(says) = says else { return };
        self.with(|store| {
            store.update(id, |record| {
                record.attest(Attester::Partner, says, asked, None, now)
            })
        });
        if says == ExecutionClaim::Applied {
            self.close_applied(id, now);
        }
        // Whoever waits for it goes on at once.
        self.look = self.runtime.now();
    }

    /// Counts are told from memory; those that a kill takes back are a second's. What is out is counted anew at a start,
    /// and a record that was looked at is not sent again without leave.
    fn keep_batches(&mut self) {
        let at = self.runtime.now();
        if self.changed.is_empty() || self.keep_counts > at {
            return;
        }
        self.keep_counts = at + KEEP_COUNTS;
        for name in std::mem::take(&mut self.changed) {
            let Some(batch) = self.batches.get(&name).cloned() else {
                continue;
            };
            if self.store.is_none() || self.with(|store| store.save_batch(&batch)).is_none() {
                self.changed.insert(name);
            }
        }
    }

    fn unavailable(&self) -> UndeliverableResponse {
        UndeliverableResponse::Unavailable(
            self.trouble
                .clone()
                .unwrap_or_else(|| "the store can't be used".into()),
        )
    }

    /// Answers a front; a record that it wants sent again goes to `resends`.
    pub fn handle_request(
        &mut self,
        ask: UndeliverableRequest,
        now: Micros,
        live: Live,
        resends: &mut Vec<Resend>,
    ) -> UndeliverableResponse {
        self.flush();
        match ask {
            UndeliverableRequest::Page {
                filter,
                before,
                most,
            } => self
                .with(|store| store.page(&filter, before, most))
                .map_or_else(|| self.unavailable(), UndeliverableResponse::Page),
            UndeliverableRequest::Find(id) => self.shown(id, now),
            UndeliverableRequest::Body(id) => match self.with(|store| store.body(id)) {
                Some(Some(body)) => UndeliverableResponse::Body(body),
                Some(None) => UndeliverableResponse::Refused(RecordError::NoRecord),
                None => self.unavailable(),
            },
            UndeliverableRequest::Counts(by) => self
                .with(|store| store.counts(by))
                .map_or_else(|| self.unavailable(), UndeliverableResponse::Counts),
            UndeliverableRequest::StoreReport => {
                let sums = self.with(Store::totals).unwrap_or_default();
                UndeliverableResponse::StoreReport(self.status(sums))
            }
            UndeliverableRequest::RecordAction {
                id,
                action: act,
                who,
                version,
            } => self.act(id, act, &who, version, now, live, resends),
            UndeliverableRequest::Batches => {
                UndeliverableResponse::Batches(self.batches.values().cloned().collect())
            }
            UndeliverableRequest::Plan { spec, who } => self.plan(spec, &who, now),
            UndeliverableRequest::BatchCommand {
                name,
                command: order,
                version,
            } => self.order(&name, order, version, now),
        }
    }

    fn status(&self, sums: GroupCounts) -> StoreReport {
        StoreReport {
            totals: sums,
            unstored_messages: self.lost,
            resends_in_flight: self.out.len(),
            error: self.trouble.clone(),
        }
    }

    fn shown(&mut self, id: RecordId, now: Micros) -> UndeliverableResponse {
        let terms = self.terms(now);
        match self.with(|store| store.find(id)) {
            Some(Some(record)) => {
                let need = check_resend(&record, &terms).err();
                UndeliverableResponse::Found(Box::new(RecordView {
                    id,
                    record,
                    blocked: need,
                }))
            }
            Some(None) => UndeliverableResponse::Refused(RecordError::NoRecord),
            None => self.unavailable(),
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn act(
        &mut self,
        id: RecordId,
        act: RecordAction,
        who: &str,
        version: Option<u32>,
        now: Micros,
        live: Live,
        resends: &mut Vec<Resend>,
    ) -> UndeliverableResponse {
        let lease = self.set.claim_lease();
        if act == RecordAction::Resend {
            if !self.room(resends) || !live.spare() {
                return UndeliverableResponse::Busy(COME_AGAIN);
            }
            return match self.start(id, &format!("operator {who}"), who, version, now) {
                Some(Ok(resend)) => {
                    resends.push(resend);
                    self.shown(id, now)
                }
                Some(Err(refusal)) => {
                    self.look_into(id, &refusal, now);
                    UndeliverableResponse::Refused(refusal)
                }
                None => self.unavailable(),
            };
        }
        let change = |record: &mut Record| match act {
            RecordAction::Claim => record.claim(who, version, now, lease),
            RecordAction::Release => record.release(who, version, now),
            RecordAction::Attest(says) => {
                record.attest(Attester::Operator(who.into()), says, now, version, now)
            }
            RecordAction::Discard => record
                .check_unclaimed(who, version, now)
                .map(|()| record.resolve(Resolution::Discarded, now)),
            RecordAction::QueryPartner => record.check_unclaimed(who, version, now),
            RecordAction::Resend => Ok(()),
        };
        match self.with(|store| store.update(id, change)) {
            Some(Some(Ok(()))) => {}
            Some(Some(Err(refusal))) => return UndeliverableResponse::Refused(refusal),
            Some(None) => return UndeliverableResponse::Refused(RecordError::NoRecord),
            None => return self.unavailable(),
        }
        match act {
            RecordAction::Attest(_) => self.close_applied(id, now),
            RecordAction::QueryPartner
                if self.asking.len() >= MOST_ASKED && !self.asking.contains(&id) =>
            {
                return UndeliverableResponse::Busy(COME_AGAIN);
            }
            RecordAction::QueryPartner => {
                self.asked.remove(&id);
                if !self.ask_partner(id, now) {
                    return UndeliverableResponse::Refused(RecordError::Malformed(
                        "its partner has no way to be asked",
                    ));
                }
            }
            _ => {}
        }
        self.shown(id, now)
    }

    /// A dry run: counts what a batch would find, and keeps the batch, which does nothing before it is run.
    fn plan(&mut self, spec: BatchSpec, who: &str, now: Micros) -> UndeliverableResponse {
        if let Err(refusal) = spec.check() {
            return UndeliverableResponse::BatchRefused(refusal);
        }
        if self.batches.contains_key(&spec.name) {
            return UndeliverableResponse::BatchRefused(batch::BatchError::Exists);
        }
        if self.batches.len() >= batch::MAX_BATCHES {
            let over = self
                .batches
                .values()
                .filter(|batch| batch.state.is_over())
                .min_by_key(|batch| batch.created_at);
            let Some(name) = over.map(|batch| batch.spec.name.clone()) else {
                return UndeliverableResponse::BatchRefused(batch::BatchError::TooMany);
            };
            self.batches.remove(&name);
            self.with(|store| store.remove_batch(&name));
        }
        let (terms, filter) = (self.terms(now), spec.filter.only_open());
        let counted = self.with(|store| {
            let upto = store.last_id()?;
            let (mut counts, mut after) = (BatchCounts::default(), 0);
            loop {
                let page = store.page_after(&filter, after, 1000)?;
                for (_, record) in page.records.iter().filter(|(id, _)| *id <= upto) {
                    counts.count_planned(check_resend(record, &terms).map(|_| ()));
                }
                let Some(next) = page
                    .next
                    .filter(|next| *next < upto && counts.found < MOST_COUNTED)
                else {
                    return Ok((upto, counts));
                };
                after = next;
            }
        });
        let Some((upto, counts)) = counted else {
            return self.unavailable();
        };
        let batch = match Batch::plan(spec, who, now, upto, counts) {
            Ok(batch) => batch,
            Err(refusal) => return UndeliverableResponse::BatchRefused(refusal),
        };
        if self.with(|store| store.save_batch(&batch)).is_none() {
            return self.unavailable();
        }
        self.batches.insert(batch.spec.name.clone(), batch.clone());
        UndeliverableResponse::Batch(Box::new(batch))
    }

    fn order(
        &mut self,
        name: &str,
        order: BatchCommand,
        version: Option<u32>,
        now: Micros,
    ) -> UndeliverableResponse {
        let Some(batch) = self.batches.get(name) else {
            return UndeliverableResponse::BatchRefused(batch::BatchError::None);
        };
        let mut after = batch.clone();
        if let Err(refusal) = after.apply_command(order, version, now) {
            return UndeliverableResponse::BatchRefused(refusal);
        }
        if self.with(|store| store.save_batch(&after)).is_none() {
            return self.unavailable();
        }
        self.batches.insert(name.into(), after.clone());
        self.look = self.runtime.now();
        UndeliverableResponse::Batch(Box::new(after))
    }
}
