//! Partners' hosts, which receive calls and respond to them according to their [behaviour](HostBehavior).

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use runtime::{Listener, Runtime, Stream};
use tokio::io::AsyncWriteExt;

use super::effect_log::{EffectLog, EffectTiming};
use super::host_behavior::{HostBehavior, Rejection};
use super::repeating_stream::{CopyTiming, RepeatingStream};
use super::{discard_until_closed, read_request, Numbered, PeerContext, Request};
use crate::history::{CallId, CallOutcome, HostIdentity, Observation, ReceivedCall};
use crate::rng::SimulationRng;

/// Age at which a host's measurement of its remaining limit is renewed.
const MAX_REPORT_AGE: Duration = Duration::from_millis(300);
/// Window over which a host's limit applies.
const LIMIT_WINDOW: Duration = Duration::from_secs(1);
/// Time that a host adds to the wait that it requests.
const WAIT_MARGIN: Duration = Duration::from_millis(50);
/// Delay before each byte of a host that responds bytewise.
const BYTE_INTERVAL: Duration = Duration::from_millis(40);
/// Time within which the relay reads a response.
const READ_TIME: Duration = Duration::from_millis(20);

/// A host's measurement of its remaining limit.
#[derive(Clone, Copy)]
struct LoadReport {
    /// When it was measured.
    at: Duration,
    /// Remaining share of the limit, 0 to 1.
    remaining: f64,
}

/// What happens to a connection after a response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AfterResponse {
    KeepOpen,
    Close,
}

/// A host of a partner.
pub struct Host {
    /// Its id.
    pub name: RefCell<String>,
    /// Its destination.
    pub destination: u16,
    /// Its zone.
    pub zone: String,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// Its current behaviour, which faults change.
    pub behavior: RefCell<HostBehavior>,
    /// Calls per second that it can serve, as its responses report.
    pub capacity: f64,
    rng: RefCell<SimulationRng>,
    /// Arrival times of the calls that count against its limit, in order.
    recent_calls: RefCell<VecDeque<Duration>>,
    open_connections: Cell<usize>,
    load_report: Cell<LoadReport>,
    /// Log of the calls that took effect; set in scenarios that need it.
    pub effect_log: RefCell<Option<EffectLog>>,
}

impl Host {
    /// Creates a host with the default behaviour.
    #[must_use]
    pub fn new(
        name: &str,
        destination: u16,
        zone: &str,
        address: SocketAddr,
        capacity: f64,
        rng: SimulationRng,
    ) -> Rc<Self> {
        Rc::new(Host {
            name: RefCell::new(name.into()),
            destination,
            zone: zone.into(),
            address,
            behavior: RefCell::default(),
            capacity,
            rng: RefCell::new(rng),
            recent_calls: RefCell::default(),
            open_connections: Cell::new(0),
            load_report: Cell::new(LoadReport {
                at: Duration::ZERO,
                remaining: 1.0,
            }),
            effect_log: RefCell::default(),
        })
    }

    /// Accepts and serves connections indefinitely.
    ///
    /// # Errors
    ///
    /// Returns the listener's error if the address cannot be bound.
    pub async fn serve<R: Runtime>(self: Rc<Self>, context: PeerContext<R>) -> io::Result<()>
    where
        R::Stream: Numbered,
    {
        let listener = context.runtime.listen(self.address).await?;
        loop {
            let stream = listener.accept().await?;
            let (host, peer_context) = (self.clone(), context.clone());
            context.runtime.spawn(async move {
                host.open_connections.set(host.open_connections.get() + 1);
                peer_context.observe(&Observation::HostConnectionAccepted(
                    host.open_connections.get(),
                ));
                // Errors are ignored: the relay has to handle a broken connection.
                let _ = host.connection(&peer_context, stream).await;
                host.open_connections.set(host.open_connections.get() - 1);
            });
        }
    }

