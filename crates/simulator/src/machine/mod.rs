//! A machine that is all virtual: clock, tasks, network, disk, signals. Processes run on it through
//! [`Runtime`], and everything that happens on it follows from one seed.

mod disk;
mod io;
mod life;
mod net;
mod pages;
mod sched;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::future::{poll_fn, Future};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io as std_io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use runtime::{Address, BootId, BootTime, Runtime, Signal, Signals, Task};

pub use disk::Disk;
pub use io::{SimulatedFile, SimulatedListener, SimulatedStream};
pub use net::AddressFault;
pub use pages::SimulatedRandomAccessFile;

use crate::rng::SimulationRng;
use life::{Life, Step};
use net::Net;
use sched::{Due, Next, Sched, TaskId, TimerKey};

/// A process; 0 is the world round the relays, which is never killed.
pub type ProcId = u32;

/// Unix time at which every world begins, in seconds.
const EPOCH: u64 = 1_790_000_000;
/// Where a process finds its configuration.
pub const CONFIG: &str = "/config.json";

/// A way in which the seam deceives a relay, so that one of its guards can't work. Only for showing that the
/// checker sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lie {
    /// What a relay has taken on is not kept on disk.
    DropTaken,
    /// Attempts are not kept on disk.
    DropAttempts,
    /// A call that the relay closes stays open.
    KeepCalls,
    /// Discovery's word that a host drains reads as if it were up.
    HideDrains,
    /// A told wait reads as one millisecond.
    HideWaits,
    /// A host's address leads to another host.
    WrongHost,
    /// The process's clock runs at four fifths.
    SlowClock,
    /// Notices are lost, though the relay believes that it has sent them.
    LoseNotices,
    /// Changes of tenants are not kept on disk.
    DropTenants,
    /// A lock that another process has is given all the same.
    ShareLocks,
    /// A client's connection that the relay closes stays open.
    KeepClients,
    /// Deliveries read as zeros at the door.
    HideDeliveries,
    /// Figures are lost on their way out of the door, and no connection at it is closed.
    MuteDoor,
    /// The configuration reads as it did first.
    OldFile,
    /// Processes that start later than the first have a clock that is a minute ahead, by which all that is owed is over.
    ClockAhead,
}

/// Whether something that a process does still counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Alive,
    /// It is killed within this effect, before or after it.
    Dies {
        done: bool,
    },
    Dead,
}

#[derive(Default)]
struct Proc {
    life: Arc<Life>,
    /// Which machine it runs on; each has a disk and a clock of its own.
    place: usize,
    /// The kill strikes so many effects after the next creation of a file with this ending.
    kill_in: Option<(&'static str, u64)>,
    signals: VecDeque<Signal>,
    waits_for_signal: Option<Waker>,
    variables: BTreeMap<String, String>,
    lie: Option<Lie>,
    born: Duration,
    ended: Option<Result<(), String>>,
    /// The port that it was started with.
    inherited: Option<Address>,
    /// The configuration as it read it first.
    first_read: Option<Vec<u8>>,
}

struct Core {
    base: Instant,
    now: Duration,
    steps: u64,
    sched: Sched,
    net: Net,
    /// By machine.
    disks: Vec<Disk>,
    /// By machine: how far its clock is ahead.
    ahead: Vec<Duration>,
    procs: BTreeMap<ProcId, Proc>,
    /// Locks by machine and file: who holds it, and which taking that was.
    locks: BTreeMap<(usize, PathBuf), (ProcId, u64)>,
    taken: u64,
    rng: SimulationRng,
    digest: DefaultHasher,
    /// The same without texts: moments, the order of tasks, effects and the bytes that are written.
    effects_digest: DefaultHasher,
    /// Lines for a reader, if any are wanted.
    trace: Option<Vec<String>>,
}

impl Core {
    fn effect(&mut self, proc: ProcId) -> Fate {
        let Some(this) = self.procs.get_mut(&proc) else {
            return Fate::Alive;
        };
        match this.life.step() {
            Step::Done => Fate::Alive,
            Step::Dies => Fate::Dies {
                done: self.rng.below(2) == 0,
            },
            Step::Dead => Fate::Dead,
        }
    }

