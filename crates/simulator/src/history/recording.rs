//! Recording of each kind of observation.

use std::time::Duration;

use super::message::{
    Call, CallId, CallOutcome, Message, Notice, NoticeStatus, ReceivedCall, Rejections, Response,
    SubmittedRequest,
};
use super::observation::Observation;
use super::record::{History, TimeSpan};

/// Time after the relay is ready again during which its restart still excuses delays.
const RESTART_SETTLE_TIME: Duration = Duration::from_millis(1500);

impl History {
    /// Records an observation; called after all invariants have checked it.
    pub fn record(&mut self, observation: &Observation<'_>) {
        match observation {
            Observation::ProcessStarted(process) => self.record_process_start(*process),
            Observation::ProcessReady => self.record_ready(),
            Observation::TerminationRequested => self.record_termination_request(),
            Observation::ProcessTerminated => self.record_process_end(),
            Observation::DiskFull(is_full) => self.record_disk_state(*is_full),
            Observation::NoticeEndpointDown { from, until } => {
                self.notice_outages.push(TimeSpan {
                    from: *from,
                    until: *until,
                });
            }
            Observation::RequestSent(request) => self.record_request(request),
            Observation::ReplyReceived { id, reply } => self.record_reply(id, reply),
            Observation::RequestAbandoned(id) => self.record_abandonment(id),
            Observation::CallReceived { call, .. } => self.record_call(call),
            Observation::ResponseStarted { call, outcome } => self.record_response(call, *outcome),
            Observation::CallConnectionClosed(call) => self.record_connection_close(call),
            Observation::NoticeReceived { id, status } => self.record_notice(id, status),
            Observation::MaxAttemptsChanged(max_attempts) => self.max_attempts = *max_attempts,
            Observation::ProcessExited(_)
            | Observation::DiskUsage(_)
            | Observation::StepLimitExceeded
            | Observation::MalformedInputChecked { .. }
            | Observation::ResponseRead(_)
            | Observation::DiscoveryPolled
            | Observation::HostConnectionAccepted(_)
            | Observation::HostStatusSent { .. }
            | Observation::HostStatusListed { .. }
            | Observation::DiscoveryPollPending(_)
            | Observation::DiscoverySilent(_)
            | Observation::DestinationOutage { .. }
            | Observation::TenantChangeRequested { .. }
            | Observation::TenantChangeResponse { .. }
            | Observation::TenantChangeTimedOut { .. }
            | Observation::TenantRead { .. }
            | Observation::EffectApplied { .. }
            | Observation::UndeliverableRecordRead { .. }
            | Observation::AllUndeliverableRecordsRead
            | Observation::DrainingConfirmed(_)
            | Observation::ResumeRequested
            | Observation::ReadinessProbed(_)
            | Observation::ClientConnectionsHeld(_)
            | Observation::ReloadRequested { .. }
            | Observation::UpgradeStarted(_)
            | Observation::MetricsReported { .. }
            | Observation::ControlCallTimedOut
            | Observation::Tick => {}
        }
    }

    fn record_process_start(&mut self, process: u32) {
        self.process = process;
        self.process_started_at = self.now;
        self.termination_requested_at = None;
    }

    fn record_ready(&mut self) {
        let restart = self.restarts.last_mut();
        if let Some(restart) = restart.filter(|restart| restart.until == Duration::MAX) {
            restart.until = self.now + RESTART_SETTLE_TIME;
        }
    }

    fn record_termination_request(&mut self) {
        self.termination_requested_at = Some(self.now);
        self.record_restart();
    }

    fn record_process_end(&mut self) {
        self.termination_requested_at = None;
        self.disk_was_full = self.disk_is_full;
        self.record_restart();
    }

    /// Records the start of a restart, unless one is in progress already.
    fn record_restart(&mut self) {
        let last = self.restarts.last();
        if last.is_none_or(|restart| restart.until != Duration::MAX) {
            self.restarts.push(TimeSpan {
                from: self.now,
                until: Duration::MAX,
            });
        }
    }

    fn record_disk_state(&mut self, is_full: bool) {
        self.disk_was_full |= is_full;
        self.disk_is_full = is_full;
    }

    /// Records a request. A request that is repeated on a new connection belongs to the same message.
    fn record_request(&mut self, request: &SubmittedRequest) {
        let new = Message {
            request: request.clone(),
            process: self.process,
            submitted_at: self.now,
            accepted_at: None,
            is_abandoned: false,
            is_rejected: false,
            rejections: Rejections::default(),
            max_attempts: self.max_attempts,
            calls: Vec::new(),
            delivered_at: None,
            notice: None,
        };
        let message = self.messages.entry(request.id.clone()).or_insert(new);
        message.request.deadline = message.request.deadline.max(request.deadline);
    }

    fn record_reply(&mut self, id: &str, reply: &str) {
        let Some(message) = self.messages.get_mut(id) else {
            return;
        };
        let is_accepted = reply.starts_with('+');
        if reply.starts_with("-BUSY") {
            message.rejections.busy.push(self.now);
        } else if !is_accepted {
            message.rejections.failed.push(self.now);
        }
        if message.accepted_at.is_some() {
            return;
        }
        message.is_rejected = !is_accepted;
        if is_accepted {
            message.accepted_at = Some(self.now);
            if !message.is_finished() {
                self.open.insert(id.into());
            }
        }
    }

    fn record_abandonment(&mut self, id: &str) {
        let message = self.messages.get_mut(id);
        if let Some(message) = message.filter(|message| message.accepted_at.is_none()) {
            message.is_abandoned = true;
        }
    }

    fn record_call(&mut self, call: &ReceivedCall) {
        let Some(message) = self.messages.get_mut(&call.message_id) else {
            return;
        };
        message.calls.push(Call {
            connection: call.connection,
            zone: call.host.zone.clone(),
            first_byte_at: call.first_byte_at,
            last_byte_at: self.now,
            process: self.process,
            response: None,
            closed_at: None,
        });
    }

    fn record_response(&mut self, id: &CallId, outcome: CallOutcome) {
        let Some(message) = self.messages.get_mut(&id.message_id) else {
            return;
        };
        if let Some(call) = message.calls.get_mut(id.index) {
            let response = Response {
                at: self.now,
                outcome,
            };
            call.response.get_or_insert(response);
        }
        if outcome == CallOutcome::Delivered {
            message.delivered_at = Some(self.now);
            self.open.remove(&id.message_id);
        }
    }

    fn record_connection_close(&mut self, id: &CallId) {
        let message = self.messages.get_mut(&id.message_id);
        let call = message.and_then(|message| message.calls.get_mut(id.index));
        if let Some(call) = call.filter(|call| call.is_in_flight()) {
            call.closed_at = Some(self.now);
        }
    }

    fn record_notice(&mut self, id: &str, status: &str) {
        let Some(status) = NoticeStatus::parse(status) else {
            return;
        };
        let message = self.messages.get_mut(id);
        if let Some(message) = message.filter(|message| message.notice.is_none()) {
            message.notice = Some(Notice {
                at: self.now,
                status,
            });
            self.open.remove(id);
        }
    }
}
