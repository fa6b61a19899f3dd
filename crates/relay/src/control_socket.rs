//! The operators' door: one line to a connection, one answer. It moves bytes; what they mean is `madderpitch-control`'s.
//!
//! What the door shows is shared with the driver, not asked of it: a call waits for no queue.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use control::{
    protocol, Command, ConnectionStage, HostCounts, Lifecycle, LifecycleEvent, LifecycleState,
    MessageEnd, Metrics, ParsedLine,
};
use relay_events::{DeliveryFailure, Reply};
use runtime::{log, Listener, Runtime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{watch, Notify};

use crate::client_connections::close_lingering;

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
    pub stage: ConnectionStage,
}

/// The lifecycle and the figures of this process, for the door, the driver and the clients.
pub struct Control<R> {
    runtime: R,
    start: Instant,
    lifecycle: RefCell<Lifecycle>,
    ledger: RefCell<Metrics>,
    /// Messages written whole to hosts; counted where that happens.
    dispatches: Rc<Cell<u64>>,
    targets: Cell<HostCounts>,
    /// When the module's view is next wanted, if there is a door to show it.
    view_at: Cell<Option<Instant>>,
    doors: watch::Sender<Doors>,
    /// Wakes the driver after a call that changed something.
    told: Notify,
}

impl<R: Runtime> Control<R> {
    /// A process that starts. `door` tells whether there is one.
    pub fn new(runtime: &R, classes: &[String], door: bool) -> Rc<Self> {
        let (doors, _) = watch::channel(Doors {
            accepts: true,
            stage: ConnectionStage::Open,
        });
        let now = runtime.now();
        Rc::new(Control {
            runtime: runtime.clone(),
            start: now,
            lifecycle: RefCell::default(),
            ledger: RefCell::new(Metrics::new(classes)),
            dispatches: Rc::default(),
            targets: Cell::default(),
            view_at: Cell::new(door.then_some(now)),
            doors,
            told: Notify::new(),
        })
    }

    /// The ledger, to book in.
    pub fn metrics(&self) -> std::cell::RefMut<'_, Metrics> {
        self.ledger.borrow_mut()
    }

    /// Where dispatches are counted.
    pub fn dispatches(&self) -> Rc<Cell<u64>> {
        self.dispatches.clone()
    }

    /// What connections are to do, from now on.
    pub fn connection_policy(&self) -> watch::Receiver<Doors> {
        self.doors.subscribe()
    }

    fn span(&self) -> Duration {
        self.runtime.now() - self.start
    }

    /// Where the process stands.
    pub fn state(&self) -> LifecycleState {
        self.lifecycle.borrow().state()
    }

    /// Whether the process takes clients.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.borrow().is_ready()
    }

    /// Whether new messages are refused, as clients are to go elsewhere.
    pub fn rejects_messages(&self) -> bool {
        self.lifecycle.borrow().stage(self.span()) == ConnectionStage::Refusing
    }

    /// Takes an input; false if it changes nothing.
    pub fn handle_event(&self, told: LifecycleEvent) -> bool {
        let changed = self.lifecycle.borrow_mut().handle(told, self.span());
        if changed {
            log!(self.runtime, "control: {told:?}, now {:?}", self.state());
            self.publish_stage();
            self.told.notify_one();
        }
        changed
    }

    /// Ready once a call has changed something.
    pub async fn state_changed(&self) {
        self.told.notified().await;
    }

    /// Tells connections what holds now, and says how soon to do so again, if time alone may change it.
    pub fn publish_stage(&self) -> Option<Duration> {
        let (lifecycle, now) = (self.lifecycle.borrow(), self.span());
        let doors = Doors {
            accepts: lifecycle.accepts_connections(now),
            stage: lifecycle.stage(now),
        };
        self.doors
            .send_if_modified(|old| std::mem::replace(old, doors) != doors);
        lifecycle
            .is_in_transition()
            .then_some(Duration::from_millis(20))
    }

    /// Whether the process ends now; `quiet` is asked only when that matters. `listens` tells that the port is still
    /// open: connections that wait there are taken before a quiet process ends.
    pub fn should_exit(&self, listens: bool, quiet: impl FnOnce() -> bool) -> bool {
        let lifecycle = *self.lifecycle.borrow();
        if lifecycle.state() != LifecycleState::Stopping
            || !lifecycle.should_exit(self.span(), quiet())
        {
            return false;
        }
        if listens && !lifecycle.must_exit(self.span()) {
            self.handle_event(LifecycleEvent::Idle);
            return false;
        }
        true
    }

    /// Whether another process is to have everything now.
    pub fn should_hand_over(&self, clients: usize) -> bool {
        self.lifecycle
            .borrow()
            .should_hand_over(self.span(), clients)
    }

    /// Whether an operator has the relay drained.
    pub fn is_drained(&self) -> bool {
        self.lifecycle.borrow().is_drained()
    }

    /// Takes over from a process that was drained, or not.
    pub fn restore_drained(&self, drained: bool) {
        self.lifecycle.borrow_mut().restore_drained(drained);
    }

    /// How long from now the last call may be out, once the process was told to stop.
    pub fn time_left_for_calls(&self) -> Option<Duration> {
        self.lifecycle
            .borrow()
            .time_left_for_calls()
            .map(|at| at.saturating_sub(self.span()))
    }

    /// When the module's view of hosts is wanted next.
    pub fn next_host_count_at(&self) -> Option<Instant> {
        self.view_at.get()
    }

    /// The module's view of hosts.
    pub fn set_host_counts(&self, targets: HostCounts) {
        self.targets.set(targets);
        self.view_at.set(Some(self.runtime.now() + VIEW));
    }

    fn answer(&self, call: Command) -> String {
        match call {
            Command::Ready if self.is_ready() => protocol::ok_reply("takes clients"),
            Command::Ready => protocol::fail_reply(
                &format!("takes no clients: {:?}", self.state()).to_lowercase(),
            ),
            Command::ShowStat => {
                let figures = self
                    .ledger
                    .borrow()
                    .render(self.dispatches.get(), self.targets.get());
                protocol::ok_reply("figures") + &figures + "eof\n"
            }
            Command::Drain => self.switch(
                LifecycleEvent::Drain,
                LifecycleState::Draining,
                "is being emptied",
            ),
            Command::Resume => self.switch(
                LifecycleEvent::Resume,
                LifecycleState::Serving,
                "is back to work",
            ),
        }
    }

    /// A call that asks for a state: it works if the process gets there, or is there already.
    fn switch(&self, told: LifecycleEvent, wanted: LifecycleState, what: &str) -> String {
        let changed = self.handle_event(told);
        match self.state() {
            state if state == wanted && changed => protocol::ok_reply(what),
            state if state == wanted => protocol::ok_reply(&format!("{what} already")),
            state => protocol::fail_reply(&format!("not while {state:?}").to_lowercase()),
        }
    }
}

