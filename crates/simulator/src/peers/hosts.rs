//! Partners' hosts: they take calls and answer them, more or less well.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use runtime::{Listener, Runtime, Stream};
use tokio::io::AsyncWriteExt;

use super::ledger::Ledger;
use super::{read_request, until_closed, Numbered, Request, Stage};
use crate::dice::Dice;
use crate::history::{CallId, CallOutcome, HostIdentity, Observation, ReceivedCall};

/// A host's report on its allowance is as old as this at most.
const REPORTED: Duration = Duration::from_millis(300);

/// How a host does at present.
#[derive(Clone, Debug, PartialEq)]
pub struct Mood {
    /// Bounds of the time that it takes to answer, in milliseconds.
    pub takes: (u64, u64),
    /// Of a hundred calls so many end in an error.
    pub fails: u64,
    /// Of a hundred answers so many are spoilt.
    pub spoils: u64,
    /// Turns all calls away, until this if it tells a wait.
    pub shut: Option<Option<Duration>>,
    /// Says nothing.
    pub hangs: bool,
    /// Ends each connection that a call comes on.
    pub down: bool,
    /// Answers a byte at a time.
    pub trickles: bool,
    /// Closes connections soon after an answer, or just when the next call comes.
    pub closes: bool,
    /// Calls a second that it takes; turns the others away and tells a wait.
    pub limit: Option<f64>,
    /// Those turned away use the limit up too, half of them are told no wait, and answers report what is left.
    pub spends: bool,
    /// Connections that it holds at most.
    pub connections: Option<usize>,
}

impl Default for Mood {
    fn default() -> Self {
        Mood {
            takes: (5, 60),
            fails: 0,
            spoils: 0,
            shut: None,
            hangs: false,
            down: false,
            trickles: false,
            closes: false,
            limit: None,
            spends: false,
            connections: None,
        }
    }
}

/// A host.
pub struct Host {
    /// Its id.
    pub name: RefCell<String>,
    /// Its destination.
    pub block: u16,
    /// Its zone.
    pub zone: String,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// How it does.
    pub mood: RefCell<Mood>,
    /// Calls a second that it could take, as its answers report.
    pub capacity: f64,
    dice: RefCell<Dice>,
    taken: RefCell<VecDeque<Duration>>,
    /// Connections that are open.
    open: Cell<usize>,
    /// What it reports as left of its allowance, and since when.
    left: Cell<(Duration, f64)>,
    /// Where it books what took effect, on days on which that is asked for.
    pub ledger: RefCell<Option<Ledger>>,
}

impl Host {
    /// A host that does well.
    #[must_use]
    pub fn new(
        name: &str,
        block: u16,
        zone: &str,
        address: SocketAddr,
        capacity: f64,
        dice: Dice,
    ) -> Rc<Self> {
        Rc::new(Host {
            name: RefCell::new(name.into()),
            block,
            zone: zone.into(),
            address,
            mood: RefCell::default(),
            capacity,
            dice: RefCell::new(dice),
            taken: RefCell::default(),
            open: Cell::new(0),
            left: Cell::new((Duration::ZERO, 1.0)),
            ledger: RefCell::default(),
        })
    }

    /// Takes connections for good.
    ///
    /// # Errors
    ///
    /// The listener's error if the address cannot be bound.
    pub async fn serve<R: Runtime>(self: Rc<Self>, stage: Stage<R>) -> io::Result<()>
    where
        R::Stream: Numbered,
    {
        let listener = stage.runtime.listen(self.address).await?;
        loop {
            let stream = listener.accept().await?;
            let (host, own) = (self.clone(), stage.clone());
            stage.runtime.spawn(async move {
                host.open.set(host.open.get() + 1);
                own.observe(&Observation::HostConnectionAccepted(host.open.get()));
                // A connection that breaks is the relay's to make good.
                let _ = host.connection(&own, stream).await;
                host.open.set(host.open.get() - 1);
            });
        }
    }

