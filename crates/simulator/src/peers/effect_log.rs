//! What took effect at the partners, which only the simulation knows, and the status pages that say so.

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

/// Percentage of the calls without a success for a response that take effect.
const SILENT_EFFECT_PERCENT: u64 = 50;
/// A status page that is late takes this long.
const LATE_RESPONSE_TIME: Duration = Duration::from_secs(3);

/// An idempotency key that a destination remembers, or one of its zones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RememberedKey {
    destination: u16,
    /// Empty if all zones share the memory.
    zone: String,
    key: String,
}

struct Effects {
    rng: SimulationRng,
    /// How often each message took effect.
    times: BTreeMap<String, u32>,
    /// When each key was first seen.
    keys: BTreeMap<RememberedKey, Duration>,
}

/// What took effect at all partners.
#[derive(Clone)]
pub struct EffectLog(Rc<RefCell<Effects>>);

impl EffectLog {
    /// A log in which nothing has taken effect yet.
    #[must_use]
    pub fn new(rng: SimulationRng) -> Self {
        EffectLog(Rc::new(RefCell::new(Effects {
            rng,
            times: BTreeMap::new(),
            keys: BTreeMap::new(),
        })))
    }

    /// A call has come that was not rejected. One with a success for a response takes effect, another may.
    pub fn record_call<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        call: &ReceivedCall,
        is_success: bool,
    ) {
        let id = &call.message_id;
        let Some(idempotency) = context.checker.borrow().idempotency_of(id) else {
            return;
        };
        let mut effects = self.0.borrow_mut();
        if !is_success && !effects.rng.percent(SILENT_EFFECT_PERCENT) {
            return;
        }
        if effects.is_repeated(call, idempotency, context.at()) {
            return;
        }
        let times = effects.times.entry(id.clone()).or_default();
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

    /// Serves status queries at an address for good: at times late, or with a page that says nothing.
    ///
    /// # Errors
    ///
    /// The listener's error if the address cannot be bound.
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
                // What is true at the moment of the response.
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
                // Who does not read it queries again.
                let _ = stream.write_all(text.as_bytes()).await;
                own.runtime.sleep(LATE_RESPONSE_TIME).await;
            });
        }
    }
}

impl Effects {
    /// Whether the call's idempotency key is remembered; if not, it is from now on.
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
