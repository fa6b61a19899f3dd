//! The operators' door: one line to a connection, one answer. It moves bytes; what they mean is `madderpitch-control`'s.
//!
//! What the door shows is shared with the driver, not asked of it: a call waits for no queue.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use control::{protocol, Call, End, Ledger, Lifecycle, Line, Stage, State, Targets, Told};
use relay_events::{Reply, Verdict};
use runtime::{log, Listener, System};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{watch, Notify};

use crate::client_connections::part;

/// Connections at once. One more takes the place of the one that has said nothing for longest.
const CONNECTIONS: usize = 16;
/// Descriptors that the door takes: its listener, its connections, and one that is being taken.
pub const SOCKETS: usize = CONNECTIONS + 2;
/// A caller's line has come whole by then.
const LINE_TIME: Duration = Duration::from_secs(5);
/// A caller has read its answer by then.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// How old the module's view of hosts may be in the figures.
const VIEW: Duration = Duration::from_millis(100);

/// What clients' connections and the accept loop are to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doors {
    /// New connections are accepted.
    pub accepts: bool,
    /// What open ones do.
    pub stage: Stage,
}

/// The lifecycle and the figures of this process, for the door, the driver and the clients.
pub struct Control<S> {
    system: S,
    start: Instant,
    lifecycle: RefCell<Lifecycle>,
    ledger: RefCell<Ledger>,
    /// Messages written whole to hosts; counted where that happens.
    dispatches: Rc<Cell<u64>>,
    targets: Cell<Targets>,
    /// When the module's view is next wanted, if there is a door to show it.
    view_at: Cell<Option<Instant>>,
    doors: watch::Sender<Doors>,
    /// Wakes the driver after a call that changed something.
    told: Notify,
}

impl<S: System> Control<S> {
    /// A process that starts. `door` tells whether there is one.
    pub fn new(system: &S, classes: &[String], door: bool) -> Rc<Self> {
        let (doors, _) = watch::channel(Doors {
            accepts: true,
            stage: Stage::Open,
        });
        let now = system.now();
        Rc::new(Control {
            system: system.clone(),
            start: now,
            lifecycle: RefCell::default(),
            ledger: RefCell::new(Ledger::new(classes)),
            dispatches: Rc::default(),
            targets: Cell::default(),
            view_at: Cell::new(door.then_some(now)),
            doors,
            told: Notify::new(),
        })
    }

    /// The ledger, to book in.
    pub fn ledger(&self) -> std::cell::RefMut<'_, Ledger> {
        self.ledger.borrow_mut()
    }

    /// Where dispatches are counted.
    pub fn dispatches(&self) -> Rc<Cell<u64>> {
        self.dispatches.clone()
    }

    /// What connections are to do, from now on.
    pub fn doors(&self) -> watch::Receiver<Doors> {
        self.doors.subscribe()
    }

    fn span(&self) -> Duration {
        self.system.now() - self.start
    }

    /// Where the process stands.
    pub fn state(&self) -> State {
        self.lifecycle.borrow().state()
    }

    /// Whether the process takes clients.
    pub fn ready(&self) -> bool {
        self.lifecycle.borrow().ready()
    }

    /// Whether new messages are refused, as clients are to go elsewhere.
    pub fn refuses(&self) -> bool {
        self.lifecycle.borrow().stage(self.span()) == Stage::Refusing
    }

    /// Takes an input; false if it changes nothing.
    pub fn tell(&self, told: Told) -> bool {
        let changed = self.lifecycle.borrow_mut().tell(told, self.span());
        if changed {
            log!(self.system, "control: {told:?}, now {:?}", self.state());
            self.show();
            self.told.notify_one();
        }
        changed
    }

    /// Ready once a call has changed something.
    pub async fn changed(&self) {
        self.told.notified().await;
    }

    /// Tells connections what holds now, and says how soon to do so again, if time alone may change it.
    pub fn show(&self) -> Option<Duration> {
        let (lifecycle, now) = (self.lifecycle.borrow(), self.span());
        let doors = Doors {
            accepts: lifecycle.accepts(now),
            stage: lifecycle.stage(now),
        };
        self.doors
            .send_if_modified(|old| std::mem::replace(old, doors) != doors);
        lifecycle.moves().then_some(Duration::from_millis(20))
    }

    /// Whether the process ends now; `quiet` is asked only when that matters. `listens` tells that the port is still
    /// open: connections that wait there are taken before a quiet process ends.
    pub fn ends(&self, listens: bool, quiet: impl FnOnce() -> bool) -> bool {
        let lifecycle = *self.lifecycle.borrow();
        if lifecycle.state() != State::Stopping || !lifecycle.ends(self.span(), quiet()) {
            return false;
        }
        if listens && !lifecycle.must_end(self.span()) {
            self.tell(Told::Idle);
            return false;
        }
        true
    }

    /// Whether another process is to have everything now.
    pub fn hands_over(&self, clients: usize) -> bool {
        self.lifecycle.borrow().hands_over(self.span(), clients)
    }

    /// Whether an operator has the relay drained.
    pub fn drained(&self) -> bool {
        self.lifecycle.borrow().drained()
    }

    /// Takes over from a process that was drained, or not.
    pub fn inherits(&self, drained: bool) {
        self.lifecycle.borrow_mut().inherits(drained);
    }

    /// How long from now the last call may be out, once the process was told to stop.
    pub fn last_call(&self) -> Option<Duration> {
        self.lifecycle
            .borrow()
            .last_call()
            .map(|at| at.saturating_sub(self.span()))
    }

    /// When the module's view of hosts is wanted next.
    pub fn view_at(&self) -> Option<Instant> {
        self.view_at.get()
    }

    /// The module's view of hosts.
    pub fn view(&self, targets: Targets) {
        self.targets.set(targets);
        self.view_at.set(Some(self.system.now() + VIEW));
    }

    fn answer(&self, call: Call) -> String {
        match call {
            Call::Ready if self.ready() => protocol::ok("takes clients"),
            Call::Ready => {
                protocol::fail(&format!("takes no clients: {:?}", self.state()).to_lowercase())
            }
            Call::ShowStat => {
                let figures = self
                    .ledger
                    .borrow()
                    .show(self.dispatches.get(), self.targets.get());
                protocol::ok("figures") + &figures + "eof\n"
            }
            Call::Drain => self.switch(Told::Drain, State::Draining, "is being emptied"),
            Call::Resume => self.switch(Told::Resume, State::Serving, "is back to work"),
        }
    }

    /// A call that asks for a state: it works if the process gets there, or is there already.
    fn switch(&self, told: Told, wanted: State, what: &str) -> String {
        let changed = self.tell(told);
        match self.state() {
            state if state == wanted && changed => protocol::ok(what),
            state if state == wanted => protocol::ok(&format!("{what} already")),
            state => protocol::fail(&format!("not while {state:?}").to_lowercase()),
        }
    }
}

