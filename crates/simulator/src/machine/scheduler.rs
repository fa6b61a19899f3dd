//! Tasks and timers on the virtual clock.
//!
//! One task is polled at a time. Which of the ready tasks and of the timers that are due at the same instant comes
//! next is drawn from the seed. Time passes only when nothing is ready.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Wake, Waker};
use std::time::Duration;

use super::connection::{ConnectionId, Side};
use super::process::ProcessId;

pub(super) type TaskId = u64;
type TaskFuture = Pin<Box<dyn Future<Output = ()>>>;

/// The tasks that were woken since the last step; their order is of no importance.
type WokenTasks = Arc<Mutex<Vec<TaskId>>>;

struct TaskWaker {
    id: TaskId,
    is_queued: AtomicBool,
    woken: WokenTasks,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.is_queued.swap(true, Ordering::Relaxed) {
            if let Ok(mut woken) = self.woken.lock() {
                woken.push(self.id);
            }
        }
    }
}

/// A task of a process.
pub(super) struct ScheduledTask {
    process: ProcessId,
    /// None while it is polled.
    future: Option<TaskFuture>,
    is_aborted: bool,
    waker: Arc<TaskWaker>,
    /// Wakers of those that wait for its end.
    join_wakers: Vec<Waker>,
}

/// A task that was taken out of the scheduler to be polled.
pub(super) struct TaskToPoll {
    pub process: ProcessId,
    pub future: TaskFuture,
    pub is_aborted: bool,
    pub waker: Waker,
}

/// What a timer does when it is due.
pub(super) enum TimerAction {
    Wake(Waker),
    /// Something has arrived at a side of a connection.
    Arrival(ConnectionId, Side),
}

/// A timer's place in the order of timers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey {
    due_at: Duration,
    /// Number of the timer, which no other timer or task has.
    number: u64,
}

/// What happens next.
pub(super) enum NextStep {
    Poll(TaskId),
    FireTimer(TimerAction),
    /// Time passes until then.
    AdvanceClock(Duration),
    /// Nothing will ever happen again.
    Idle,
}

#[derive(Default)]
pub(super) struct Scheduler {
    tasks: BTreeMap<TaskId, ScheduledTask>,
    /// The last number that a task or timer was given.
    last_number: u64,
    woken: WokenTasks,
    ready: Vec<TaskId>,
    timers: BTreeMap<TimerKey, TimerAction>,
}

impl Scheduler {
    pub fn spawn(&mut self, process: ProcessId, future: TaskFuture) -> TaskId {
        self.last_number += 1;
        let id = self.last_number;
        let waker = Arc::new(TaskWaker {
            id,
            is_queued: AtomicBool::new(true),
            woken: self.woken.clone(),
        });
        self.tasks.insert(
            id,
            ScheduledTask {
                process,
                future: Some(future),
                is_aborted: false,
                waker,
                join_wakers: Vec::new(),
            },
        );
        self.ready.push(id);
        id
    }

    pub fn add_timer(&mut self, due_at: Duration, action: TimerAction) -> TimerKey {
        self.last_number += 1;
        let key = TimerKey {
            due_at,
            number: self.last_number,
        };
        self.timers.insert(key, action);
        key
    }

    /// Replaces the waker of a timer. False if it has fired already.
    pub fn replace_timer_waker(&mut self, key: TimerKey, waker: &Waker) -> bool {
        match self.timers.get_mut(&key) {
            Some(TimerAction::Wake(current)) => {
                current.clone_from(waker);
                true
            }
            _ => false,
        }
    }

    /// Takes a timer out, to be dropped by the caller.
    pub fn cancel_timer(&mut self, key: TimerKey) -> Option<TimerAction> {
        self.timers.remove(&key)
    }

    pub fn abort(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.is_aborted = true;
            task.waker.wake_by_ref();
        }
    }

    /// Whether a task has ended; if not, the waker is woken when it does.
    pub fn has_ended(&mut self, id: TaskId, waker: &Waker) -> bool {
        match self.tasks.get_mut(&id) {
            Some(task) => {
                task.join_wakers.push(waker.clone());
                false
            }
            None => true,
        }
    }

    /// Chooses what happens next. `draw_below` returns a random number below its argument; it is not called where
    /// there is only one choice.
    pub fn next_step(&mut self, now: Duration, mut draw_below: impl FnMut(u64) -> u64) -> NextStep {
        self.collect_woken();
        let last_due = TimerKey {
            due_at: now,
            number: u64::MAX,
        };
        let timers_due = self.timers.range(..=last_due).count();
        let choices = self.ready.len() + timers_due;
        if choices == 0 {
            return self
                .timers
                .first_key_value()
                .map_or(NextStep::Idle, |(key, _)| {
                    NextStep::AdvanceClock(key.due_at)
                });
        }
        let chosen = if choices == 1 {
            0
        } else {
            draw_below(choices as u64) as usize
        };
        if chosen < self.ready.len() {
            return NextStep::Poll(self.ready.swap_remove(chosen));
        }
        let key = self.timers.keys().nth(chosen - self.ready.len()).copied();
        key.and_then(|key| self.timers.remove(&key))
            .map_or(NextStep::Idle, NextStep::FireTimer)
    }

    /// Adds the tasks that were woken since the last step to those that are ready.
    fn collect_woken(&mut self) {
        if let Ok(mut woken) = self.woken.lock() {
            // Tasks that are woken together may come in any order: tokio's `watch` draws it from random numbers that
            // are not the seed's.
            woken.sort_unstable();
            self.ready.append(&mut woken);
        }
    }

    /// Takes a task out to be polled; none if it has ended.
    pub fn take(&mut self, id: TaskId) -> Option<TaskToPoll> {
        let task = self.tasks.get_mut(&id)?;
        task.waker.is_queued.store(false, Ordering::Relaxed);
        let future = task.future.take()?;
        Some(TaskToPoll {
            process: task.process,
            future,
            is_aborted: task.is_aborted,
            waker: task.waker.clone().into(),
        })
    }

    /// Puts a task back after a poll. Returns its future, to be dropped by the caller, if its process was killed
    /// meanwhile.
    pub fn put_back(&mut self, id: TaskId, future: TaskFuture) -> Option<TaskFuture> {
        match self.tasks.get_mut(&id) {
            Some(task) => {
                task.future = Some(future);
                None
            }
            None => Some(future),
        }
    }

    /// Removes a task that has ended, and wakes those that wait for it.
    pub fn finish(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.remove(&id) {
            task.join_wakers.into_iter().for_each(Waker::wake);
        }
    }

    /// Takes out all tasks of a process, to be dropped by the caller.
    pub fn take_all(&mut self, process: ProcessId) -> Vec<ScheduledTask> {
        let ids: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.process == process)
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter()
            .filter_map(|id| self.tasks.remove(&id))
            .collect()
    }
}