    async fn connection<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        stream: R::Stream,
    ) -> io::Result<()>
    where
        R::Stream: Numbered,
    {
        stream.set_nodelay()?;
        let mut stream = RepeatingStream::new(context.runtime.clone(), stream);
        let mut text = BytesMut::new();
        let max_connections = self.behavior.borrow().max_connections;
        let is_over_limit = max_connections.is_some_and(|max| self.open_connections.get() > max);
        while let Some(request) = read_request(context, &mut stream, &mut text).await? {
            let call = self.received_call(context, &request, stream.number());
            let id = context
                .checker
                .borrow_mut()
                .observe_call(context.elapsed(), &call, &|conn| {
                    (context.is_connection_open)(conn)
                });
            let Some(id) = id else {
                stream
                    .write_all(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                    .await?;
                continue;
            };
            if self.behavior.borrow().drops_calls {
                self.record_silent_effect(context, &call);
                context.observe(&Observation::CallConnectionClosed(&id));
                return Ok(());
            }
            if is_over_limit {
                let text =
                    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
                return self
                    .write(
                        context,
                        &mut stream,
                        &id,
                        CallOutcome::Rejected {
                            retry_after: Duration::ZERO,
                        },
                        text,
                    )
                    .await;
            }
            let after = self.respond(context, &mut stream, &id, &call).await;
            if !matches!(after, Ok(AfterResponse::KeepOpen)) {
                context.observe(&Observation::CallConnectionClosed(&id));
                after?;
                return Ok(());
            }
        }
        Ok(())
    }

    fn received_call<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        request: &Request,
        connection: u64,
    ) -> ReceivedCall {
        let text = |name: &str| request.header(name).map(String::from);
        let id = text("x-trace-id").unwrap_or_default();
        let host = HostIdentity {
            name: self.name.borrow().clone(),
            destination: self.destination,
            zone: self.zone.clone(),
        };
        (context.trace)(format_args!("{} gets {id}", host.name));
        ReceivedCall {
            connection,
            host,
            first_byte_at: request.first_byte_at,
            request_line: request.line.clone(),
            message_id: id,
            idempotency_key: text("idempotency-key"),
            expires_in_ms: text("x-expires-in-ms").and_then(|text| text.parse().ok()),
            body: request.body.clone(),
        }
    }

    fn draw<T>(&self, draw: impl FnOnce(&mut SimulationRng) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// Counts a call against the limit. Returns the wait to request if the host is at its limit.
    fn wait_at_limit(
        &self,
        max_calls: f64,
        behavior: &HostBehavior,
        at: Duration,
    ) -> Option<Duration> {
        let mut recent = self.recent_calls.borrow_mut();
        while recent
            .front()
            .is_some_and(|first| *first + LIMIT_WINDOW < at)
        {
            recent.pop_front();
        }
        if (recent.len() as f64) < max_calls {
            recent.push_back(at);
            return None;
        }
        let wait = recent
            .front()
            .map(|first| (*first + LIMIT_WINDOW + WAIT_MARGIN).saturating_sub(at));
        if behavior.rejections_use_limit {
            recent.push_back(at);
            recent.truncate(4 * max_calls as usize + 4);
        }
        wait
    }

    /// Returns the load report header of a response. The remaining share of the limit is measured again once the
    /// measurement is `MAX_REPORT_AGE` old; the response that triggers this still reports the old value.
    fn load_report(&self, at: Duration) -> String {
        let behavior = self.behavior.borrow();
        let limit = behavior.max_calls_per_second;
        let Some(limit) = limit.filter(|_| behavior.rejections_use_limit) else {
            return format!("Endpoint-Load-Metrics: x0=0.6,x1={:.1}\r\n", self.capacity);
        };
        let report = self.load_report.get();
        if report.at + MAX_REPORT_AGE <= at {
            let recent = self.recent_calls.borrow();
            let used = recent
                .iter()
                .filter(|call| **call + LIMIT_WINDOW >= at)
                .count();
            let remaining = (1.0 - used as f64 / limit).max(0.0);
            self.load_report.set(LoadReport { at, remaining });
        }
        format!(
            "Endpoint-Load-Metrics: x0={:.3},x1={limit:.1}\r\n",
            report.remaining
        )
    }

    /// Records a call that was not rejected in the effect log, if there is one.
    fn record_effect<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        call: &ReceivedCall,
        is_success: bool,
        timing: EffectTiming,
    ) {
        if let Some(effect_log) = &*self.effect_log.borrow() {
            effect_log.record_call(context, call, is_success, timing);
        }
    }

    /// Records a call that gets no response. It may take effect after any work.
    fn record_silent_effect<R: Runtime>(&self, context: &PeerContext<R>, call: &ReceivedCall) {
        let timing = EffectTiming {
            begin_delay: self.draw_begin_delay(),
            work: self.draw_work(),
        };
        self.record_effect(context, call, false, timing);
    }

    /// Draws how long after its arrival a call begins. Draws nothing if all begin at once, so that other scenarios keep
    /// their sequence.
    fn draw_begin_delay(&self) -> Duration {
        self.draw_up_to(self.behavior.borrow().max_begin_delay_ms)
    }

    fn draw_work(&self) -> Duration {
        self.draw_up_to(self.behavior.borrow().max_work_ms)
    }

    fn draw_up_to(&self, max_ms: u64) -> Duration {
        if max_ms == 0 {
            return Duration::ZERO;
        }
        Duration::from_millis(self.draw(|rng| rng.between(0, max_ms)))
    }

    async fn respond<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        stream: &mut RepeatingStream<R>,
        id: &CallId,
        call: &ReceivedCall,
    ) -> io::Result<AfterResponse>
    where
        R::Stream: Numbered,
    {
        let behavior = self.behavior.borrow().clone();
        if behavior.hangs {
            self.record_silent_effect(context, call);
            discard_until_closed(stream).await;
            return Ok(AfterResponse::Close);
        }
        if let Some(wait) = self.rejection_wait(context.elapsed(), &behavior) {
            self.reject(context, stream, id, wait, &behavior).await?;
            return Ok(AfterResponse::KeepOpen);
        }
        let (response_ms, is_error, is_corrupted) = self.draw(|rng| {
            (
                rng.between(behavior.min_response_ms, behavior.max_response_ms),
                rng.percent(behavior.error_percent),
                rng.percent(behavior.corruption_percent),
            )
        });
        let begin_delay = self.draw_begin_delay();
        let response_time = Duration::from_millis(response_ms);
        if is_error && !is_corrupted {
            let work = self.draw_work();
            self.record_effect(context, call, false, EffectTiming { begin_delay, work });
        } else if !is_corrupted {
            // A call has taken effect when its success is reported.
            let work = response_time.min(Duration::from_millis(behavior.max_work_ms));
            self.record_effect(context, call, true, EffectTiming { begin_delay, work });
        }
        // A relay that abandons the call closes its connection during the wait.
        tokio::select! {
            biased;
            () = context.runtime.sleep(begin_delay + response_time) => {}
            () = discard_until_closed(stream) => return Ok(AfterResponse::Close),
        }
        if is_corrupted {
            return self.respond_corrupted(context, stream, id, call).await;
        }
        if is_error {
            let text = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
            self.write(context, stream, id, CallOutcome::MayHaveExecuted, text)
                .await?;
            return Ok(AfterResponse::KeepOpen);
        }
        self.respond_delivered(context, stream, id, &behavior).await
    }

    /// Returns the wait to request if the call is rejected, zero for no wait; none if it is not rejected.
    fn rejection_wait(&self, at: Duration, behavior: &HostBehavior) -> Option<Duration> {
        match behavior.rejection {
            Some(Rejection::WithoutWait) => Some(Duration::ZERO),
            Some(Rejection::Until(until)) => Some(until.saturating_sub(at)),
            None => {
                let limit = behavior.max_calls_per_second?;
                self.wait_at_limit(limit, behavior, at)
            }
        }
    }

    /// Rejects a call with 429 and the wait, or with 503 if the wait is zero or withheld.
    async fn reject<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        stream: &mut RepeatingStream<R>,
        id: &CallId,
        wait: Duration,
        behavior: &HostBehavior,
    ) -> io::Result<()>
    where
        R::Stream: Numbered,
    {
        let hides_wait = behavior.rejections_use_limit && self.draw(|rng| rng.percent(50));
        let millis = if hides_wait { 0 } else { wait.as_millis() };
        let head = if millis > 0 {
            format!("HTTP/1.1 429 Too Many Requests\r\nX-Backoff-Ms: {millis}\r\n")
        } else {
            "HTTP/1.1 503 Service Unavailable\r\n".into()
        };
        let report = if behavior.rejections_use_limit {
            self.load_report(context.elapsed())
        } else {
            String::new()
        };
        let outcome = CallOutcome::Rejected {
            retry_after: Duration::from_millis(millis as u64),
        };
        let text = format!("{head}{report}Content-Length: 0\r\n\r\n");
        self.write(context, stream, id, outcome, &text).await
    }

    /// Responds with status 200.
    async fn respond_delivered<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        stream: &mut RepeatingStream<R>,
        id: &CallId,
        behavior: &HostBehavior,
    ) -> io::Result<AfterResponse>
    where
        R::Stream: Numbered,
    {
        let report = self.load_report(context.elapsed());
        let text = format!("HTTP/1.1 200 OK\r\n{report}Content-Length: 2\r\n\r\nok");
        if behavior.responds_bytewise {
            let status_line_length = text.find('\n').unwrap_or(0) + 1;
            for (sent, byte) in text.bytes().enumerate() {
                context.runtime.sleep(BYTE_INTERVAL).await;
                if sent + 1 == status_line_length {
                    context.observe(&Observation::ResponseStarted {
                        call: id,
                        outcome: CallOutcome::Delivered,
                    });
                }
                stream.write_all(&[byte]).await?;
            }
            return Ok(AfterResponse::KeepOpen);
        }
        self.write(context, stream, id, CallOutcome::Delivered, &text)
            .await?;
        if behavior.closes_after_response && self.draw(|rng| rng.percent(60)) {
            let delay_ms = self.draw(|rng| rng.below(250));
            // The close may coincide with the next call, which is then never read.
            context.runtime.sleep(Duration::from_millis(delay_ms)).await;
            return Ok(AfterResponse::Close);
        }
        Ok(AfterResponse::KeepOpen)
    }

    /// Writes a response and reports it.
    async fn write<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        stream: &mut RepeatingStream<R>,
        id: &CallId,
        outcome: CallOutcome,
        text: &str,
    ) -> io::Result<()>
    where
        R::Stream: Numbered,
    {
        context.observe(&Observation::ResponseStarted { call: id, outcome });
        // Behind a copy, the relay cannot be certain that a response belongs to its call.
        let is_certain = !stream.has_repeated();
        let repeat_percent = self.behavior.borrow().repeat_percent;
        // Drawn only where the fault is active, so that other scenarios keep their sequence.
        if repeat_percent > 0 && self.draw(|rng| rng.percent(repeat_percent)) {
            let timing = self.draw(CopyTiming::draw);
            stream.write_twice(text.as_bytes(), timing).await?;
        } else {
            stream.write_all(text.as_bytes()).await?;
        }
        if is_certain {
            self.report_read(context, stream.number(), id);
        }
        Ok(())
    }

    /// Reports a response as read after [`READ_TIME`], if the relay still holds the connection then and so has certainly
    /// read it.
    fn report_read<R: Runtime>(&self, context: &PeerContext<R>, connection: u64, id: &CallId) {
        let (context, id) = (context.clone(), id.clone());
        context.clone().runtime.spawn(async move {
            context.runtime.sleep(READ_TIME).await;
            if (context.is_connection_readable)(connection) {
                context.observe(&Observation::ResponseRead(&id));
            }
        });
    }

    /// Sends a corrupted response. Its status line, if valid, is still correct.
    async fn respond_corrupted<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        stream: &mut RepeatingStream<R>,
        id: &CallId,
        call: &ReceivedCall,
    ) -> io::Result<AfterResponse>
    where
        R::Stream: Numbered,
    {
        let kind = self.draw(|rng| rng.below(9));
        let (outcome, text): (_, &[u8]) = match kind {
            0 => (CallOutcome::MayHaveExecuted, b"\x01\x02\xff\r\n\r\nnoise"),
            1 => (CallOutcome::Delivered, b"HTTP/1.1 200 OK\r\n\x01: \xff\r\n\r\n"),
            2 => (CallOutcome::MayHaveExecuted, b"HTTP/1.1 500 Oh\r\nContent-Length: x\r\n\r\n"),
            3 => (CallOutcome::Delivered, b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nmore and more"),
            4 => (
                CallOutcome::Delivered,
                b"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            ),
            5 => (
                CallOutcome::Delivered,
                b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            ),
            6 => (
                CallOutcome::Delivered,
                b"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: x0=-1,x1=nan\r\nContent-Length: 0\r\n\r\n",
            ),
            7 => (CallOutcome::MayHaveExecuted, b"HTTP/1.1 500 Oh\r\nA: and no end"),
            _ => {
                (CallOutcome::Delivered, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\nabc")
            }
        };
        let is_success = outcome == CallOutcome::Delivered;
        self.record_effect(context, call, is_success, EffectTiming::default());
        context.observe(&Observation::ResponseStarted { call: id, outcome });
        stream.write_all(text).await?;
        if matches!(kind, 4 | 6) {
            self.report_read(context, stream.number(), id);
            return Ok(AfterResponse::KeepOpen);
        }
        discard_until_closed(stream).await;
        Ok(AfterResponse::Close)
    }
}