/// The end that an answer at the door means.
pub fn end_of(reply: &Reply) -> End {
    match reply {
        Reply::Busy(_) => End::Overload,
        Reply::Error(_) | Reply::NoAuth | Reply::WrongPass => End::Error,
        Reply::Ok | Reply::Pong => End::Other,
    }
}

/// The end that a verdict means.
pub fn end_by(verdict: Verdict) -> End {
    match verdict {
        Verdict::Undeliverable => End::Error,
        Verdict::Deferred(_) => End::Overload,
    }
}

/// Callers that have not said their line yet, by age.
#[derive(Default)]
struct Callers {
    silent: VecDeque<(u64, Rc<Notify>)>,
    open: usize,
    next: u64,
}

/// Takes callers for ever.
pub async fn listen<S: System>(listener: S::Listener, control: Rc<Control<S>>) {
    let callers: Rc<RefCell<Callers>> = Rc::default();
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                log!(control.system, "control: cannot accept: {error}");
                control.system.sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let (number, wake) = {
            let mut callers = callers.borrow_mut();
            // Guards callers with something to say against those that say nothing.
            while callers.open >= CONNECTIONS {
                let Some((_, oldest)) = callers.silent.pop_front() else {
                    break;
                };
                oldest.notify_one();
                callers.open -= 1;
            }
            callers.open += 1;
            callers.next += 1;
            let wake = Rc::new(Notify::new());
            let number = callers.next;
            callers.silent.push_back((number, wake.clone()));
            (number, wake)
        };
        let (control, callers) = (control.clone(), callers.clone());
        control.system.clone().spawn(async move {
            drop(serve(stream, &control, &callers, number, &wake).await);
        });
    }
}

/// Serves one caller.
async fn serve<S: System>(
    mut stream: S::Stream,
    control: &Control<S>,
    callers: &RefCell<Callers>,
    number: u64,
    wake: &Notify,
) -> std::io::Result<()> {
    let system = &control.system;
    let until = system.now() + LINE_TIME;
    let mut text = BytesMut::new();
    let said = loop {
        match protocol::read(&text) {
            Line::Partial => {}
            said => break Some(said),
        }
        text.reserve(protocol::LONGEST);
        tokio::select! {
            biased;
            read = stream.read_buf(&mut text) => if !matches!(read, Ok(1..)) { break None },
            () = wake.notified() => break Some(Line::Wrong("too many callers")),
            () = system.sleep_until(until) => break Some(Line::Wrong("the line did not come whole")),
        }
    };
    let seated = {
        let mut callers = callers.borrow_mut();
        let before = callers.silent.len();
        callers.silent.retain(|(other, _)| *other != number);
        // One that had to make room gave its place up already.
        before > callers.silent.len()
    };
    let answer = match said {
        None => None,
        Some(Line::Call(call)) => Some(control.answer(call)),
        Some(Line::Wrong(why)) => Some(protocol::fail(why)),
        Some(Line::Partial) => Some(protocol::fail("half a line")),
    };
    let mut told = Ok(());
    if let Some(answer) = answer {
        // Guards against a caller that reads no answer.
        told = match system
            .timeout(ANSWER_TIME, stream.write_all(answer.as_bytes()))
            .await
        {
            Ok(Ok(())) => part(system, stream).await,
            Ok(Err(error)) => Err(error),
            Err(late) => Err(late.into()),
        };
    }
    if seated {
        callers.borrow_mut().open -= 1;
    }
    told
}
