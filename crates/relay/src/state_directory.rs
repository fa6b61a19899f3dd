//! Whose the state folder is, and how it goes from one process to another.
//!
//! One process owns the folder: the one that has the lock on `owner.lock`. All that is said about that, by locks and by
//! files, is said here; `docs/daily.md` has the steps. A lock ends with its process, however that ends.

use std::collections::BTreeMap;
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use policy::types::{AttemptOutcome, HostId, MessageId, Micros};
use policy::HandoverSnapshot;
use relay_events::CompletedCall;
use runtime::{log, Runtime};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::journal::{decode, encode, LONGEST};

const OWNER: &str = "owner.lock";
const NEXT: &str = "next.lock";
const ARM: &str = "arm.lock";
const ASK: &str = "upgrade.ask";
const STATE: &str = "upgrade.state";
const ENDS: &str = "upgrade.ends";

/// A process that ends lets go of its lock; without an inherited socket nobody hands over, and this is waited for.
const FREED: Duration = Duration::from_secs(2);
/// A lock that is only looked at is held for an instant; one that is held for so long has a holder.
const PROBED: Duration = Duration::from_millis(200);
/// How often a process that serves looks whether another asks for its place.
const LOOK: Duration = Duration::from_millis(50);
/// How often two processes look at each other's files while one takes over.
const CLOSE_LOOK: Duration = Duration::from_millis(5);
/// After a hand-over that could not be written, the next is tried so much later.
const AGAIN: Duration = Duration::from_secs(1);
/// The state takes no more than this part of the disk's limit.
const STATE_PART: f64 = 0.05;
/// Version of the state's form.
const FORM: u16 = 1;

/// What goes across beside the journal.
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    /// Version of the form.
    form: u16,
    /// An operator has the relay drained.
    pub is_drained: bool,
    /// Calls that are out: the message, the attempt and the host.
    pub open_calls: Vec<(MessageId, u8, HostId)>,
    /// Numbers of the hosts, by name.
    pub host_numbers: Vec<(String, HostId)>,
    /// Names of messages that were over lately.
    pub completed: Vec<String>,
    /// What the module knows of routes and turns.
    pub policy: HandoverSnapshot,
    /// Until when tenants have used their rates; a record of its own behind the state, which older versions let be.
    #[serde(skip)]
    pub used_rates: Vec<(String, Micros)>,
}

impl HandoverState {
    /// The state of a process that hands over.
    pub fn new(
        is_drained: bool,
        open_calls: Vec<(MessageId, u8, HostId)>,
        policy: HandoverSnapshot,
    ) -> Self {
        HandoverState {
            form: FORM,
            is_drained,
            open_calls,
            host_numbers: Vec::new(),
            completed: Vec::new(),
            policy,
            used_rates: Vec::new(),
        }
    }
}

/// The folder, as every process may use it.
#[derive(Clone)]
pub struct StateDirectory<R> {
    runtime: R,
    path: PathBuf,
}

impl<R: Runtime> StateDirectory<R> {
    /// A folder that lasts.
    pub fn new(runtime: &R, path: &Path) -> Self {
        StateDirectory {
            runtime: runtime.clone(),
            path: path.into(),
        }
    }

    fn lock(&self, name: &str) -> io::Result<Option<R::Lock>> {
        self.runtime.lock(&self.path.join(name))
    }

    /// Whether a lock's holder is gone, or never was.
    fn is_free(&self, name: &str) -> bool {
        !self.has(name) || matches!(self.lock(name), Ok(Some(_)))
    }

    fn has(&self, name: &str) -> bool {
        self.runtime.read(&self.path.join(name)).is_ok()
    }

    fn remove(&self, name: &str) {
        // What is not there needs no removing, and what can't be removed is removed later.
        drop(self.runtime.remove(&self.path.join(name)));
    }

