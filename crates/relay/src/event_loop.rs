//! Drives the module: what happens on sockets goes in as events, and its actions are carried out.
//!
//! It owns the module, the clock and the timer, and decides nothing about messages. Which name on the wire is
//! which of the module's numbers is kept beside it: hosts in `directory`, messages in `hand`.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admin::Tokens;
use control::{HostCounts, LifecycleEvent as Change, LifecycleState, MessageEnd};
use membership::HostMembership;
use policy::types::*;
use policy::DeliveryPolicy;
use relay_events::tenants::{LoginRequest, TenantCall};
use relay_events::undeliverable::{UndeliverableEvent, UndeliverableResponse};
use relay_events::{
    Clock, CompletedCall, DeliveryFailure, EnqueueRequest, HostList, RelayEvent, Reply,
};
use runtime::{log, Runtime};
use tokio::sync::{mpsc, oneshot, watch};

use crate::cached_state::{self, CachedState};
use crate::call_log::CallLog;
use crate::classes::Classes;
use crate::config::Config;
use crate::control_socket::{self, Control};
use crate::discovery_client::Notifications;
use crate::host_connections::{Call, HostConnections};
use crate::host_directory::{HostDirectory, ListedHost, Names};
use crate::in_flight::{InFlightMessages, MessageName};
use crate::journal::{AcceptedMessage, Attempt, Journal, PendingMessage};
use crate::operator_config;
use crate::route_levels;
use crate::state_directory::{Calls, DirectoryOwner, HandoverState as Left};
use crate::tenant_service::Tenants;
use crate::undeliverable_service::{self, Live, Resend, UndeliverableService};
use undeliverable::record::Refusal;

/// A client that is refused in a drain may hand its message in elsewhere at once; in milliseconds, as 0 tells nothing.
pub const ELSEWHERE: u64 = 1;

/// What joins the sockets, the journal and the module.
pub struct EventLoop<R: Runtime> {
    pub runtime: R,
    pub config: Config,
    pub policy: DeliveryPolicy,
    pub clock: Clock<R>,
    pub journal: Journal<R>,
    pub tenants: Tenants<R>,
    /// The operator file.
    pub operator: Option<PathBuf>,
    /// Who may use the administration API.
    pub tokens: watch::Sender<Tokens>,
    pub host_connections: Rc<HostConnections<R>>,
    /// How far the list may be believed.
    pub membership: Rc<RefCell<HostMembership>>,
    pub notifications: Rc<Notifications>,
    pub relay_events: mpsc::Sender<RelayEvent>,
    /// What the module has not seen yet.
    pub events: Vec<Event>,
    pub timer: Option<(Micros, u64)>,
    pub last_round: Instant,
    pub in_flight: InFlightMessages,
    /// Calls that are out: the attempt, and what ends it early.
    pub calls: Calls,
    pub host_directory: HostDirectory,
    /// The module's numbers of classes.
    pub classes: Classes,
    /// What is kept of the list and of outages.
    pub cached_state: CachedState,
    pub disk: u64,
    /// Where discovery answers, for those who ask it.
    pub discovery: watch::Sender<SocketAddr>,
    /// Whose the folder is.
    pub directory_owner: DirectoryOwner<R>,
    /// Where the process stands, and the figures.
    pub control: Rc<Control<R>>,
    pub call_log: CallLog<R>,
    /// Messages that were given up, where the operator wants them kept.
    pub undeliverable: Option<UndeliverableService<R>>,
}

fn logged(runtime: &impl Runtime, what: std::io::Result<()>) {
    what.unwrap_or_else(|e| log!(*runtime, "journal: cannot write: {e}"));
}

/// The values of a load report, in the settings' order; none at all where one is missing or absurd.
///
/// Guards the module against reports that can't be read: a missing value is not zero, and a share of the
/// allowance of minus one or of a million would say things about a destination that nobody meant.
fn read_report<'a>(
    wanted: impl Iterator<Item = (&'a String, &'a ReportField)>,
    text: &str,
) -> Option<Vec<f32>> {
    let value = |(name, field): (&String, &ReportField)| {
        let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(other, _)| other.trim() == name)?;
        let most = if *field == ReportField::AllowanceLeft {
            2.0
        } else {
            1e6
        };
        value
            .trim()
            .parse::<f32>()
            .ok()
            .filter(|value| (0.0..=most).contains(value))
    };
    wanted.map(value).collect()
}

impl<R: Runtime> EventLoop<R> {
    /// When the module is to be asked next.
    pub fn next_round_at(&self) -> Instant {
        let tick = Duration::from_micros(self.config.settings.tick.max(1000));
        let soonest = self.last_round + tick;
        match self.timer {
            _ if !self.events.is_empty() => soonest,
            Some((at, _)) => self.clock.instant(at).max(soonest),
            None => soonest + Duration::from_secs(3600),
        }
    }