    fn kill_after(&mut self, proc: ProcId, effects: u64) {
        if let Some(this) = self.procs.get_mut(&proc) {
            this.life.kill_after(effects);
        }
    }

    fn lie(&self, proc: ProcId) -> Option<Lie> {
        self.procs.get(&proc).and_then(|proc| proc.lie)
    }

    /// Number of the machine that a process runs on; the world's own is 0.
    fn place(&self, proc: ProcId) -> usize {
        self.procs.get(&proc).map_or(0, |proc| proc.place)
    }

    /// The disk of a process's machine.
    fn disk(&mut self, proc: ProcId) -> &mut Disk {
        self.disk_of(self.place(proc))
    }

    fn disk_of(&mut self, place: usize) -> &mut Disk {
        if self.disks.len() <= place {
            self.disks.resize_with(place + 1, Disk::default);
        }
        &mut self.disks[place]
    }

    /// How far all clocks of a process that was started later are ahead.
    fn clock_lie(&self, proc: ProcId) -> Duration {
        let is_late =
            |this: &Proc| this.lie == Some(Lie::ClockAhead) && this.born > Duration::from_secs(1);
        let is_ahead = self.procs.get(&proc).is_some_and(is_late);
        Duration::from_secs(if is_ahead { 60 } else { 0 })
    }

    /// How far the wall clock of a process's machine is ahead.
    fn ahead(&self, proc: ProcId) -> Duration {
        self.ahead
            .get(self.place(proc))
            .copied()
            .unwrap_or_default()
    }

    /// Whether nothing gets through from a process's machine to an address.
    fn is_cut(&self, proc: ProcId, to: &Address) -> bool {
        self.net.cuts.contains(&(self.place(proc), to.clone()))
    }

    /// Connections fall silent, or, where they were, are reset.
    fn silence(&mut self, ids: Vec<net::ConnId>, silent: bool) {
        for id in ids {
            if silent {
                self.net.silence(id);
            } else {
                let told = self.net.reset(id, self.now);
                self.tell(told, id);
            }
        }
    }

    /// How far a process's clock has come.
    fn local(&self, proc: ProcId) -> Duration {
        match self.procs.get(&proc) {
            Some(this) if this.lie == Some(Lie::SlowClock) => {
                this.born + (self.now - this.born) * 4 / 5
            }
            _ => self.now,
        }
    }

    /// The moment on the world's clock of one on a process's.
    fn global(&self, proc: ProcId, at: Duration) -> Duration {
        match self.procs.get(&proc) {
            Some(this) if this.lie == Some(Lie::SlowClock) => {
                this.born + at.saturating_sub(this.born) * 5 / 4
            }
            _ => at,
        }
    }

    fn tell(&mut self, arrivals: impl IntoIterator<Item = net::Arrival>, conn: net::ConnId) {
        for (at, side) in arrivals {
            self.sched.timer(at, Due::Arrival(conn, side));
        }
    }

    /// Adds an effect of a process to the digest of effects.
    fn record_effect(&mut self, process: ProcId, effect: &str, bytes: &[u8]) {
        (self.now, process, effect, bytes).hash(&mut self.effects_digest);
    }

    fn note(&mut self, line: fmt::Arguments<'_>) {
        let line = line.to_string();
        (self.now, &line).hash(&mut self.digest);
        if let Some(trace) = &mut self.trace {
            let text = format!(
                "{:>10.6} step {:<7} {line}",
                self.now.as_secs_f64(),
                self.steps
            );
            trace.push(text);
        }
    }
}

/// The machine, as the one who plays a day on it sees it.
pub struct Machine {
    core: Rc<RefCell<Core>>,
    next: ProcId,
}

impl Machine {
    /// A machine on which nothing runs yet; `traced` keeps its notes as text.
    pub fn new(seed: u64, traced: bool) -> Self {
        let core = Core {
            base: Instant::now(),
            now: Duration::ZERO,
            steps: 0,
            sched: Sched::default(),
            net: Net::default(),
            disks: Vec::new(),
            ahead: Vec::new(),
            procs: BTreeMap::new(),
            locks: BTreeMap::new(),
            taken: 0,
            rng: SimulationRng::new(seed, 1),
            digest: DefaultHasher::new(),
            effects_digest: DefaultHasher::new(),
            trace: traced.then(Vec::new),
        };
        Machine {
            core: Rc::new(RefCell::new(core)),
            next: 0,
        }
    }