/// The end that an answer at the door means.
pub fn end_of_reply(reply: &Reply) -> MessageEnd {
    match reply {
        Reply::Busy(_) => MessageEnd::Overload,
        Reply::Error(_) | Reply::NoAuth | Reply::WrongPass => MessageEnd::Error,
        Reply::Ok | Reply::Pong => MessageEnd::Other,
    }
}

/// The end that a verdict means.
pub fn end_of_failure(verdict: DeliveryFailure) -> MessageEnd {
    match verdict {
        DeliveryFailure::Undeliverable => MessageEnd::Error,
        DeliveryFailure::Deferred(_) => MessageEnd::Overload,
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
pub async fn serve_operators<R: Runtime>(listener: R::Listener, control: Rc<Control<R>>) {
    let callers: Rc<RefCell<Callers>> = Rc::default();
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                log!(control.runtime, "control: cannot accept: {error}");
                control.runtime.sleep(Duration::from_millis(20)).await;
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
        control.runtime.clone().spawn(async move {
            drop(serve(stream, &control, &callers, number, &wake).await);
        });
    }
}

/// Serves one caller.
async fn serve<R: Runtime>(
    mut stream: R::Stream,
    control: &Control<R>,
    callers: &RefCell<Callers>,
    number: u64,
    wake: &Notify,
) -> std::io::Result<()> {
    let runtime = &control.runtime;
    let until = runtime.now() + LINE_TIME;
    let mut text = BytesMut::new();
    let said = loop {
        match protocol::parse_line(&text) {
            ParsedLine::Partial => {}
            said => break Some(said),
        }
        text.reserve(protocol::LONGEST);
        tokio::select! {
            biased;
            read = stream.read_buf(&mut text) => if !matches!(read, Ok(1..)) { break None },
            () = wake.notified() => break Some(ParsedLine::Wrong("too many callers")),
            () = runtime.sleep_until(until) => break Some(ParsedLine::Wrong("the line did not come whole")),
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
        Some(ParsedLine::Command(call)) => Some(control.answer(call)),
        Some(ParsedLine::Wrong(why)) => Some(protocol::fail_reply(why)),
        Some(ParsedLine::Partial) => Some(protocol::fail_reply("half a line")),
    };
    let mut told = Ok(());
    if let Some(answer) = answer {
        // Guards against a caller that reads no answer.
        told = match runtime
            .timeout(ANSWER_TIME, stream.write_all(answer.as_bytes()))
            .await
        {
            Ok(Ok(())) => close_lingering(runtime, stream).await,
            Ok(Err(error)) => Err(error),
            Err(late) => Err(late.into()),
        };
    }
    if seated {
        callers.borrow_mut().open -= 1;
    }
    told
}