    async fn connection<R: Runtime>(
        &self,
        stage: &Stage<R>,
        mut stream: R::Stream,
    ) -> io::Result<()>
    where
        R::Stream: Numbered,
    {
        stream.set_nodelay()?;
        let mut text = BytesMut::new();
        let crowded = self
            .mood
            .borrow()
            .connections
            .is_some_and(|most| self.open.get() > most);
        while let Some(request) = read_request(stage, &mut stream, &mut text).await? {
            let called = self.called(stage, &request, stream.number());
            let name = stage
                .checker
                .borrow_mut()
                .observe_call(stage.at(), &called, &|conn| (stage.holds)(conn));
            let Some(name) = name else {
                stream
                    .write_all(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                    .await?;
                continue;
            };
            if self.mood.borrow().down {
                self.book(stage, &called, false);
                stage.observe(&Observation::CallConnectionClosed(&name));
                return Ok(());
            }
            if crowded {
                let text =
                    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
                return self
                    .write(
                        stage,
                        &mut stream,
                        &name,
                        CallOutcome::Rejected {
                            retry_after: Duration::ZERO,
                        },
                        text,
                    )
                    .await;
            }
            let kept = self.answer(stage, &mut stream, &name, &called).await;
            if !matches!(kept, Ok(true)) {
                stage.observe(&Observation::CallConnectionClosed(&name));
                kept?;
                return Ok(());
            }
        }
        Ok(())
    }

    fn called<R: Runtime>(&self, stage: &Stage<R>, request: &Request, conn: u64) -> ReceivedCall {
        let text = |name: &str| request.header(name).map(String::from);
        let id = text("x-trace-id").unwrap_or_default();
        let host = HostIdentity {
            name: self.name.borrow().clone(),
            destination: self.block,
            zone: self.zone.clone(),
        };
        (stage.news)(format_args!("{} gets {id}", host.name));
        ReceivedCall {
            connection: conn,
            host,
            first_byte_at: request.begun,
            request_line: request.line.clone(),
            message_id: id,
            idempotency_key: text("idempotency-key"),
            expires_in_ms: text("x-expires-in-ms").and_then(|text| text.parse().ok()),
            body: request.body.clone(),
        }
    }

    fn draw<T>(&self, draw: impl FnOnce(&mut Dice) -> T) -> T {
        draw(&mut self.dice.borrow_mut())
    }

    /// How long a call has to stay away, if the host is at its limit.
    fn over_limit(&self, limit: f64, at: Duration, spends: bool) -> Option<Duration> {
        let mut taken = self.taken.borrow_mut();
        while taken
            .front()
            .is_some_and(|first| *first + Duration::from_secs(1) < at)
        {
            taken.pop_front();
        }
        if (taken.len() as f64) < limit {
            taken.push_back(at);
            return None;
        }
        let again = taken
            .front()
            .map(|first| (*first + Duration::from_millis(1050)).saturating_sub(at));
        if spends {
            taken.push_back(at);
            taken.truncate(4 * limit as usize + 4);
        }
        again
    }

    /// The load report of an answer: what is left is read anew every 0.3 s.
    fn report(&self, at: Duration) -> String {
        let mood = self.mood.borrow();
        let limit = mood.limit.filter(|_| mood.spends);
        let Some(limit) = limit else {
            return format!("Endpoint-Load-Metrics: x0=0.6,x1={:.1}\r\n", self.capacity);
        };
        let (since, left) = self.left.get();
        if since + REPORTED <= at {
            let taken = self
                .taken
                .borrow()
                .iter()
                .filter(|call| **call + Duration::from_secs(1) >= at)
                .count();
            self.left.set((at, (1.0 - taken as f64 / limit).max(0.0)));
        }
        format!("Endpoint-Load-Metrics: x0={left:.3},x1={limit:.1}\r\n")
    }

    /// A call that was not turned away takes effect, or may.
    fn book<R: Runtime>(&self, stage: &Stage<R>, called: &ReceivedCall, well: bool) {
        if let Some(ledger) = &*self.ledger.borrow() {
            ledger.arrives(stage, called, well);
        }
    }

    /// Answers a call; false if the connection is of no further use.
    async fn answer<R: Runtime>(
        &self,
        stage: &Stage<R>,
        stream: &mut R::Stream,
        name: &CallId,
        called: &ReceivedCall,
    ) -> io::Result<bool>
    where
        R::Stream: Numbered,
    {
        let mood = self.mood.borrow().clone();
        if mood.hangs {
            self.book(stage, called, false);
            until_closed(stream).await;
            return Ok(false);
        }
        let refused = match mood.shut {
            Some(until) => Some(until.map(|until| until.saturating_sub(stage.at()))),
            None => mood
                .limit
                .and_then(|limit| self.over_limit(limit, stage.at(), mood.spends))
                .map(Some),
        };
        if let Some(wait) = refused {
            let silent = mood.spends && self.draw(|dice| dice.percent(50));
            let wait = wait.filter(|_| !silent).unwrap_or_default();
            let millis = wait.as_millis();
            let head = if millis > 0 {
                format!("HTTP/1.1 429 Too Many Requests\r\nX-Backoff-Ms: {millis}\r\n")
            } else {
                "HTTP/1.1 503 Service Unavailable\r\n".into()
            };
            let wait = Duration::from_millis(millis as u64);
            let report = if mood.spends {
                self.report(stage.at())
            } else {
                String::new()
            };
            let text = format!("{head}{report}Content-Length: 0\r\n\r\n");
            self.write(
                stage,
                stream,
                name,
                CallOutcome::Rejected { retry_after: wait },
                &text,
            )
            .await?;
            return Ok(true);
        }
        let (takes, fails, spoils) = self.draw(|dice| {
            (
                dice.between(mood.takes.0, mood.takes.1),
                dice.percent(mood.fails),
                dice.percent(mood.spoils),
            )
        });
        if !spoils {
            self.book(stage, called, !fails);
        }
        // A relay that gives the call up closes its connection meanwhile.
        tokio::select! {
            biased;
            () = stage.runtime.sleep(Duration::from_millis(takes)) => {}
            () = until_closed(stream) => return Ok(false),
        }
        if spoils {
            return self.spoil(stage, stream, name, called).await;
        }
        if fails {
            let text = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
            self.write(stage, stream, name, CallOutcome::MayHaveExecuted, text)
                .await?;
            return Ok(true);
        }
        let report = self.report(stage.at());
        let good = format!("HTTP/1.1 200 OK\r\n{report}Content-Length: 2\r\n\r\nok");
        if mood.trickles {
            let line = good.find('\n').unwrap_or(0) + 1;
            for (count, byte) in good.bytes().enumerate() {
                stage.runtime.sleep(Duration::from_millis(40)).await;
                if count + 1 == line {
                    stage.observe(&Observation::ResponseStarted {
                        call: name,
                        outcome: CallOutcome::Delivered,
                    });
                }
                stream.write_all(&[byte]).await?;
            }
            return Ok(true);
        }
        self.write(stage, stream, name, CallOutcome::Delivered, &good)
            .await?;
        if mood.closes && self.draw(|dice| dice.percent(60)) {
            let after = self.draw(|dice| dice.below(250));
            // It may cross the next call, which is then never read.
            stage.runtime.sleep(Duration::from_millis(after)).await;
            return Ok(false);
        }
        Ok(true)
    }

    async fn write<R: Runtime>(
        &self,
        stage: &Stage<R>,
        stream: &mut R::Stream,
        name: &CallId,
        outcome: CallOutcome,
        text: &str,
    ) -> io::Result<()>
    where
        R::Stream: Numbered,
    {
        stage.observe(&Observation::ResponseStarted {
            call: name,
            outcome,
        });
        stream.write_all(text.as_bytes()).await?;
        self.tell_read(stage, stream.number(), name);
        Ok(())
    }

    /// Tells the checker once the relay has surely read the answer: it still holds the connection then.
    fn tell_read<R: Runtime>(&self, stage: &Stage<R>, conn: u64, name: &CallId) {
        let (own, name) = (stage.clone(), name.clone());
        stage.runtime.spawn(async move {
            own.runtime.sleep(Duration::from_millis(20)).await;
            if (own.hears)(conn) {
                own.observe(&Observation::ResponseRead(&name));
            }
        });
    }

    /// An answer that is not as it should be. What it says in its first line is still true.
    async fn spoil<R: Runtime>(
        &self,
        stage: &Stage<R>,
        stream: &mut R::Stream,
        name: &CallId,
        called: &ReceivedCall,
    ) -> io::Result<bool>
    where
        R::Stream: Numbered,
    {
        let kind = self.draw(|dice| dice.below(9));
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
        self.book(stage, called, outcome == CallOutcome::Delivered);
        stage.observe(&Observation::ResponseStarted {
            call: name,
            outcome,
        });
        stream.write_all(text).await?;
        if matches!(kind, 4 | 6) {
            self.tell_read(stage, stream.number(), name);
            return Ok(true);
        }
        until_closed(stream).await;
        Ok(false)
    }
}