    /// Whether nothing is left to do for what was taken on: no message in hand, no call out, no end to be told.
    pub fn is_idle(&self) -> bool {
        self.in_flight.len() == 0
            && self.calls.is_empty()
            && self.events.is_empty()
            && self.notifications.len() == 0
    }

    /// Told to stop: no call may be out when the process ends.
    pub fn begin_shutdown(&mut self) {
        if !self.control.handle_event(Change::Stop) {
            return;
        }
        if let Some(left) = self.control.time_left_for_calls() {
            let at = self.clock.now() + left.as_micros() as Micros;
            self.events.push(Event::ShuttingDown { at });
        }
        let (held, out) = (self.in_flight.len(), self.calls.len());
        log!(
            self.runtime,
            "told to stop; {held} messages in hand, {out} calls out"
        );
    }

    /// Shows how the module sees the hosts.
    pub fn update_host_counts(&self) {
        let disabled = self.policy.ejected_hosts(self.clock.now());
        self.control.set_host_counts(HostCounts {
            listed: self.host_directory.count(),
            disabled,
        });
    }

    /// Reads the configuration again. One that can't be used leaves the old one in force, whole.
    pub fn reload(&mut self) -> Result<(), String> {
        // What was decided under the old settings is taken on under them.
        self.run_round()?;
        let changed = Config::load(&self.runtime).and_then(|new| self.retune(new));
        self.control.metrics().record_reload(changed.is_ok());
        if let Err(error) = changed {
            log!(
                self.runtime,
                "configuration: the old one stays in force: {}",
                error.replace('\n', " ")
            );
        }
        operator_config::read_again(&self.runtime, self.operator.as_deref(), &self.tokens);
        Ok(())
    }

    /// Puts a new configuration in force, or nothing of it.
    fn retune(&mut self, new: Config) -> Result<(), String> {
        if let Some(key) = new.lacks(&self.config) {
            return Err(format!(
                "the new one lacks {key}, so it may be half of a file"
            ));
        }
        let number = |owed: &PendingMessage| match &owed.class_version {
            Some(terms) => self.classes.number_of(&owed.accepted.class, &terms.class),
            None => self.classes.number(&owed.accepted.class),
        };
        let in_use: BTreeSet<u16> = self.journal.pending().values().filter_map(number).collect();
        if !self
            .classes
            .update(&new.classes, &new.settings.classes, |number| {
                in_use.contains(&number)
            })
        {
            return Err("too many classes are in use at once".into());
        }
        let fixed = new.fixed(&self.config);
        if !fixed.is_empty() {
            log!(
                self.runtime,
                "configuration: counts from the next start on: {}",
                fixed.join(", ")
            );
        }
        self.config.retune(new);
        let Config {
            discovery, classes, ..
        } = &self.config;
        log!(
            self.runtime,
            "configuration: read again, discovery is at {discovery}"
        );
        self.discovery
            .send_if_modified(|at| std::mem::replace(at, *discovery) != *discovery);
        self.control.metrics().set_classes(classes);
        self.tenants.set_classes(classes);
        logged(
            &self.runtime,
            self.journal.declare_classes(self.classes.in_force()),
        );
        self.events.push(self.retuned());
        Ok(())
    }

