//! What took effect at the partners: the truth that only the world knows, and the status pages that tell it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use runtime::{Listener, Runtime};
use tokio::io::AsyncWriteExt;

use super::{read_request, Stage};
use crate::dice::Dice;
use crate::history::{Idempotency, Observation, ReceivedCall};

/// A call that is not answered well has taken effect so often, of a hundred.
const SILENTLY: u64 = 50;
/// A status page that is late takes so long.
const LATE: Duration = Duration::from_secs(3);

struct Book {
    dice: Dice,
    /// How often each message took effect.
    effects: BTreeMap<String, u32>,
    /// Keys that a destination remembers, or a zone of it, and since when.
    keys: BTreeMap<(u16, String, String), Duration>,
}

/// The books of all partners.
#[derive(Clone)]
pub struct Ledger(Rc<RefCell<Book>>);

impl Ledger {
    /// Nothing has taken effect yet.
    #[must_use]
    pub fn new(dice: Dice) -> Self {
        Ledger(Rc::new(RefCell::new(Book {
            dice,
            effects: BTreeMap::new(),
            keys: BTreeMap::new(),
        })))
    }

    /// A call has come that was not turned away. One that is answered well takes effect, another may.
    pub fn arrives<R: Runtime>(&self, stage: &Stage<R>, call: &ReceivedCall, well: bool) {
        let Some(idempotency) = stage.checker.borrow().idempotency_of(&call.message_id) else {
            return;
        };
        let mut book = self.0.borrow_mut();
        if !well && !book.dice.percent(SILENTLY) {
            return;
        }
        if let (Idempotency::Keyed { window, zone_only }, Some(key)) =
            (idempotency, &call.idempotency_key)
        {
            let zone = if zone_only {
                call.host.zone.clone()
            } else {
                String::new()
            };
            let at = (call.host.destination, zone, key.clone());
            if book
                .keys
                .get(&at)
                .is_some_and(|since| *since + window > stage.at())
            {
                return;
            }
            book.keys.insert(at, stage.at());
        }
        let times = book.effects.entry(call.message_id.clone()).or_default();
        *times += 1;
        let times = *times;
        drop(book);
        (stage.news)(format_args!(
            "{} takes effect, time {times}",
            call.message_id
        ));
        stage.observe(&Observation::EffectApplied {
            id: &call.message_id,
            times,
        });
    }

    /// Whether a message took effect.
    #[must_use]
    pub fn knows(&self, id: &str) -> bool {
        self.0.borrow().effects.contains_key(id)
    }

    /// Answers status queries at an address for good: at times late, or with what says nothing.
    ///
    /// # Errors
    ///
    /// The listener's error if the address cannot be bound.
    pub async fn serve<R: Runtime>(self, stage: Stage<R>, address: SocketAddr) -> io::Result<()> {
        let listener = stage.runtime.listen(address).await?;
        loop {
            let mut stream = listener.accept().await?;
            let (own, ledger) = (stage.clone(), self.clone());
            stage.runtime.spawn(async move {
                let mut text = BytesMut::new();
                let Ok(Some(request)) = read_request(&own, &mut stream, &mut text).await else {
                    return;
                };
                let id = request.line.rsplit('/').next().unwrap_or("").to_string();
                let kind = ledger.0.borrow_mut().dice.below(10);
                if kind == 0 {
                    own.runtime.sleep(LATE).await;
                }
                // The truth of the moment of the answer.
                let truth = if ledger.knows(&id) { "done" } else { "absent" };
                let body = match kind {
                    1 => "<html>sorry".to_string(),
                    2 => "{\"status\":\"queued\"}".to_string(),
                    _ => format!("{{\"status\":\"{truth}\"}}"),
                };
                let head = if kind == 3 { "500 Oh" } else { "200 OK" };
                let text = format!(
                    "HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                // Who does not read it asks again.
                let _ = stream.write_all(text.as_bytes()).await;
                own.runtime.sleep(LATE).await;
            });
        }
    }
}