    /// The system as the world's own tasks see it.
    #[must_use]
    pub fn world(&self) -> SimulatedRuntime {
        SimulatedRuntime {
            core: self.core.clone(),
            proc: 0,
        }
    }

    /// A new process on a machine of that number, which runs `main` until it ends or is killed.
    pub fn process<F>(
        &mut self,
        place: usize,
        lie: Option<Lie>,
        main: impl FnOnce(SimulatedRuntime) -> F,
    ) -> ProcId
    where
        F: Future<Output = Result<(), String>> + 'static,
    {
        self.next += 1;
        let proc = self.next;
        let variables = [("BALANCER_CONFIG".to_string(), CONFIG.to_string())];
        let born = self.now();
        let this = Proc {
            place,
            variables: variables.into(),
            lie,
            born,
            ..Proc::default()
        };
        self.core.borrow_mut().procs.insert(proc, this);
        let runtime = SimulatedRuntime {
            core: self.core.clone(),
            proc,
        };
        let (core, main) = (self.core.clone(), main(runtime.clone()));
        runtime.spawn(async move {
            let ended = main.await;
            // One that was killed goes on to the end of its poll, and nothing that it does there counts.
            if let Some(this) = core
                .borrow_mut()
                .procs
                .get_mut(&proc)
                .filter(|this| this.life.alive())
            {
                this.ended = Some(ended);
                this.life.end();
            }
        });
        proc
    }

    /// A port that stays, whichever processes come and go.
    pub fn hold(&self, at: impl Into<Address>) {
        let port = net::Port {
            proc: 0,
            queue: VecDeque::new(),
            waiting: BTreeMap::new(),
        };
        self.core.borrow_mut().net.ports.insert(at.into(), port);
    }

    /// A process that has not run yet is started with a held port, and a door of its own.
    pub fn inherit(&self, proc: ProcId, port: impl Into<Address>, door: impl Into<Address>) {
        if let Some(this) = self.core.borrow_mut().procs.get_mut(&proc) {
            this.inherited = Some(port.into());
            this.variables
                .insert("BALANCER_SOCKET_FD".into(), "4".into());
            this.variables
                .insert("BALANCER_CONTROL".into(), door.into().to_string());
        }
    }

    /// Connections to a port that a process has accepted and not closed.
    pub fn accepted(&self, at: impl Into<Address>) -> Vec<u64> {
        self.core.borrow().net.accepted(&at.into())
    }

    /// Time since the world began.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.core.borrow().now
    }