    /// Hands to the module what the journal holds, and what another process left beside it.
    pub fn restore(&mut self, left: Option<Left>) -> Result<(), String> {
        let (mut out, mut used) = (BTreeMap::new(), Vec::new());
        let took_over = self.directory_owner.took_over();
        let heritage = left.map(|left| {
            self.host_directory.adopt_numbers(left.host_numbers);
            self.in_flight
                .restore_completed(self.runtime.now(), left.completed);
            // A drain outlasts an upgrade, not a crash.
            self.control.restore_drained(left.is_drained && took_over);
            out = left
                .open_calls
                .into_iter()
                .map(|(id, attempt, host)| (id, (attempt, host)))
                .collect();
            used = left.used_rates;
            left.policy
        });
        let mut known = std::mem::take(&mut self.config.known);
        // Guards hosts that drain: the configuration's list may be older than what the last process was
        // told, and discovery may be silent now.
        self.host_directory
            .add_destinations(known.hosts.iter().map(|line| line.destination));
        if self.cached_state.list.version > known.version {
            known = self.cached_state.list.clone();
        }
        self.list(
            HostList {
                is_full: true,
                ..known
            },
            true,
        );
        self.events.push(Event::HostsUnconfirmed(
            !self
                .membership
                .borrow()
                .is_list_confirmed(self.runtime.now()),
        ));
        for (destination, down, back) in self.cached_state.outages.clone() {
            self.events.push(Event::OutageRestored(Outage {
                destination,
                started_at: down,
                recovered_at: back,
            }));
        }
        if let Some(heritage) = heritage {
            // It is of routes, which the list makes.
            self.run_round()?;
            self.policy.restore_handover(heritage);
        }
        let owed: Vec<(MessageId, PendingMessage)> = self
            .journal
            .pending()
            .iter()
            .map(|(id, owed)| (*id, owed.clone()))
            .collect();
        if !owed.is_empty() {
            log!(
                self.runtime,
                "journal: {} messages are still owed their end",
                owed.len()
            );
        }
        for (id, message) in owed {
            let tenant = self.tenants.message_restored(&message.accepted.tenant);
            if let Some(again) = message.resend {
                // Its end is in the store already, or there is no store any more that could tell of it.
                let Some(desk) = self
                    .undeliverable
                    .as_mut()
                    .filter(|_| message.failure.is_none())
                else {
                    self.again_over(id, &message);
                    continue;
                };
                if desk.is_closed(&again, &message.accepted.name) {
                    self.over(id);
                    continue;
                }
                desk.resend_restored(id, again, &message.accepted.name, self.clock.now());
            } else if message.failure == Some(DeliveryFailure::Undeliverable) {
                // The store may not have it yet.
                self.given_up(&message);
            }
            let PendingMessage {
                accepted,
                attempts,
                failure,
                class_version,
                ..
            } = message;
            if let Some(verdict) = failure {
                self.notifications.add(id, accepted.name, verdict);
                continue;
            }
            self.in_flight.insert_restored(id, &accepted);
            self.control.metrics().record_accepted();
            let class = match &class_version {
                Some(terms) => self
                    .classes
                    .number_for_version(&accepted.class, &terms.class),
                None => self.classes.number(&accepted.class),
            };
            let Some(message) =
                tenant.and_then(|tenant| self.message(id, &accepted, tenant, class))
            else {
                log!(
                    self.runtime,
                    "journal: {} is of a class or tenant that is not known any more",
                    accepted.name
                );
                let ran = attempts.iter().any(|attempt| attempt.may_have_executed);
                self.end(
                    id,
                    if ran {
                        DeliveryFailure::Undeliverable
                    } else {
                        DeliveryFailure::Deferred(0)
                    },
                );
                continue;
            };
            let out = out
                .get(&id)
                .filter(|(at, _)| usize::from(*at) + 1 == attempts.len());
            let out = out.map(|(_, host)| *host);
            let attempts = attempts.iter().map(|attempt| PastAttempt {
                sent_at: attempt.sent_at,
                zone: attempt.zone,
                may_have_executed: attempt.may_have_executed,
            });
            let attempts = attempts.collect();
            self.events.push(match took_over || out.is_some() {
                true => Event::MessageAdopted {
                    message,
                    attempts,
                    out,
                },
                false => Event::MessageRestored { message, attempts },
            });
        }
        if self.classes.definitions().len() > self.config.settings.classes.len() {
            // Some were taken under what no file says any more.
            self.events.insert(0, self.retuned());
        }
        let now = self.clock.now();
        self.undeliverable
            .iter_mut()
            .for_each(|desk| desk.reconcile(now));
        self.run_round()?;
        self.tenants
            .restore_used_rates(&used, self.policy.scheduler());
        logged(
            &self.runtime,
            self.journal.declare_classes(self.classes.in_force()),
        );
        Ok(())
    }

    /// Looks at the folder: another process may ask for it, or have told ends of its calls.
    pub fn check_state_directory(&mut self) {
        if matches!(
            self.control.state(),
            LifecycleState::Serving | LifecycleState::Draining
        ) && self.directory_owner.handover_requested()
        {
            self.control.handle_event(Change::HandOver);
        }
        let ends = self.directory_owner.take_call_ends();
        ends.into_iter().for_each(|end| self.ended(end));
        self.directory_owner.clean_up();
    }

    /// What goes across to another process beside the journal.
    pub fn handover_state(&mut self) -> Left {
        let out = self
            .calls
            .iter()
            .map(|(id, (attempt, host, _))| (*id, *attempt, *host))
            .collect();
        let mut state = Left::new(
            self.control.is_drained(),
            out,
            self.policy.handover_snapshot(),
        );
        (state.host_numbers, state.completed) = (
            self.host_directory.numbers(),
            self.in_flight.recently_completed_names(self.runtime.now()),
        );
        state.used_rates = self
            .tenants
            .used_rates(self.clock.now(), self.policy.scheduler());
        state
    }

    /// The settings in force, with what all numbers of classes mean.
    fn retuned(&self) -> Event {
        let settings = self.config.settings.clone();
        Event::SettingsChanged(Box::new(Settings {
            classes: self.classes.definitions(),
            ..settings
        }))
    }

