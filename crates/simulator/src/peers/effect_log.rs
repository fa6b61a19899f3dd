//! The effects of messages at the partners, which only the simulation knows, and the status pages that report them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use runtime::{Listener, Runtime};
use tokio::io::AsyncWriteExt;

use super::{read_request, PeerContext};
use crate::history::{Idempotency, Observation, ReceivedCall};
use crate::rng::SimulationRng;

/// Percentage of calls that take effect among those without a successful response.
const SILENT_EFFECT_PERCENT: u64 = 50;
/// How often a host that has not begun a call notices that its connection has ended.
pub const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of a late status page.
const LATE_RESPONSE_TIME: Duration = Duration::from_secs(3);

/// An idempotency key that a destination, or one of its zones, remembers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RememberedKey {
    destination: u16,
    /// Empty if all zones share the remembered keys.
    zone: String,
    key: String,
}

/// When a call takes effect.
#[derive(Clone, Copy, Debug, Default)]
pub struct EffectTiming {
    /// From the arrival of the call until its host begins it, unless its connection ends before.
    pub begin_delay: Duration,
    /// From then until it takes effect, whether or not the relay still waits.
    pub work: Duration,
}

impl EffectTiming {
    fn is_immediate(self) -> bool {
        self.begin_delay + self.work == Duration::ZERO
    }
}

struct Effects {
    rng: SimulationRng,
    /// How many times each message took effect.
    times: BTreeMap<String, u32>,
    /// When each key was first seen; a key that has expired starts anew.
    keys: BTreeMap<RememberedKey, Duration>,
}

/// The effects of messages at all partners.
#[derive(Clone)]
pub struct EffectLog(Rc<RefCell<Effects>>);

impl EffectLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new(rng: SimulationRng) -> Self {
        EffectLog(Rc::new(RefCell::new(Effects {
            rng,
            times: BTreeMap::new(),
            keys: BTreeMap::new(),
        })))
    }

    /// Records a call that was not rejected. A call with a successful response takes effect; any other call may, with a
    /// probability of `SILENT_EFFECT_PERCENT`. Calls with a remembered idempotency key take no effect.
    pub fn record_call<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        call: &ReceivedCall,
        is_success: bool,
        timing: EffectTiming,
    ) {
        let id = &call.message_id;
        let Some(idempotency) = context.checker.borrow().idempotency_of(id) else {
            return;
        };
        let mut effects = self.0.borrow_mut();
        if !is_success && !effects.rng.percent(SILENT_EFFECT_PERCENT) {
            return;
        }
        if effects.is_repeated(call, idempotency, context.elapsed()) {
            return;
        }
        drop(effects);
        if timing.is_immediate() {
            return self.apply(context, id);
        }
        let (log, own) = (self.clone(), context.clone());
        let (id, connection) = (id.clone(), call.connection);
        context.runtime.spawn(async move {
            wait_until_begun(&own, connection, timing.begin_delay).await;
            own.runtime.sleep(timing.work).await;
            log.apply(&own, &id);
        });
    }

    fn apply<R: Runtime>(&self, context: &PeerContext<R>, id: &str) {
        let mut effects = self.0.borrow_mut();
        let times = effects.times.entry(id.into()).or_default();
        *times += 1;
        let times = *times;
        drop(effects);
        (context.trace)(format_args!("{id} takes effect, time {times}"));
        context.observe(&Observation::EffectApplied { id, times });
    }

    /// Whether a message took effect.
    #[must_use]
    pub fn has_effect(&self, id: &str) -> bool {
        self.0.borrow().times.contains_key(id)
    }

    /// Serves status queries at an address indefinitely. Some responses are late, and some give no usable status.
    ///
    /// # Errors
    ///
    /// Returns the listener's error if the address cannot be bound.
    pub async fn serve<R: Runtime>(
        self,
        context: PeerContext<R>,
        address: SocketAddr,
    ) -> io::Result<()> {
        let listener = context.runtime.listen(address).await?;
        loop {
            let mut stream = listener.accept().await?;
            let (own, log) = (context.clone(), self.clone());
            context.runtime.spawn(async move {
                let mut text = BytesMut::new();
                let Ok(Some(request)) = read_request(&own, &mut stream, &mut text).await else {
                    return;
                };
                let id = request.line.rsplit('/').next().unwrap_or("").to_string();
                let kind = log.0.borrow_mut().rng.below(10);
                if kind == 0 {
                    own.runtime.sleep(LATE_RESPONSE_TIME).await;
                }
                // The status at the time of the response, not of the query.
                let status = if log.has_effect(&id) {
                    "done"
                } else {
                    "absent"
                };
                let body = match kind {
                    1 => "<html>sorry".to_string(),
                    2 => "{\"status\":\"queued\"}".to_string(),
                    _ => format!("{{\"status\":\"{status}\"}}"),
                };
                let head = if kind == 3 { "500 Oh" } else { "200 OK" };
                let text = format!(
                    "HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                // A relay that does not receive the response queries again.
                let _ = stream.write_all(text.as_bytes()).await;
                own.runtime.sleep(LATE_RESPONSE_TIME).await;
            });
        }
    }
}

/// Waits until a host begins a call: after the delay, or as the connection ends.
async fn wait_until_begun<R: Runtime>(context: &PeerContext<R>, connection: u64, delay: Duration) {
    let begins_at = context.elapsed() + delay;
    while context.elapsed() < begins_at && (context.is_connection_open)(connection) {
        context.runtime.sleep(CONNECTION_CHECK_INTERVAL).await;
    }
}

impl Effects {
    /// Whether the call's idempotency key is remembered; if not, remembers it.
    fn is_repeated(
        &mut self,
        call: &ReceivedCall,
        idempotency: Idempotency,
        now: Duration,
    ) -> bool {
        let (Idempotency::Keyed { window, zone_only }, Some(key)) =
            (idempotency, &call.idempotency_key)
        else {
            return false;
        };
        let zone = if zone_only {
            call.host.zone.clone()
        } else {
            String::new()
        };
        let key = RememberedKey {
            destination: call.host.destination,
            zone,
            key: key.clone(),
        };
        let seen_at = self.keys.get(&key);
        if seen_at.is_some_and(|seen_at| *seen_at + window > now) {
            return true;
        }
        self.keys.insert(key, now);
        false
    }
}