    /// Becomes the owner: at once, or of another process that hands over. Only one that `inherits` the listening
    /// socket may run beside another. The error is one plain line.
    pub async fn acquire(self, inherits: bool) -> Result<DirectoryOwner<R>, String> {
        let unusable =
            |e: io::Error| format!("cannot lock the folder {}: {e}", self.path.display());
        let until = self.runtime.now() + FREED;
        loop {
            if let Some(owner) = self.lock(OWNER).map_err(unusable)? {
                return Ok(DirectoryOwner::new(self, owner, None, inherits));
            }
            if inherits {
                break;
            }
            if self.runtime.now() >= until {
                return Err(format!(
                    "another process uses the folder {}",
                    self.path.display()
                ));
            }
            self.runtime.sleep(CLOSE_LOOK).await;
        }
        let until = self.runtime.now() + PROBED;
        let next = loop {
            if let Some(next) = self.lock(NEXT).map_err(unusable)? {
                break next;
            }
            if self.runtime.now() >= until {
                return Err("another process is about to take over already".into());
            }
            self.runtime.sleep(CLOSE_LOOK).await;
        };
        log!(
            self.runtime,
            "upgrade: another process serves; it is asked to hand over"
        );
        loop {
            // Asked until it is heard: the owner removes what it takes for a request left over.
            if !self.has(ASK) {
                drop(self.runtime.write(&self.path.join(ASK), b""));
            }
            if let Some(owner) = self.lock(OWNER).map_err(unusable)? {
                return Ok(DirectoryOwner::new(self, owner, Some(next), inherits));
            }
            self.runtime.sleep(CLOSE_LOOK).await;
        }
    }
}

/// The right to the folder.
pub struct DirectoryOwner<R: Runtime> {
    folder: StateDirectory<R>,
    owner: Option<R::Lock>,
    /// Held while the process that was the owner before may still live.
    next: Option<R::Lock>,
    inherits: bool,
    /// When to look at the folder next, if ever.
    next_check_at: Option<Instant>,
    /// Calls that are out at the process before, and how much of its ends is read.
    open_calls: BTreeMap<MessageId, (u8, HostId)>,
    read: usize,
    /// The process before left a state, which stays until all its calls have ended.
    left: bool,
    /// That process is this one: it has taken back what it had handed over.
    arm: Option<DepartingProcess<R>>,
}

impl<R: Runtime> DirectoryOwner<R> {
    fn new(
        folder: StateDirectory<R>,
        owner: R::Lock,
        next: Option<R::Lock>,
        inherits: bool,
    ) -> Self {
        let due = inherits.then(|| folder.runtime.now());
        DirectoryOwner {
            folder,
            owner: Some(owner),
            next,
            inherits,
            next_check_at: due,
            open_calls: BTreeMap::new(),
            read: 0,
            left: false,
            arm: None,
        }
    }

    /// Whether this process took over from one that ran.
    pub fn took_over(&self) -> bool {
        self.next.is_some()
    }

    /// What the process before left. Where that can't be read, this waits until none of its calls can be out.
    pub async fn read_handover(&mut self) -> Option<HandoverState> {
        let runtime = self.folder.runtime.clone();
        let text = runtime.read(&self.folder.path.join(STATE));
        let state = text.ok().and_then(|text| {
            let (state, size) = decode::<HandoverState>(&text).ok().flatten()?;
            let used = decode(&text[size..]).ok().flatten().map(|(used, _)| used);
            Some(HandoverState {
                used_rates: used.unwrap_or_default(),
                ..state
            })
        });
        let Some(state) = state.filter(|state| state.form == FORM) else {
            while self.arm.is_none() && !self.folder.is_free(ARM) {
                runtime.sleep(CLOSE_LOOK).await;
            }
            self.settle();
            return None;
        };
        self.open_calls = state
            .open_calls
            .iter()
            .map(|(id, attempt, host)| (*id, (*attempt, *host)))
            .collect();
        (self.next_check_at, self.left) = (Some(runtime.now()), true);
        Some(state)
    }