    /// A resend whose verdict was kept in the journal, and in the store perhaps not yet.
    fn again_over(&mut self, id: MessageId, message: &PendingMessage) {
        let now = self.clock.now();
        let (class, most) = (self.class_of(message), self.config.settings.max_attempts);
        if let (Some(desk), Some(again), Some(verdict)) =
            (&mut self.undeliverable, message.resend, message.failure)
        {
            if !desk.is_closed(&again, &message.accepted.name) {
                desk.resend_restored(id, again, &message.accepted.name, now);
                if !desk.resend_failed(id, message, class.as_ref(), verdict, most, now) {
                    return;
                }
            }
        }
        self.over(id);
    }

    fn class_of(&self, owed: &PendingMessage) -> Option<Class> {
        let terms = owed.class_version.as_ref().map(|terms| &*terms.class);
        terms
            .or_else(|| self.classes.class_by_name(&owed.accepted.class))
            .cloned()
    }

    /// Hands a message that was given up over to those who keep it.
    fn given_up(&mut self, owed: &PendingMessage) {
        let (now, class, most) = (
            self.clock.now(),
            self.class_of(owed),
            self.config.settings.max_attempts,
        );
        let abandoned = self.tenants.is_removed(&owed.accepted.tenant);
        if let Some(desk) = &mut self.undeliverable {
            desk.record_given_up(owed, class.as_ref(), abandoned, most, now);
        }
    }

    fn live(&self) -> Live {
        let settings = &self.config.settings;
        let (held, out) = (self.in_flight.len(), self.calls.len());
        Live {
            held,
            most_held: settings.max_queued,
            out,
            slots: settings.max_calls,
        }
    }

    /// Lets those who keep undeliverable messages do what is due.
    pub fn run_undeliverable_service(&mut self) {
        let (now, live) = (self.clock.now(), self.live());
        let Some(desk) = &mut self.undeliverable else {
            return;
        };
        let (resends, ended) = desk.run(now, live);
        ended.into_iter().for_each(|id| self.over(id));
        for resend in resends {
            self.resend(now, resend);
        }
    }

    fn undeliverable(&mut self, news: UndeliverableEvent) {
        let (now, live) = (self.clock.now(), self.live());
        match (&mut self.undeliverable, news) {
            (Some(desk), UndeliverableEvent::PartnerAnswered { id, asked, says }) => {
                desk.partner_answered(id, asked, says, now)
            }
            (Some(desk), UndeliverableEvent::UndeliverableCall(call)) => {
                let mut resends = Vec::new();
                let mut told = desk.handle_request(call.ask, now, live, &mut resends);
                for resend in resends {
                    if !self.resend(now, resend) {
                        told = UndeliverableResponse::Refused(Refusal::NotHandedOver);
                    }
                }
                drop(call.reply.send(told));
            }
            (None, UndeliverableEvent::UndeliverableCall(call)) => {
                let none = UndeliverableResponse::Unavailable(
                    "undeliverable messages are not kept here".into(),
                );
                drop(call.reply.send(none));
            }
            (None, UndeliverableEvent::PartnerAnswered { .. }) => {}
        }
    }

    /// A message that was given up goes to the module once more; false if it can't.
    fn resend(&mut self, now: Micros, resend: Resend) -> bool {
        let Resend { again, mut taken } = resend;
        taken.deadline = now
            + self
                .classes
                .class_by_name(&taken.class)
                .map_or(0, |class| class.time_to_live);
        let known_as = MessageName::of_message(&taken);
        // A message of this name that is in hand is another one's.
        let number = match self.in_flight.contains(&known_as) {
            true => None,
            false => self.tenants.message_restored(&taken.tenant),
        };
        let id = self.journal.next_id();
        let class = self.classes.number(&taken.class);
        let message = number.and_then(|tenant| self.message(id, &taken, tenant, class));
        let Some(message) = message.filter(|_| self.tenants.is_known(&taken.tenant)) else {
            log!(
                self.runtime,
                "undeliverable: record {} is not sent again: its class, tenant or name",
                again.record
            );
            if number.is_some() {
                self.tenants.message_released(&taken.tenant);
            }
            self.undeliverable
                .iter_mut()
                .for_each(|desk| desk.resend_not_started(&again));
            return false;
        };
        if let Err(error) = self.journal.accept_resend(id, taken.clone(), again) {
            log!(
                self.runtime,
                "undeliverable: record {} is not sent again: {error}",
                again.record
            );
            self.tenants.message_released(&taken.tenant);
            self.undeliverable
                .iter_mut()
                .for_each(|desk| desk.resend_not_started(&again));
            return false;
        }
        self.in_flight.insert_restored(id, &taken);
        self.control.metrics().record_accepted();
        self.undeliverable
            .iter_mut()
            .for_each(|desk| desk.resend_started(id, again, &taken.name));
        let past = again.past_attempt.map(|past| PastAttempt {
            sent_at: past.sent_at,
            zone: past.zone,
            may_have_executed: true,
        });
        self.events.push(Event::MessageResent {
            message,
            attempts: past.into_iter().collect(),
        });
        true
    }

