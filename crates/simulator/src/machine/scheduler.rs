//! Tasks and timers on the virtual clock.
//!
//! One task is polled at a time. The next step is drawn from the seed among the ready tasks and the timers that are
//! due. Time advances only when nothing is ready.

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

/// The tasks that were woken since the last step, in no particular order.
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
    /// Wakers of the tasks that wait for it to end.
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

/// Key by which timers are ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TimerKey {
    due_at: Duration,
    /// Number of the timer, unique among timers and tasks.
    number: u64,
}

/// The next step of the machine.
pub(super) enum NextStep {
    Poll(TaskId),
    FireTimer(TimerAction),
    /// Nothing is ready; the clock advances to this time.
    AdvanceClock(Duration),
    /// There are no ready tasks and no timers.
    Idle,
}

#[derive(Default)]
pub(super) struct Scheduler {
    tasks: BTreeMap<TaskId, ScheduledTask>,
    /// The last number assigned to a task or timer.
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

    /// Removes a timer and returns its action, which the caller drops.
    pub fn cancel_timer(&mut self, key: TimerKey) -> Option<TimerAction> {
        self.timers.remove(&key)
    }

    pub fn abort(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.get_mut(&id) {
            task.is_aborted = true;
            task.waker.wake_by_ref();
        }
    }

    /// Returns whether a task has ended; if not, `waker` is woken when it ends.
    pub fn has_ended(&mut self, id: TaskId, waker: &Waker) -> bool {
        match self.tasks.get_mut(&id) {
            Some(task) => {
                task.join_wakers.push(waker.clone());
                false
            }
            None => true,
        }
    }

    /// Chooses the next step. `draw_below` returns a random number below its argument; it is not called if there is only
    /// one choice.
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

    /// Moves the tasks that were woken since the last step to the ready tasks.
    fn collect_woken(&mut self) {
        if let Ok(mut woken) = self.woken.lock() {
            // Sorted for reproducibility: tokio's `watch` wakes its waiters in an order that it draws from its own
            // random numbers, not from the seed.
            woken.sort_unstable();
            self.ready.append(&mut woken);
        }
    }

    /// Takes a task to be polled; none if it has ended.
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

    /// Puts a task back after a poll. If its process was killed meanwhile, returns the future, which the caller drops.
    pub fn put_back(&mut self, id: TaskId, future: TaskFuture) -> Option<TaskFuture> {
        match self.tasks.get_mut(&id) {
            Some(task) => {
                task.future = Some(future);
                None
            }
            None => Some(future),
        }
    }

    /// Removes a task that has ended, and wakes the tasks that wait for it.
    pub fn finish(&mut self, id: TaskId) {
        if let Some(task) = self.tasks.remove(&id) {
            task.join_wakers.into_iter().for_each(Waker::wake);
        }
    }

    /// Removes all tasks of a process and returns them, for the caller to drop.
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