    /// This process takes clients now.
    pub fn withdraw_request(&self) {
        self.folder.remove(ASK);
    }

    /// When to look at the folder next.
    pub fn next_check_at(&self) -> Option<Instant> {
        self.next_check_at
    }

    /// Whether another process asks for the folder.
    pub fn handover_requested(&mut self) -> bool {
        if !self.inherits || self.next.is_some() || self.arm.is_some() {
            return false;
        }
        self.next_check_at = Some(self.folder.runtime.now() + LOOK);
        if !self.folder.has(ASK) {
            return false;
        }
        // Guards against a request whose process is gone: nobody would take what is handed over.
        let stale = self.folder.is_free(NEXT);
        if stale {
            self.folder.remove(ASK);
        }
        !stale
    }

    /// Ends of calls that were out at the process before, since they were last asked for. Once that is gone, what has
    /// no end may have run.
    pub fn take_call_ends(&mut self) -> Vec<CompletedCall> {
        if self.open_calls.is_empty() && self.next.is_none() && self.arm.is_none() {
            return Vec::new();
        }
        let runtime = self.folder.runtime.clone();
        self.next_check_at = Some(runtime.now() + CLOSE_LOOK);
        // Asked before its ends are read: what it wrote last is then there.
        let gone = self.arm.is_none() && self.folder.is_free(ARM);
        let text = runtime
            .read(&self.folder.path.join(ENDS))
            .unwrap_or_default();
        let mut ends = Vec::new();
        while let Ok(Some((end, size))) =
            decode::<CompletedCall>(text.get(self.read..).unwrap_or_default())
        {
            self.read += size;
            if self
                .open_calls
                .get(&end.id)
                .is_some_and(|(attempt, _)| *attempt == end.attempt)
            {
                self.open_calls.remove(&end.id);
                ends.push(end);
            }
        }
        if gone {
            let lost = std::mem::take(&mut self.open_calls).into_iter();
            ends.extend(lost.map(|(id, (attempt, host))| CompletedCall {
                id,
                attempt,
                host,
                outcome: AttemptOutcome::ConnectionLost,
                is_final: false,
                load_report: None,
                elapsed: 0,
                opened_connection: false,
            }));
        }
        ends
    }

    /// A call of this process has ended; it may be one from before it took the folder back.
    pub fn call_completed(&mut self, end: &CompletedCall) {
        if self
            .open_calls
            .get(&end.id)
            .is_some_and(|(attempt, _)| *attempt == end.attempt)
        {
            self.open_calls.remove(&end.id);
        }
    }

    /// The ends that were given are in the journal: once all are, and the process before is gone, this one is alone.
    pub fn clean_up(&mut self) {
        let alone = || self.arm.is_some() || self.folder.is_free(ARM);
        // Only once: a request that comes later is not this one's to remove.
        if (self.left || self.next.is_some()) && self.open_calls.is_empty() && alone() {
            self.settle();
        }
    }

    fn settle(&mut self) {
        for name in [STATE, ENDS, ASK] {
            self.folder.remove(name);
        }
        (self.next, self.arm, self.left) = (None, None, false);
        self.next_check_at = self.inherits.then(|| self.folder.runtime.now() + LOOK);
    }