    fn message(
        &self,
        id: MessageId,
        taken: &AcceptedMessage,
        tenant: TenantId,
        class: Option<u16>,
    ) -> Option<Message> {
        Some(Message {
            id,
            class: class?,
            destination: taken.destination,
            deadline: taken.deadline,
            ordering_key: taken.ordering_key,
            expected_work: None,
            tenant,
            is_resubmitted: taken.is_resubmitted,
            size: taken.journal_size(),
        })
    }

    /// Something happened on a socket.
    pub fn handle_event(&mut self, input: RelayEvent) {
        match input {
            RelayEvent::EnqueueRequest(request) => self.enqueue(request),
            RelayEvent::CallCompleted(end) => {
                self.directory_owner.call_completed(&end);
                self.ended(end);
            }
            RelayEvent::HostListReceived(list) => {
                self.list(list, false);
                self.heard();
            }
            RelayEvent::HostListConfirmed => self.heard(),
            RelayEvent::NotificationsAccepted(ids) => {
                self.undeliverable
                    .iter_mut()
                    .for_each(UndeliverableService::flush);
                ids.into_iter().for_each(|id| self.over(id));
            }
            RelayEvent::Tenants(TenantCall { ask, reply }) => {
                let (sharing, room) = (self.policy.scheduler(), self.journal.restore_spare());
                let told = self.tenants.handle_request(
                    ask,
                    |tenant| sharing.usage(tenant),
                    &mut self.events,
                    room,
                );
                drop(reply.send(told));
            }
            RelayEvent::Undeliverable(news) => self.undeliverable(news),
            RelayEvent::Login(LoginRequest {
                name,
                secret,
                reply,
            }) => {
                drop(reply.send(self.tenants.login(&name, &secret)));
            }
        }
    }

    fn enqueue(&mut self, request: EnqueueRequest) {
        let EnqueueRequest {
            name,
            ordering_key,
            class,
            tenant,
            destination,
            deadline,
            idempotency_key,
            is_resubmitted,
            body,
            login,
            reply,
        } = request;
        let Some(reply) = reply else { return };
        if let Err(why) = self.tenants.check_login(&tenant, login.as_ref()) {
            return self.refuse(&class, reply, why);
        }
        let Some(reply) = self
            .in_flight
            .answer_duplicate(&MessageName::new(&tenant, &name), reply)
        else {
            return;
        };
        if self.control.rejects_messages() {
            return self.refuse(&class, reply, Reply::Busy(ELSEWHERE));
        }
        let mut taken = AcceptedMessage {
            name,
            idempotency_key,
            ordering_key,
            class,
            tenant,
            destination,
            deadline,
            is_resubmitted,
            body,
        };
        let admitted = self
            .checked(&taken)
            .and_then(|()| self.tenants.admit(&taken.tenant, &taken.class, destination));
        let (number, reference) = match admitted {
            Ok(admitted) => admitted,
            Err(why) => return self.refuse(&taken.class, reply, why),
        };
        taken.tenant = reference;
        let id = self.journal.next_id();
        let message = self.message(id, &taken, number, self.classes.number(&taken.class));
        self.events.extend(message.map(Event::MessageReceived));
        self.in_flight.add_arriving(id, taken, reply);
    }

    /// Answers a request that never reaches the module.
    fn refuse(&mut self, class: &str, reply: oneshot::Sender<Reply>, why: Reply) {
        self.control
            .metrics()
            .record_rejected(class, control_socket::end_of_reply(&why));
        drop(reply.send(why));
    }

    /// Whether a message is one that this relay could carry.
    fn checked(&self, taken: &AcceptedMessage) -> Result<(), Reply> {
        let error = |why: &str| Err(Reply::Error(why.into()));
        let Some(class) = self.classes.class_by_name(&taken.class) else {
            return error("unknown class");
        };
        if matches!(class.idempotency, Idempotency::Keyed { .. }) && taken.idempotency_key.is_none()
        {
            return error("the list lacks k");
        }
        if self.host_directory.is_empty() {
            // Not a host is known yet, which says nothing about this message.
            return Err(Reply::Busy(self.come_again()));
        }
        if !self.host_directory.knows_destination(taken.destination) {
            return error("unknown destination");
        }
        Ok(())
    }