    /// Tasks polled and timers fired so far.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.core.borrow().steps
    }

    /// One number for all that has happened.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.core.borrow().digest.finish()
    }

    /// The same for moments, the order of tasks, effects and written bytes alone: no renamed text changes it.
    #[must_use]
    pub fn effects_digest(&self) -> u64 {
        self.core.borrow().effects_digest.finish()
    }

    /// The notes so far, if they are kept.
    pub fn trace(&self) -> Vec<String> {
        self.core
            .borrow_mut()
            .trace
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// Notes something that counts for the digest.
    pub fn note(&self, line: fmt::Arguments<'_>) {
        self.core.borrow_mut().note(line);
    }

    /// Whether a process runs.
    #[must_use]
    pub fn is_alive(&self, proc: ProcId) -> bool {
        self.core
            .borrow()
            .procs
            .get(&proc)
            .is_some_and(|proc| proc.life.alive())
    }

    /// How a process ended by itself, if it did.
    #[must_use]
    pub fn ended(&self, proc: ProcId) -> Option<Result<(), String>> {
        self.core
            .borrow()
            .procs
            .get(&proc)
            .and_then(|proc| proc.ended.clone())
    }

    /// Sends a signal to a process.
    pub fn signal(&self, proc: ProcId, signal: Signal) {
        let mut core = self.core.borrow_mut();
        core.note(format_args!("process {proc} gets {signal:?}"));
        core.record_effect(proc, "signal", &[]);
        if let Some(this) = core.procs.get_mut(&proc) {
            this.signals.push_back(signal);
            this.waits_for_signal
                .take()
                .into_iter()
                .for_each(Waker::wake);
        }
    }

    /// SIGKILL that strikes within the process's effect after so many more.
    pub fn kill_after(&self, proc: ProcId, effects: u64) {
        self.core.borrow_mut().kill_after(proc, effects);
    }

    /// SIGKILL that strikes so many effects after the next creation of a file with this ending.
    pub fn kill_in(&self, proc: ProcId, ending: &'static str, effects: u64) {
        if let Some(this) = self.core.borrow_mut().procs.get_mut(&proc) {
            this.kill_in = Some((ending, effects));
        }
    }

    /// SIGKILL now; the tasks of a process that is dead are gone after this.
    pub fn kill(&self, proc: ProcId) {
        let slots = {
            let mut core = self.core.borrow_mut();
            if let Some(this) = core.procs.get_mut(&proc) {
                this.life.end();
            }
            core.sched.take_all(proc)
        };
        // What they hold closes its connections.
        drop(slots);
    }

    /// The disk of the machine of that number.
    pub fn disk<T>(&self, place: usize, look: impl FnOnce(&mut Disk) -> T) -> T {
        look(self.core.borrow_mut().disk_of(place))
    }

    /// The clocks of the machines are so far ahead, by their numbers.
    pub fn set_clocks(&self, ahead: Vec<Duration>) {
        self.core.borrow_mut().ahead = ahead;
    }

    /// From now on nothing gets through from a machine to an address, or does again; then the connections that
    /// were open are reset.
    pub fn cut(&self, place: usize, to: impl Into<Address>, cut: bool) {
        let to = to.into();
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let changed = if cut {
            core.net.cuts.insert((place, to.clone()))
        } else {
            core.net.cuts.remove(&(place, to.clone()))
        };
        if !changed {
            return;
        }
        let ids = core.net.conns.iter();
        let ids = ids.filter(|(_, conn)| conn.to == to && core.place(conn.owner[0]) == place);
        let ids = ids.map(|(id, _)| *id).collect();
        core.silence(ids, cut);
    }

    /// What is wrong with an address from now on. Where one was silent and is no more, the connections that
    /// were open are reset.
    pub fn fault(&self, at: impl Into<Address>, fault: AddressFault) {
        let at = at.into();
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let before = core
            .net
            .faults
            .insert(at.clone(), fault)
            .unwrap_or_default();
        if before.silent == fault.silent {
            return;
        }
        let ids = core
            .net
            .conns
            .iter()
            .filter(|(_, c)| c.to == at)
            .map(|(id, _)| *id)
            .collect();
        core.silence(ids, fault.silent);
    }

    /// Whether a kill is under way that has not struck yet.
    #[must_use]
    pub fn kill_is_due(&self, proc: ProcId) -> bool {
        self.core
            .borrow()
            .procs
            .get(&proc)
            .is_some_and(|this| this.life.alive() && this.life.kill_is_due())
    }

    /// What those who watch the machine may hold beside it.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle {
            core: self.core.clone(),
        }
    }

    /// Does the next thing, if that is before `until`; else time is `until`, and false is told.
    #[allow(
        clippy::must_use_candidate,
        reason = "some callers look at the time alone"
    )]
    pub fn step(&self, until: Duration) -> bool {
        let next = {
            let mut core = self.core.borrow_mut();
            let core = &mut *core;
            let next = core.sched.next(core.now, |n| core.rng.below(n));
            match next {
                Next::Wait(at) if at <= until => {
                    core.now = at;
                    return true;
                }
                Next::Wait(_) | Next::Nothing => {
                    core.now = core.now.max(until);
                    return false;
                }
                next => next,
            }
        };
        match next {
            Next::Timer(due) => self.fire(due),
            Next::Poll(task) => self.poll(task),
            Next::Wait(_) | Next::Nothing => {}
        }
        true
    }

    fn fire(&self, due: Due) {
        let mut core = self.core.borrow_mut();
        match due {
            Due::Wake(waker) => waker.wake(),
            Due::Arrival(conn, side) => {
                let reader = core
                    .net
                    .conns
                    .get_mut(&conn)
                    .and_then(|conn| conn.pipes[side].reader.take());
                reader.into_iter().for_each(Waker::wake);
            }
        }
    }

    fn poll(&self, id: TaskId) {
        let Some((proc, mut body, aborted, waker)) = self.core.borrow_mut().sched.take(id) else {
            return;
        };
        {
            let mut core = self.core.borrow_mut();
            core.steps += 1;
            (core.now, id).hash(&mut core.digest);
            (core.now, id).hash(&mut core.effects_digest);
        }
        let ended = aborted
            || body
                .as_mut()
                .poll(&mut Context::from_waker(&waker))
                .is_ready();
        if ended {
            drop(body);
            self.core.borrow_mut().sched.finish(id);
        } else {
            let orphan = self.core.borrow_mut().sched.put_back(id, body);
            drop(orphan);
        }
        let dead = self
            .core
            .borrow()
            .procs
            .get(&proc)
            .is_some_and(|proc| !proc.life.alive());
        if dead {
            self.kill(proc);
        }
    }
}

