//! Connects the undeliverable service to the loop: its requests, its periodic run and its resends.

use policy::types::{Event, MessageId, Micros, PastAttempt, TenantId};
use relay_events::undeliverable::{UndeliverableCall, UndeliverableEvent, UndeliverableResponse};
use runtime::{log, Runtime};
use undeliverable::record::RecordError;

use super::admission::policy_message;
use super::EventLoop;
use crate::in_flight::MessageName;
use crate::journal::{AcceptedMessage, ResendOrigin};
use crate::undeliverable_service::{RelayLoad, Resend, ServiceRun};

/// Whether a resend has reached the policy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ResendStart {
    Started,
    NotStarted,
}

impl<R: Runtime> EventLoop<R> {
    /// Runs the work that is due in the undeliverable service, and starts the resends that it returns.
    pub fn run_undeliverable_service(&mut self) {
        let now = self.clock.now();
        let load = self.current_load();
        let Some(service) = &mut self.undeliverable else {
            return;
        };
        let ServiceRun { resends, ended } = service.run(now, load);
        for id in ended {
            self.release_message(id);
        }
        for resend in resends {
            self.start_resend(now, resend);
        }
    }

    /// Handles a request to the undeliverable service, or a partner's answer to one of its queries.
    pub(super) fn handle_undeliverable_event(&mut self, event: UndeliverableEvent) {
        match event {
            UndeliverableEvent::PartnerQueryCompleted {
                id,
                queried_at,
                claim,
            } => {
                let now = self.clock.now();
                if let Some(service) = &mut self.undeliverable {
                    service.partner_query_completed(id, queried_at, claim, now);
                }
            }
            UndeliverableEvent::UndeliverableCall(call) => self.answer_undeliverable_call(call),
        }
    }

    fn answer_undeliverable_call(&mut self, call: UndeliverableCall) {
        let now = self.clock.now();
        let load = self.current_load();
        let Some(service) = &mut self.undeliverable else {
            let response = UndeliverableResponse::Unavailable(
                "undeliverable messages are not kept here".into(),
            );
            drop(call.reply.send(response));
            return;
        };
        let mut resends = Vec::new();
        let mut response = service.handle_request(call.request, now, load, &mut resends);
        for resend in resends {
            if self.start_resend(now, resend) == ResendStart::NotStarted {
                response = UndeliverableResponse::Refused(RecordError::NotAccepted);
            }
        }
        // The caller may have stopped waiting.
        drop(call.reply.send(response));
    }

    /// The load of the relay. Resends are limited by it, so that capacity remains for other messages.
    fn current_load(&self) -> RelayLoad {
        let settings = &self.config.settings;
        RelayLoad {
            messages: self.in_flight.len(),
            max_messages: settings.max_queued,
            open_calls: self.open_calls.len(),
            max_calls: settings.max_calls,
        }
    }

    /// Submits an undeliverable message to the policy again, with a new deadline.
    fn start_resend(&mut self, now: Micros, resend: Resend) -> ResendStart {
        let Resend {
            origin,
            mut message,
        } = resend;
        message.deadline = now + self.time_to_live(&message.class);
        let tenant = self.resend_tenant(&message);
        let id = self.journal.borrow_mut().next_id();
        let class = self.classes.number(&message.class);
        let resent = tenant
            .and_then(|tenant| policy_message(id, &message, tenant, class))
            .filter(|_| self.tenants.is_resend_allowed(&message.tenant));
        let Some(resent) = resent else {
            log!(
                self.runtime,
                "undeliverable: resend_rejected record={} reason=class_tenant_or_name",
                origin.record
            );
            if tenant.is_some() {
                self.tenants.message_released(&message.tenant);
            }
            return self.resend_not_started(&origin);
        };
        let accepted = self
            .journal
            .borrow_mut()
            .accept_resend(id, message.clone(), origin);
        if let Err(error) = accepted {
            log!(
                self.runtime,
                "undeliverable: resend_not_journaled record={} error={error}",
                origin.record
            );
            self.tenants.message_released(&message.tenant);
            return self.resend_not_started(&origin);
        }
        self.resend_accepted(id, &message, origin);
        let past_attempt = origin.past_attempt.map(|past| PastAttempt {
            sent_at: past.sent_at,
            zone: past.zone,
            may_have_executed: true,
        });
        self.pending_events.push(Event::MessageResent {
            message: resent,
            attempts: past_attempt.into_iter().collect(),
        });
        ResendStart::Started
    }

    /// Time to live of a class in force, in microseconds; zero for an unknown class.
    fn time_to_live(&self, class: &str) -> Micros {
        self.classes
            .class_by_name(class)
            .map_or(0, |class| class.time_to_live)
    }

    /// The tenant's number for a resend. `None` if another message of the same name is in flight, or if the tenant is
    /// unknown.
    fn resend_tenant(&mut self, message: &AcceptedMessage) -> Option<TenantId> {
        if self.in_flight.contains(&MessageName::of_message(message)) {
            return None;
        }
        self.tenants.message_restored(&message.tenant)
    }

    fn resend_accepted(&mut self, id: MessageId, message: &AcceptedMessage, origin: ResendOrigin) {
        self.in_flight.insert_restored(id, message);
        self.control.metrics().record_accepted();
        if let Some(service) = &mut self.undeliverable {
            service.resend_started(id, origin, &message.name);
        }
    }

    fn resend_not_started(&mut self, origin: &ResendOrigin) -> ResendStart {
        if let Some(service) = &mut self.undeliverable {
            service.resend_not_started(origin);
        }
        ResendStart::NotStarted
    }
}
