//! Requests of front ends.

use policy::types::Micros;
use relay_events::undeliverable::{
    RecordAction, RecordView, StoreReport, UndeliverableRequest, UndeliverableResponse,
};
use runtime::Runtime;
use undeliverable::record::{Attester, RecordError, Resolution};
use undeliverable::resend_policy::{attestations_count_from, check_resend};
use undeliverable::store::StoreError;
use undeliverable::{Record, RecordId, Store};

use super::partner_query::QueryState;
use super::resend::{Resend, ResendError, ResendRequest, Resender};
use super::{RelayLoad, UndeliverableService};

/// Delay in milliseconds after which a caller should retry if too many resends or queries are in progress.
const BUSY_RETRY_AFTER_MS: u64 = 200;

/// An operator's action on a record.
struct ActionRequest {
    record: RecordId,
    action: RecordAction,
    /// The operator's name.
    operator: String,
    /// Precondition: the record's current version.
    version: Option<u32>,
    now: Micros,
}

impl<R: Runtime> UndeliverableService<R> {
    /// Answers a request of a front end. A resend that it begins is added to `resends`.
    pub fn handle_request(
        &mut self,
        request: UndeliverableRequest,
        now: Micros,
        load: RelayLoad,
        resends: &mut Vec<Resend>,
    ) -> UndeliverableResponse {
        self.flush();
        match request {
            UndeliverableRequest::Page {
                filter,
                before,
                limit,
            } => {
                let page = |store: &Store| store.page(&filter, before, limit);
                self.query_store(page, UndeliverableResponse::Page)
            }
            UndeliverableRequest::Find(id) => view_record(&mut self.resender, id, now),
            UndeliverableRequest::Body(id) => {
                self.query_store(|store| store.body(id), body_response)
            }
            UndeliverableRequest::Counts(by) => {
                self.query_store(|store| store.counts(by), UndeliverableResponse::Counts)
            }
            UndeliverableRequest::StoreReport => self.report_store(),
            UndeliverableRequest::RecordAction {
                id: record,
                action,
                operator,
                version,
            } => {
                let request = ActionRequest {
                    record,
                    action,
                    operator,
                    version,
                    now,
                };
                self.carry_out(&request, load, resends)
            }
            UndeliverableRequest::Batches => UndeliverableResponse::Batches(self.batches.list()),
            UndeliverableRequest::Plan { spec, operator } => {
                self.batches.plan(spec, &operator, &mut self.resender, now)
            }
            UndeliverableRequest::BatchCommand {
                name,
                command,
                version,
            } => {
                let store = &mut self.resender.store;
                let response = self.batches.command(&name, command, version, store, now);
                self.run_soon_if_changed(&response);
                response
            }
        }
    }

    /// Lets a batch whose state has changed continue immediately.
    fn run_soon_if_changed(&mut self, response: &UndeliverableResponse) {
        if matches!(response, UndeliverableResponse::Batch(_)) {
            self.next_poll_at = self.runtime.now();
        }
    }

    fn query_store<T>(
        &mut self,
        query: impl FnOnce(&Store) -> Result<T, StoreError>,
        respond: impl FnOnce(T) -> UndeliverableResponse,
    ) -> UndeliverableResponse {
        let store = &mut self.resender.store;
        match store.access(query) {
            Some(value) => respond(value),
            None => UndeliverableResponse::Unavailable(store.unavailability()),
        }
    }

    fn report_store(&mut self) -> UndeliverableResponse {
        let store = &mut self.resender.store;
        let totals = store.access(Store::totals).unwrap_or_default();
        UndeliverableResponse::StoreReport(StoreReport {
            totals,
            unstored_messages: self.submission.dropped_records(),
            resends_in_flight: self.resender.in_flight(),
            error: self.resender.store.error().map(String::from),
        })
    }

    fn carry_out(
        &mut self,
        request: &ActionRequest,
        load: RelayLoad,
        resends: &mut Vec<Resend>,
    ) -> UndeliverableResponse {
        match request.action {
            RecordAction::Resend => self.resend_record(request, load, resends),
            _ => self.change_record(request),
        }
    }