/// Looks at a machine from outside its tasks.
#[derive(Clone)]
pub struct Handle {
    core: Rc<RefCell<Core>>,
}

impl Handle {
    /// Whether a connection is still held by the side that made it.
    #[must_use]
    pub fn caller_holds(&self, conn: u64) -> bool {
        self.core.borrow().net.caller_holds(conn)
    }

    /// The same, and what was sent on it has arrived: a reset after a silence brings back nothing of what the silence has
    /// swallowed.
    #[must_use]
    pub fn caller_hears(&self, conn: u64) -> bool {
        let core = self.core.borrow();
        let conns = &core.net.conns;
        core.net.caller_holds(conn) && conns.get(&conn).is_some_and(|conn| !conn.has_been_silent)
    }

    /// SIGKILL that strikes within the process's effect after so many more.
    pub fn kill_after(&self, proc: ProcId, effects: u64) {
        self.core.borrow_mut().kill_after(proc, effects);
    }

    /// Notes something that counts for the digest.
    pub fn note(&self, line: fmt::Arguments<'_>) {
        self.core.borrow_mut().note(line);
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        // The tasks hold the core and the core holds the tasks.
        for proc in 0..=self.next {
            let slots = self.core.borrow_mut().sched.take_all(proc);
            drop(slots);
        }
    }
}

/// The system as one process sees it.
#[derive(Clone)]
pub struct SimulatedRuntime {
    core: Rc<RefCell<Core>>,
    proc: ProcId,
}

impl SimulatedRuntime {
    fn random(&self, n: u64) -> u64 {
        self.core.borrow_mut().rng.below(n)
    }

    /// The same for an effect on a file, which the digest of effects tells.
    fn file_effect(&self, effect: &str, path: &Path) -> std_io::Result<()> {
        let path = path.to_string_lossy();
        self.core
            .borrow_mut()
            .record_effect(self.proc, effect, path.as_bytes());
        self.effect()
    }

    /// Fails if the process is dead, or dies before this effect.
    fn effect(&self) -> std_io::Result<()> {
        match self.core.borrow_mut().effect(self.proc) {
            Fate::Alive | Fate::Dies { done: true } => Ok(()),
            Fate::Dies { done: false } | Fate::Dead => Err(std_io::ErrorKind::Other.into()),
        }
    }

    fn file(&self, inode: disk::Inode, path: &Path) -> SimulatedFile {
        let of_tenants = path.to_string_lossy().contains("/tenants.");
        SimulatedFile::new(self.clone(), inode, of_tenants)
    }
}