    /// Gives the folder away. On an error it stays with this process.
    pub fn hand_over(
        &mut self,
        mut state: HandoverState,
        limit: u64,
    ) -> io::Result<DepartingProcess<R>> {
        self.next_check_at = Some(self.folder.runtime.now() + AGAIN);
        let (runtime, path) = (&self.folder.runtime, &self.folder.path);
        let busy = || {
            io::Error::new(
                io::ErrorKind::WouldBlock,
                "a process that handed over is still there",
            )
        };
        let lock = self.folder.lock(ARM)?.ok_or_else(busy)?;
        let most = ((limit as f64 * STATE_PART) as usize).min(LONGEST);
        let mut text = encode(&state)?;
        // Of names that are over the last ones come first, as many as there is room for.
        while text.len() > most && !state.completed.is_empty() {
            state.completed.truncate(state.completed.len() / 2);
            text = encode(&state)?;
        }
        if text.len() > most {
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "there is too much to hand over",
            ));
        }
        // Of rates that were used as many as there is room for: the others start anew.
        let mut used = &state.used_rates[..];
        while text.len() + encode(&used)?.len() > most && !used.is_empty() {
            used = &used[..used.len() / 2];
        }
        if !used.is_empty() {
            text.extend(encode(&used)?);
        }
        let ends = runtime.create(&path.join(ENDS))?;
        let fresh = path.join(STATE).with_extension("new");
        let written = runtime
            .write(&fresh, &text)
            .and_then(|()| runtime.rename(&fresh, &path.join(STATE)));
        written.inspect_err(|_| drop(runtime.remove(&fresh)))?;
        let out = state
            .open_calls
            .iter()
            .map(|(id, attempt, _)| (*id, *attempt))
            .collect();
        let (folder, look) = (self.folder.clone(), runtime.now() + LOOK);
        Ok(DepartingProcess {
            folder,
            owner: self.owner.take(),
            _lock: lock,
            call_ends_file: ends,
            open_calls: out,
            calls: Calls::new(),
            look,
        })
    }
}

/// What is left of a process that has handed over: its calls.
pub struct DepartingProcess<R: Runtime> {
    folder: StateDirectory<R>,
    /// Until all that uses the folder is closed.
    owner: Option<R::Lock>,
    _lock: R::Lock,
    call_ends_file: R::File,
    open_calls: BTreeMap<MessageId, u8>,
    /// What would end the calls early if it were dropped.
    calls: Calls,
    look: Instant,
}

/// Calls that are out: the attempt, the host, and what ends it early.
pub type Calls = BTreeMap<MessageId, (u8, HostId, Option<oneshot::Sender<()>>)>;

impl<R: Runtime> DepartingProcess<R> {
    /// Its calls, which are to go on.
    pub fn keep_calls(&mut self, calls: Calls) {
        self.calls = calls;
    }

    /// This process has closed all that it had in the folder.
    pub fn release_directory(&mut self) {
        self.owner = None;
    }

    /// A call has ended, which the new owner is to read.
    pub fn report_call_end(&mut self, end: &CompletedCall) -> io::Result<()> {
        if self.open_calls.get(&end.id) == Some(&end.attempt) {
            self.open_calls.remove(&end.id);
            self.calls.remove(&end.id);
        }
        let text = encode(end)?;
        self.call_ends_file.seek(SeekFrom::End(0))?;
        self.call_ends_file.write_all(&text)
    }

    /// Whether no call is out any more.
    pub fn is_idle(&self) -> bool {
        self.open_calls.is_empty()
    }

    /// Whether the new owner serves. It holds its lock for as long as this process lives: one that has served and
    /// died is no owner.
    pub fn is_replaced(&self) -> bool {
        !self.folder.has(ASK) && !self.folder.is_free(NEXT)
    }

    /// The folder again, where the process that took it is gone. Calls that are out here stay so: their ends come by the
    /// file, as they would to another process.
    pub fn take_back(mut self) -> Result<DirectoryOwner<R>, Self> {
        let now = self.folder.runtime.now();
        if now < self.look {
            return Err(self);
        }
        self.look = now + LOOK;
        let Ok(Some(next)) = self.folder.lock(NEXT) else {
            return Err(self);
        };
        let Ok(Some(owner)) = self.folder.lock(OWNER) else {
            return Err(self);
        };
        self.folder.remove(ASK);
        drop(next);
        let mut office = DirectoryOwner::new(self.folder.clone(), owner, None, true);
        office.arm = Some(self);
        Ok(office)
    }
}