    /// Advice for messages that never reach the module.
    fn come_again(&self) -> u64 {
        self.config.settings.max_retry_after / 2000
    }

    fn ended(&mut self, end: CompletedCall) {
        let CompletedCall {
            id,
            attempt,
            host,
            outcome,
            is_final: told_over,
            load_report,
            elapsed,
            opened_connection,
        } = end;
        self.call_log.call(self.clock.now(), id, opened_connection);
        if self.calls.get(&id).is_some_and(|(out, ..)| *out == attempt) {
            self.calls.remove(&id);
        }
        let owed = self.journal.pending().get(&id);
        let over = told_over || owed.is_none_or(|owed| owed.failure.is_some());
        if let Some(owed) = owed.filter(|_| over) {
            if outcome == AttemptOutcome::Delivered && owed.failure.is_none() {
                self.tenants.message_delivered(&owed.accepted.tenant);
            }
            if owed.failure.is_none() {
                let end = if outcome == AttemptOutcome::Delivered {
                    MessageEnd::Success
                } else {
                    MessageEnd::Other
                };
                let end = if owed.resend.is_some() {
                    MessageEnd::Other
                } else {
                    end
                };
                self.control.metrics().record_end(&owed.accepted.class, end);
            }
            self.in_flight
                .complete(self.runtime.now(), MessageName::of_message(&owed.accepted));
        }
        let destination = owed.map(|owed| owed.accepted.destination);
        let kept = outcome == AttemptOutcome::NotStarted
            || self.tell_desk(id, attempt, host, outcome, destination);
        if told_over && kept {
            self.over(id);
        } else if outcome == AttemptOutcome::NotStarted {
            logged(&self.runtime, self.journal.discard_attempt(id, attempt));
        } else {
            logged(
                &self.runtime,
                self.journal
                    .record_outcome(id, attempt, outcome.may_have_executed()),
            );
        }
        let names = self
            .config
            .report
            .iter()
            .zip(&self.config.settings.report_fields);
        let report = load_report
            .and_then(|text| read_report(names, &text))
            .unwrap_or_default();
        self.events.push(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            host,
            outcome,
            elapsed,
            is_final: over,
            load_report: report,
        }));
    }

    /// Tells those who keep undeliverable messages of a call; false if its end can't be kept yet.
    fn tell_desk(
        &mut self,
        id: MessageId,
        attempt: u8,
        host: HostId,
        outcome: AttemptOutcome,
        destination: Option<u16>,
    ) -> bool {
        let now = self.clock.now();
        let Some(desk) = &mut self.undeliverable else {
            return true;
        };
        let name = self
            .host_directory
            .name_of(host)
            .unwrap_or_default()
            .to_string();
        logged(
            &self.runtime,
            self.journal.record_host(
                id,
                attempt,
                &name,
                undeliverable_service::stored_outcome(outcome),
            ),
        );
        if !desk.is_resend(id) {
            destination
                .into_iter()
                .for_each(|destination| desk.attempt_ended(destination, outcome, now));
            return true;
        }
        outcome != AttemptOutcome::Delivered || desk.resend_delivered(id, now)
    }

    /// Nothing more is owed for a message.
    fn over(&mut self, id: MessageId) {
        if let Some(owed) = self.journal.pending().get(&id) {
            self.tenants.message_released(&owed.accepted.tenant);
        }
        logged(&self.runtime, self.journal.remove_message(id));
    }

    /// Answers those whose message the module did not take on.
    fn turn_away(&mut self, id: MessageId, reply: &Reply) {
        if let Some(taken) = self.in_flight.reject_arriving(id, reply) {
            self.control
                .metrics()
                .record_rejected(&taken.class, control_socket::end_of_reply(reply));
            self.tenants.message_rejected(&taken.tenant);
        }
    }

    /// The list is confirmed, or discovery is silent and what is remembered has to serve: calls wait no longer.
    pub fn confirm_host_list(&mut self) {
        let waited = self.membership.borrow_mut().confirm();
        self.events
            .extend(waited.then_some(Event::HostsUnconfirmed(false)));
    }

    /// Discovery was heard.
    fn heard(&mut self) {
        self.confirm_host_list();
        // Where lists are pushed the next process need not know: to it, what its agent has counts as told at once.
        if self.config.settings.polls_discovery {
            let kept = cached_state::record_contact(&self.runtime, &self.config.state);
            kept.unwrap_or_else(|e| log!(self.runtime, "memory: cannot write: {e}"));
        }
    }

    fn list(&mut self, list: HostList, cached: bool) {
        let whole = list.is_full;
        let Config {
            zones,
            kinds,
            settings,
            ..
        } = &self.config;
        let changes = self.host_directory.apply_list(
            list,
            &Names {
                zones,
                kinds,
                settings: &settings.kinds,
            },
        );
        for (host, up) in changes.ready {
            self.membership.borrow_mut().set_listed(host, up);
            if !up {
                self.host_connections.close_idle(host);
            }
        }
        self.events.push(Event::HostsUpdated {
            is_full: whole,
            cached,
            entries: changes.entries,
        });
    }

    /// Tells the module what happened, and does what it says.
    pub fn run_round(&mut self) -> Result<(), String> {
        self.last_round = self.runtime.now();
        let now = self.clock.now();
        if let Some((_, token)) = self.timer.filter(|(at, _)| *at <= now) {
            self.timer = None;
            self.events.push(Event::TimerFired(token));
        }
        let mut actions = Vec::new();
        self.call_log
            .events(now, &self.events, &self.host_directory);
        self.policy
            .handle(now, std::mem::take(&mut self.events), &mut actions);
        self.call_log.actions(now, &actions, &self.policy);
        for action in &actions {
            match action {
                Action::Reject { id, retry_after } => {
                    self.turn_away(*id, &Reply::Busy(retry_after.div_ceil(1000)))
                }
                Action::Fail(id) => self.turn_away(*id, &Reply::Error("given up".into())),
                _ => {}
            }
        }
        self.take_on();
        self.remember();
        for action in actions {
            match action {
                Action::Send { id, host, timeout } => self.send(now, id, host, timeout),
                Action::SetTimer { delay, token } => {
                    self.timer = Some((now.saturating_add(delay), token))
                }
                Action::Reject { id, retry_after } => {
                    self.end(id, DeliveryFailure::Deferred(retry_after.div_ceil(1000)))
                }
                Action::Fail(id) => self.end(id, DeliveryFailure::Undeliverable),
                Action::Cancel { id, attempt } => {
                    if let Some((_, _, cancel)) =
                        self.calls.get_mut(&id).filter(|(out, ..)| *out == attempt)
                    {
                        // Its other side takes this as the order to end. A call of another process is not ended early.
                        *cancel = None;
                    }
                }
                Action::CloseIdleConnections(host) => self.host_connections.close_idle(host),
                // The list is always watched, and there is nobody to probe or talk to.
                Action::Subscribe(_)
                | Action::PollDiscovery
                | Action::Probe(_)
                | Action::SendToPeers { .. } => {}
                Action::Log(text) => log!(self.runtime, "{text}"),
                Action::Abort(text) => return Err(text),
            }
        }
        if self.call_log.wants_levels(now) {
            self.call_log.levels(now, &route_levels::of(self));
        }
        Ok(())
    }

    /// Keeps what has changed of the list and of outages.
    fn remember(&mut self) {
        let outages = self
            .policy
            .outages()
            .map(|told| (told.destination, told.started_at, told.recovered_at))
            .collect();
        if !self.host_directory.has_changed() && self.cached_state.outages == outages {
            return;
        }
        self.cached_state = CachedState {
            list: self.host_directory.full_list(),
            outages,
        };
        if let Err(error) = self
            .cached_state
            .save(&self.runtime, &self.config.state, self.disk)
        {
            log!(self.runtime, "memory: cannot write: {error}");
        }
    }

    /// Takes on what the module has kept: on disk first, then the client is told.
    fn take_on(&mut self) {
        for (id, (taken, replies)) in self.in_flight.take_arriving() {
            let (name, tenant, class) = (
                MessageName::of_message(&taken),
                taken.tenant.clone(),
                taken.class.clone(),
            );
            let reply = match self.journal.accept_message(id, taken) {
                Ok(()) => Reply::Ok,
                Err(error) => {
                    log!(self.runtime, "journal: cannot take a message on: {error}");
                    Reply::Busy(self.come_again())
                }
            };
            let mut heard = false;
            for waiting in replies {
                heard |= waiting.send(reply.clone()).is_ok();
            }
            if reply != Reply::Ok || !heard {
                // Nobody was told that it is taken on, so nothing is owed.
                logged(&self.runtime, self.journal.remove_message(id));
                self.in_flight.remove(&name);
                self.tenants.message_rejected(&tenant);
                self.events.push(Event::MessageWithdrawn(id));
                self.control
                    .metrics()
                    .record_rejected(&class, control_socket::end_of_reply(&reply));
            } else {
                self.control.metrics().record_accepted();
                self.tenants.message_accepted(&tenant);
            }
        }
    }

    fn send(&mut self, now: Micros, id: MessageId, host: HostId, timeout: Micros) {
        let owed = self.journal.pending().get(&id);
        let attempt = owed.map_or(0, |owed| {
            owed.attempts.len().min(usize::from(u8::MAX)) as u8
        });
        let unsent = |outcome, over| {
            let report = Vec::new();
            Event::AttemptEnded(AttemptEnd {
                id,
                attempt,
                host,
                outcome,
                elapsed: 0,
                is_final: over,
                load_report: report,
            })
        };
        let Some(owed) = owed else {
            return self.events.push(unsent(AttemptOutcome::Obsolete, true));
        };
        // The module learns with its next round what the list says by now.
        let listed = self.host_directory.find(host);
        let Some(listed) = listed.filter(|_| {
            self.membership
                .borrow()
                .may_start_call(host, self.runtime.now())
        }) else {
            return self.events.push(unsent(AttemptOutcome::NotStarted, false));
        };
        let ListedHost {
            address,
            zone,
            route,
        } = listed;
        let taken = &owed.accepted;
        let ran = owed
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_executed);
        let begin_by = ran.and_then(|first| match self.class_of(owed)?.idempotency {
            Idempotency::Keyed { window, .. } => Some(self.clock.instant(first.sent_at + window)),
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        });
        let call = Call {
            id,
            attempt,
            host,
            route,
            address,
            name: taken.name.clone(),
            key: taken.idempotency_key.clone(),
            body: taken.body.clone(),
            timeout: Duration::from_micros(timeout),
            begin_by,
        };
        if let Err(error) = self.journal.start_attempt(
            id,
            attempt,
            Attempt {
                sent_at: now,
                zone,
                may_have_executed: true,
            },
        ) {
            log!(self.runtime, "journal: a call is not made: {error}");
            self.events.push(unsent(AttemptOutcome::Obsolete, false));
            return;
        }
        if self.undeliverable.is_some() {
            let name = self
                .host_directory
                .name_of(host)
                .unwrap_or_default()
                .to_string();
            let unknown = undeliverable::Outcome::Unknown;
            logged(
                &self.runtime,
                self.journal.record_host(id, attempt, &name, unknown),
            );
        }
        let (cancel, cancelled) = oneshot::channel();
        self.calls.insert(id, (attempt, host, Some(cancel)));
        let (hosts, inputs) = (self.host_connections.clone(), self.relay_events.clone());
        self.runtime
            .spawn(async move { hosts.call(call, cancelled, inputs).await });
    }

    /// The module has given up a message that was taken on.
    fn end(&mut self, id: MessageId, verdict: DeliveryFailure) {
        let Some(owed) = self.journal.pending().get(&id) else {
            return;
        };
        let name = owed.accepted.name.clone();
        let known_as = MessageName::of_message(&owed.accepted);
        let kept = self.undeliverable.is_some().then(|| owed.clone());
        let again = owed.resend.is_some();
        self.tenants.message_failed(&owed.accepted.tenant, verdict);
        let end = if again {
            MessageEnd::Other
        } else {
            control_socket::end_of_failure(verdict)
        };
        self.control.metrics().record_end(&owed.accepted.class, end);
        logged(&self.runtime, self.journal.record_failure(id, verdict));
        self.in_flight.complete(self.runtime.now(), known_as);
        if again {
            // Its one final answer was given long ago; the record tells of this end.
            let (now, most) = (self.clock.now(), self.config.settings.max_attempts);
            let class = kept.as_ref().and_then(|owed| self.class_of(owed));
            let done = match (&mut self.undeliverable, &kept) {
                (Some(desk), Some(owed)) => {
                    desk.resend_failed(id, owed, class.as_ref(), verdict, most, now)
                }
                _ => true,
            };
            return if done {
                self.over(id)
            };
        }
        if let (DeliveryFailure::Undeliverable, Some(owed)) = (verdict, &kept) {
            self.given_up(owed);
        }
        self.notifications.add(id, name, verdict);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_report_that_cannot_be_read_says_nothing() {
        let names = ["x0".to_string(), "x1".to_string()];
        let fields = [ReportField::AllowanceLeft, ReportField::LimitPerSecond];
        let read = |text| read_report(names.iter().zip(&fields), text);
        assert_eq!(read("x0=0.4,x1=25"), Some(vec![0.4, 25.0]));
        assert_eq!(read(" x1 = 0 , y=7 , x0 = 1.05 "), Some(vec![1.05, 0.0]));
        for text in [
            "",
            "x0=0.4",
            "x1=25",
            "x0=,x1=25",
            "x0=nan,x1=25",
            "x0=0.4,x1=inf",
            "x0=-1,x1=25",
        ] {
            assert_eq!(read(text), None, "{text}");
        }
        for text in [
            "x0=0.4,x1=1e30",
            "x0=900,x1=25",
            "x0=0.4,x1=-25",
            "\u{fffd}",
            "x0=0.4x1=25",
        ] {
            assert_eq!(read(text), None, "{text}");
        }
    }
}