impl Runtime for SimulatedRuntime {
    type Task = SimulatedTask;
    type Stream = SimulatedStream;
    type Listener = SimulatedListener;
    type File = SimulatedFile;
    type RandomAccessFile = SimulatedRandomAccessFile;
    type Signals = SimulatedSignals;
    type Lock = SimulatedLock;

    fn now(&self) -> Instant {
        let core = self.core.borrow();
        core.base + core.local(self.proc)
    }

    fn unix_time(&self) -> Duration {
        let core = self.core.borrow();
        let lie = core.clock_lie(self.proc);
        Duration::from_secs(EPOCH) + core.local(self.proc) + core.ahead(self.proc) + lie
    }

    fn boot_time(&self) -> std_io::Result<BootTime> {
        let core = self.core.borrow();
        Ok(BootTime {
            boot: BootId("simulated".into()),
            elapsed: core.local(self.proc) + core.clock_lie(self.proc),
        })
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        let core = self.core.borrow();
        let at = core.global(self.proc, at.saturating_duration_since(core.base));
        // The runtime's timers are no finer than a millisecond, and never early.
        let at = Duration::from_millis(at.as_micros().div_ceil(1000) as u64);
        Sleep {
            core: self.core.clone(),
            at,
            key: None,
        }
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> SimulatedTask {
        let id = self
            .core
            .borrow_mut()
            .sched
            .spawn(self.proc, Box::pin(task));
        SimulatedTask {
            core: self.core.clone(),
            id,
        }
    }

    async fn connect(&self, to: impl Into<Address>) -> std_io::Result<SimulatedStream> {
        self.effect()?;
        io::connect(self, to.into()).await
    }

    async fn listen(&self, at: impl Into<Address>) -> std_io::Result<SimulatedListener> {
        self.effect()?;
        io::listen(self, at.into())
    }

    fn inherited_listener(&self, _: i32) -> std_io::Result<SimulatedListener> {
        self.effect()?;
        io::inherited(self)
    }

    fn lock(&self, path: &Path) -> std_io::Result<Option<SimulatedLock>> {
        self.file_effect("lock", path)?;
        let mut core = self.core.borrow_mut();
        let core = &mut *core;
        let key = (core.place(self.proc), path.to_path_buf());
        let holder = core.locks.get(&key).map(|(holder, _)| *holder);
        let shares = core.lie(self.proc) == Some(Lie::ShareLocks);
        if !shares
            && holder.is_some_and(|holder| {
                core.procs
                    .get(&holder)
                    .is_some_and(|proc| proc.life.alive())
            })
        {
            return Ok(None);
        }
        // A lock is on a file, which is there from then on.
        core.disk(self.proc).open(path);
        core.taken += 1;
        core.locks.insert(key.clone(), (self.proc, core.taken));
        Ok(Some(SimulatedLock {
            core: self.core.clone(),
            key,
            number: core.taken,
        }))
    }

    fn open(&self, path: &Path) -> std_io::Result<SimulatedFile> {
        self.file_effect("open", path)?;
        let inode = self.core.borrow_mut().disk(self.proc).open(path);
        Ok(self.file(inode, path))
    }

    fn create(&self, path: &Path) -> std_io::Result<SimulatedFile> {
        self.file_effect("create", path)?;
        let mut core = self.core.borrow_mut();
        if let Some(this) = core.procs.get_mut(&self.proc) {
            let text = path.to_string_lossy();
            if let Some((_, more)) = this.kill_in.take_if(|(ending, _)| text.ends_with(*ending)) {
                this.life.kill_after(more);
            }
        }
        let inode = core.disk(self.proc).create(path);
        drop(core);
        Ok(self.file(inode, path))
    }

    fn open_random_access(&self, path: &Path) -> std_io::Result<SimulatedRandomAccessFile> {
        self.file_effect("pages", path)?;
        let mut core = self.core.borrow_mut();
        let life = core.procs.get(&self.proc).map(|proc| proc.life.clone());
        Ok(SimulatedRandomAccessFile::new(
            core.disk(self.proc).pages(path),
            life,
        ))
    }

    fn read(&self, path: &Path) -> std_io::Result<Vec<u8>> {
        let mut core = self.core.borrow_mut();
        let text = core.disk(self.proc).text(path);
        let old = core.lie(self.proc) == Some(Lie::OldFile) && path == Path::new(CONFIG);
        let first = core
            .procs
            .get_mut(&self.proc)
            .filter(|_| old)
            .map(|this| &mut this.first_read);
        let text = match first {
            Some(first) => first.get_or_insert(text.unwrap_or_default()).clone().into(),
            None => text,
        };
        text.ok_or_else(|| std_io::ErrorKind::NotFound.into())
    }

    fn rename(&self, from: &Path, to: &Path) -> std_io::Result<()> {
        self.file_effect("rename", to)?;
        self.core.borrow_mut().disk(self.proc).rename(from, to)
    }

    fn remove(&self, path: &Path) -> std_io::Result<()> {
        self.file_effect("remove", path)?;
        self.core.borrow_mut().disk(self.proc).remove(path)
    }

    fn signals(&self) -> std_io::Result<SimulatedSignals> {
        Ok(SimulatedSignals {
            core: self.core.clone(),
            proc: self.proc,
        })
    }

    fn env_var(&self, name: &str) -> Option<String> {
        self.core
            .borrow()
            .procs
            .get(&self.proc)?
            .variables
            .get(name)
            .cloned()
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        let mut core = self.core.borrow_mut();
        if core
            .procs
            .get(&self.proc)
            .is_none_or(|proc| proc.life.alive())
        {
            let proc = self.proc;
            core.note(format_args!("log {proc}: {line}"));
        }
    }
}

/// A lock on a file of a machine.
pub struct SimulatedLock {
    core: Rc<RefCell<Core>>,
    key: (usize, PathBuf),
    number: u64,
}

impl Drop for SimulatedLock {
    fn drop(&mut self) {
        let mut core = self.core.borrow_mut();
        // One whose process was killed may be another's by now.
        if core
            .locks
            .get(&self.key)
            .is_some_and(|(_, number)| *number == self.number)
        {
            core.locks.remove(&self.key);
        }
    }
}

/// A timer.
struct Sleep {
    core: Rc<RefCell<Core>>,
    at: Duration,
    key: Option<TimerKey>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = &mut *self;
        let mut core = this.core.borrow_mut();
        // A timer that is due has fired, and stands in no list any more: only then is its order the seed's.
        match this.key {
            Some(key) if core.sched.rewake(key, cx.waker()) => Poll::Pending,
            Some(_) => Poll::Ready(()),
            None if this.at <= core.now => Poll::Ready(()),
            None => {
                this.key = Some(core.sched.timer(this.at, Due::Wake(cx.waker().clone())));
                Poll::Pending
            }
        }
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        let due = self
            .key
            .and_then(|key| self.core.borrow_mut().sched.cancel(key));
        drop(due);
    }
}

/// A task on a machine.
pub struct SimulatedTask {
    core: Rc<RefCell<Core>>,
    id: TaskId,
}

impl Task for SimulatedTask {
    fn abort(&self) {
        self.core.borrow_mut().sched.abort(self.id);
    }

    async fn join(&mut self) {
        let ended = |cx: &mut Context<'_>| {
            if self.core.borrow_mut().sched.ended(self.id, cx.waker()) {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        };
        poll_fn(ended).await;
    }
}

/// The signals of a process.
pub struct SimulatedSignals {
    core: Rc<RefCell<Core>>,
    proc: ProcId,
}

impl Signals for SimulatedSignals {
    async fn next(&mut self) -> Signal {
        poll_fn(|cx| {
            let mut core = self.core.borrow_mut();
            let Some(this) = core.procs.get_mut(&self.proc) else {
                return Poll::Pending;
            };
            match this.signals.pop_front() {
                Some(signal) => Poll::Ready(signal),
                None => {
                    this.waits_for_signal = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        })
        .await
    }
}