    fn resend_record(
        &mut self,
        request: &ActionRequest,
        load: RelayLoad,
        resends: &mut Vec<Resend>,
    ) -> UndeliverableResponse {
        let (id, now) = (request.record, request.now);
        let has_capacity = self.resender.has_capacity(resends) && load.has_spare_capacity();
        let resend_request = ResendRequest {
            record: id,
            sender: &format!("operator {}", request.operator),
            claimant: &request.operator,
            version: request.version,
        };
        let checked = self.resender.check(&resend_request, now);
        // A later request for a blocked resend would be refused as well, unlike one for a record that is being sent.
        let is_blocked = matches!(
            checked,
            Err(ResendError::Refused(RecordError::ResendBlocked(_)))
        );
        if !has_capacity && !is_blocked {
            return UndeliverableResponse::Busy(BUSY_RETRY_AFTER_MS);
        }
        match checked.and_then(|()| self.resender.begin_checked(&resend_request, now)) {
            Ok(resend) => {
                resends.push(resend);
                view_record(&mut self.resender, id, now)
            }
            Err(ResendError::Refused(refusal)) => {
                self.resender.handle_refusal(id, &refusal, now);
                UndeliverableResponse::Refused(refusal)
            }
            Err(ResendError::StoreUnavailable) => {
                UndeliverableResponse::Unavailable(self.resender.store.unavailability())
            }
        }
    }

    /// Carries out any action except a resend.
    fn change_record(&mut self, request: &ActionRequest) -> UndeliverableResponse {
        let id = request.record;
        let lease = self.resender.settings.claim_lease();
        let store = &mut self.resender.store;
        let changed = store.access(|store| store.update(id, |record| request.apply(record, lease)));
        match changed {
            Some(Some(Ok(()))) => {}
            Some(Some(Err(refusal))) => return UndeliverableResponse::Refused(refusal),
            Some(None) => return UndeliverableResponse::Refused(RecordError::NoRecord),
            None => return UndeliverableResponse::Unavailable(store.unavailability()),
        }
        match request.action {
            RecordAction::Attest(_) => {
                self.resender.close_if_applied(id, request.now);
                self.resender.log_early_attestation(id, request.now);
            }
            RecordAction::QueryPartner => {
                if let Err(response) = query_partner(&mut self.resender, id, request.now) {
                    return response;
                }
            }
            _ => {}
        }
        view_record(&mut self.resender, id, request.now)
    }
}

impl ActionRequest {
    fn apply(&self, record: &mut Record, lease: Micros) -> Result<(), RecordError> {
        let (operator, version, now) = (self.operator.as_str(), self.version, self.now);
        match self.action {
            RecordAction::Claim => record.claim(operator, version, now, lease),
            RecordAction::Release => record.release(operator, version, now),
            RecordAction::Attest(claim) => {
                let attester = Attester::Operator(operator.into());
                record.attest(attester, claim, now, version, now)
            }
            RecordAction::Discard => {
                record.check_unclaimed(operator, version, now)?;
                record.resolve(Resolution::Discarded, now);
                Ok(())
            }
            RecordAction::QueryPartner => record.check_unclaimed(operator, version, now),
            // The resend itself changes the record.
            RecordAction::Resend => Ok(()),
        }
    }
}

/// Queries a record's partner for an operator, even if the partner was queried recently. The error is the response to
/// the operator.
fn query_partner<R: Runtime>(
    resender: &mut Resender<R>,
    id: RecordId,
    now: Micros,
) -> Result<(), UndeliverableResponse> {
    if resender.partner_queries.is_at_limit(id) {
        return Err(UndeliverableResponse::Busy(BUSY_RETRY_AFTER_MS));
    }
    resender.partner_queries.forget(id);
    match resender.query_partner(id, now) {
        QueryState::Awaited => Ok(()),
        QueryState::NotPossible => Err(UndeliverableResponse::Refused(RecordError::Malformed(
            "its partner has no way to be asked",
        ))),
    }
}

fn body_response(body: Option<Vec<u8>>) -> UndeliverableResponse {
    match body {
        Some(body) => UndeliverableResponse::Body(body),
        None => UndeliverableResponse::Refused(RecordError::NoRecord),
    }
}

fn view_record<R: Runtime>(
    resender: &mut Resender<R>,
    id: RecordId,
    now: Micros,
) -> UndeliverableResponse {
    let policy = resender.policy_for(id, now);
    match resender.store.access(|store| store.find(id)) {
        Some(Some(record)) => {
            let blocked = check_resend(&record, &policy).err();
            let attestations_count_from = attestations_count_from(&record, &policy);
            UndeliverableResponse::Found(Box::new(RecordView {
                id,
                record,
                blocked,
                attestations_count_from,
            }))
        }
        Some(None) => UndeliverableResponse::Refused(RecordError::NoRecord),
        None => UndeliverableResponse::Unavailable(resender.store.unavailability()),
    }
}
