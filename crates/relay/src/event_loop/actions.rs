//! Carries out the policy's actions.

use policy::types::{Action, MessageId, Micros};
use relay_events::{DeliveryFailure, Reply};
use runtime::{log, Runtime};

use super::{EventLoop, PolicyAborted, Timer, MICROS_PER_MS};
use crate::control_socket;

/// Error text for a message that the policy fails before it was accepted. Part of the wire protocol.
const FAILED_ON_ARRIVAL: &str = "given up";

impl<R: Runtime> EventLoop<R> {
    /// Answers the clients whose messages the policy rejects on arrival, before any other is accepted.
    pub(super) fn reject_arriving(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Reject { id, retry_after } => {
                    self.reject_arrival(*id, &Reply::Busy(retry_after.div_ceil(MICROS_PER_MS)));
                }
                Action::Fail(id) => {
                    self.reject_arrival(*id, &Reply::Error(FAILED_ON_ARRIVAL.into()));
                }
                _ => {}
            }
        }
    }

    fn reject_arrival(&mut self, id: MessageId, reply: &Reply) {
        let Some(message) = self.in_flight.reject_arriving(id, reply) else {
            return;
        };
        self.control
            .metrics()
            .record_rejected(&message.class, control_socket::message_end_for_reply(reply));
        self.tenants.message_rejected(&message.tenant);
    }

    /// Carries out the actions in order.
    pub(super) fn carry_out(
        &mut self,
        now: Micros,
        actions: Vec<Action>,
    ) -> Result<(), PolicyAborted> {
        for action in actions {
            match action {
                Action::Send { id, host, timeout } => self.send(now, id, host, timeout),
                Action::SetTimer { delay, token } => self.set_timer(now, delay, token),
                Action::Reject { id, retry_after } => {
                    let retry_after_ms = retry_after.div_ceil(MICROS_PER_MS);
                    self.fail_message(id, DeliveryFailure::Deferred(retry_after_ms));
                }
                Action::Fail(id) => self.fail_message(id, DeliveryFailure::Undeliverable),
                Action::Cancel { id, attempt } => self.cancel_attempt(id, attempt),
                Action::CloseIdleConnections(host) => self.host_connections.close_idle(host),
                // Not needed here: the host list is always watched, and the relay neither probes hosts nor has peers.
                Action::Subscribe(_)
                | Action::PollDiscovery
                | Action::Probe(_)
                | Action::SendToPeers { .. } => {}
                Action::Log(text) => log!(self.runtime, "policy: reported text={text}"),
                Action::Abort(text) => return Err(PolicyAborted(text)),
            }
        }
        Ok(())
    }

    fn set_timer(&mut self, now: Micros, delay: Micros, token: u64) {
        let at = now.saturating_add(delay);
        self.timer = Some(Timer { at, token });
    }
}
