//! Tasks and timers on the virtual clock.
//!
//! One task is polled at a time. Which one of those that are ready, and which one of the timers that are due at
//! the same instant, is drawn from the seed. Time passes only when nothing is ready.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Wake, Waker};
use std::time::Duration;

use super::net::ConnId;
use super::ProcId;

pub(super) type TaskId = u64;
type Body = Pin<Box<dyn Future<Output = ()>>>;

/// The tasks that have been woken, in no order that counts.
type Woken = Arc<Mutex<Vec<TaskId>>>;

struct TaskWaker {
    id: TaskId,
    queued: AtomicBool,
    woken: Woken,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::Relaxed) {
            if let Ok(mut woken) = self.woken.lock() {
                woken.push(self.id);
            }
        }
    }
}

pub(super) struct Slot {
    pub proc: ProcId,
    /// None while it is polled.
    pub body: Option<Body>,
    pub aborted: bool,
    waker: Arc<TaskWaker>,
    /// Those who wait for its end.
    waiters: Vec<Waker>,
}

/// What a timer does when it is due.
pub(super) enum Due {
    Wake(Waker),
    /// Something has arrived for a side of a connection.
    Arrival(ConnId, usize),
}

pub(super) type TimerKey = (Duration, u64);

#[derive(Default)]
pub(super) struct Sched {
    tasks: BTreeMap<TaskId, Slot>,
    next: u64,
    woken: Woken,
    ready: Vec<TaskId>,
    timers: BTreeMap<TimerKey, Due>,
}

/// What happens next.
pub(super) enum Next {
    Poll(TaskId),
    Timer(Due),
    /// Time passes until then.
    Wait(Duration),
    /// Nothing will ever happen again.
    Nothing,
}

impl Sched {
    pub fn spawn(&mut self, proc: ProcId, body: Body) -> TaskId {
        self.next += 1;
        let id = self.next;
        let waker = Arc::new(TaskWaker {
            id,
            queued: AtomicBool::new(true),
            woken: self.woken.clone(),
        });
        self.tasks.insert(
            id,
            Slot {
                proc,
                body: Some(body),
                aborted: false,
                waker,
                waiters: Vec::new(),
            },
        );
        self.ready.push(id);
        id
    }

    pub fn timer(&mut self, at: Duration, due: Due) -> TimerKey {
        self.next += 1;
        self.timers.insert((at, self.next), due);
        (at, self.next)
    }

    pub fn rewake(&mut self, key: TimerKey, waker: &Waker) -> bool {
        match self.timers.get_mut(&key) {
            Some(Due::Wake(old)) => {
                old.clone_from(waker);
                true
            }
            _ => false,
        }
    }

    pub fn cancel(&mut self, key: TimerKey) -> Option<Due> {
        self.timers.remove(&key)
    }

    pub fn abort(&mut self, id: TaskId) {
        if let Some(slot) = self.tasks.get_mut(&id) {
            slot.aborted = true;
            slot.waker.wake_by_ref();
        }
    }

    /// Whether the task has ended; if not, the waker hears of it.
    pub fn ended(&mut self, id: TaskId, waker: &Waker) -> bool {
        match self.tasks.get_mut(&id) {
            Some(slot) => {
                slot.waiters.push(waker.clone());
                false
            }
            None => true,
        }
    }

    /// Chooses what happens next with numbers from `below`.
    pub fn next(&mut self, now: Duration, mut below: impl FnMut(u64) -> u64) -> Next {
        if let Ok(mut woken) = self.woken.lock() {
            // Those woken together may come in any order: the runtime's channels draw theirs from numbers that
            // are not the seed's.
            woken.sort_unstable();
            self.ready.append(&mut woken);
        }
        let due = self.timers.range(..=(now, u64::MAX)).count();
        let all = self.ready.len() + due;
        if all == 0 {
            return self
                .timers
                .first_key_value()
                .map_or(Next::Nothing, |((at, _), _)| Next::Wait(*at));
        }
        let chosen = if all == 1 {
            0
        } else {
            below(all as u64) as usize
        };
        if chosen < self.ready.len() {
            return Next::Poll(self.ready.swap_remove(chosen));
        }
        let key = self.timers.keys().nth(chosen - self.ready.len()).copied();
        key.and_then(|key| self.timers.remove(&key))
            .map_or(Next::Nothing, Next::Timer)
    }

    /// Takes a task's body out to be polled, with whether it was aborted.
    pub fn take(&mut self, id: TaskId) -> Option<(ProcId, Body, bool, Waker)> {
        let slot = self.tasks.get_mut(&id)?;
        slot.waker.queued.store(false, Ordering::Relaxed);
        let body = slot.body.take()?;
        Some((slot.proc, body, slot.aborted, slot.waker.clone().into()))
    }

    pub fn put_back(&mut self, id: TaskId, body: Body) -> Option<Body> {
        match self.tasks.get_mut(&id) {
            Some(slot) => {
                slot.body = Some(body);
                None
            }
            // Its process was killed while it ran.
            None => Some(body),
        }
    }

    pub fn finish(&mut self, id: TaskId) {
        if let Some(slot) = self.tasks.remove(&id) {
            slot.waiters.into_iter().for_each(Waker::wake);
        }
    }

    /// Takes out all tasks of a process, to be dropped by the caller.
    pub fn take_all(&mut self, proc: ProcId) -> Vec<Slot> {
        let ids: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, slot)| slot.proc == proc)
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .filter_map(|id| self.tasks.remove(&id))
            .collect()
    }
}
