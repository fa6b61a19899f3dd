//! Which job runs next, and for how long.
//!
//! Classes share what live calls leave by deficit round robin: a class with work gets its weight's part of the time, and a
//! slice that overran is paid back in later turns. Within a class owners take turns; of one owner the job with the
//! earliest deadline that has not passed goes first, the others take turns. Each class has budgets a second for time, bytes and calls. While live calls want the
//! core, one slice of the least length runs every [`Settings::starve_after`], so that no class stands still for good.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::job::{
    Cause, Job, JobId, Order, Owner, Slice, Spec, State, Wanted, LONGEST_NAME, MOST_AFTER,
};
use crate::Micros;

const SECOND: Micros = 1_000_000;
/// Jobs that are over and kept to be looked at; the oldest goes first.
pub const MOST_OVER: usize = 1000;

/// A class of priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// What keeps the relay within its bounds, such as rewriting the journal.
    Upkeep,
    /// What somebody waits for, such as resends.
    Prompt,
    /// Large work, such as exports.
    Bulk,
    /// Sweeps.
    Idle,
}

impl Class {
    /// All of them.
    pub const ALL: [Class; 4] = [Class::Upkeep, Class::Prompt, Class::Bulk, Class::Idle];
}

/// What a class may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Its part against those of the other classes, 1 or more.
    pub weight: u64,
    /// Microseconds of a second.
    pub time: Micros,
    /// Bytes a second.
    pub bytes: u64,
    /// Calls a second.
    pub calls: u64,
}

/// What an operator sets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Budgets, in the order of [`Class::ALL`].
    pub budgets: [Budget; 4],
    /// The longest slice, and the one that runs while live calls want the core.
    pub slice: (Micros, Micros),
    /// Where live calls want the core all the time, one slice runs so often.
    pub starve_after: Micros,
    /// Jobs that are not over, at most.
    pub most: usize,
    /// The same of one owner.
    pub most_of_owner: usize,
}

impl Default for Settings {
    fn default() -> Self {
        let budget = |weight, time| Budget {
            weight,
            time,
            bytes: 16 << 20,
            calls: 100,
        };
        Settings {
            budgets: [
                budget(8, 200_000),
                budget(4, 100_000),
                budget(2, 50_000),
                budget(1, 20_000),
            ],
            slice: (2_000, 500),
            starve_after: SECOND,
            most: 10_000,
            most_of_owner: 1_000,
        }
    }
}

impl Settings {
    /// Checks all of it; the error is one plain line.
    ///
    /// # Errors
    ///
    /// One plain line that names the first value out of bounds.
    pub fn check(&self) -> Result<(), String> {
        for (class, budget) in Class::ALL.iter().zip(&self.budgets) {
            if budget.weight == 0 || budget.time == 0 || budget.time > SECOND {
                return Err(format!(
                    "work: {class:?}: a weight of 0, or a time that is not within a second"
                ));
            }
        }
        if self.slice.1 == 0 || self.slice.1 > self.slice.0 || self.slice.0 > SECOND / 10 {
            return Err(
                "work: a slice is not from 1 us to 100 ms, or the least is over the longest".into(),
            );
        }
        if self.most == 0 || self.most_of_owner == 0 || self.starve_after == 0 {
            return Err("work: a bound of 0".into());
        }
        Ok(())
    }
}

/// Why a job is not taken on, or an order not followed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// There is none of this number.
    #[error("there is no such job")]
    None,
    /// It has changed since.
    #[error("the job is in version {0} by now")]
    Version(u64),
    /// It is over, or the order changes nothing.
    #[error("the job is over, or does so already")]
    NoChange,
    /// As many as may be are under way; come again after so many microseconds.
    #[error("as many jobs are under way as may be")]
    TooMany(Micros),
    /// What was given is of no use.
    #[error("{0}")]
    Malformed(&'static str),
}

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// A slice of a job, which is to yield after so long.
    Run(JobId, Micros),
    /// Nothing before this moment, unless something changes.
    Wait(Micros),
}

/// What a slice used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Used {
    /// Time.
    pub time: Micros,
    /// Bytes.
    pub bytes: u64,
    /// Calls.
    pub calls: u64,
}

/// When the owner was served last, the deadline, when the job was, and the job.
type Rank = (u64, Micros, u64, JobId);

/// What a class has left; below nothing after an overrun.
#[derive(Clone, Copy, Debug, Default)]
struct Left {
    deficit: i64,
    time: i64,
    bytes: i64,
    calls: i64,
}

/// All jobs.
#[derive(Debug)]
pub struct Work {
    set: Settings,
    jobs: BTreeMap<JobId, Job>,
    over: VecDeque<JobId>,
    last: JobId,
    left: [Left; 4],
    filled: Micros,
    /// The class whose turn it is.
    turn: usize,
    /// Whom a class served last, by owner, as a number that grows.
    served: BTreeMap<(Class, Owner), u64>,
    serving: u64,
    running: Option<JobId>,
    /// When a slice ended last.
    ran: Micros,
}

impl Work {
    /// No jobs yet. Budgets are full at the beginning.
    #[must_use]
    pub fn new(set: Settings, now: Micros) -> Self {
        let full = |budget: &Budget| Left {
            deficit: 0,
            time: budget.time as i64,
            bytes: budget.bytes as i64,
            calls: budget.calls as i64,
        };
        let left = [0, 1, 2, 3].map(|at: usize| full(&set.budgets[at]));
        Work {
            set,
            jobs: BTreeMap::new(),
            over: VecDeque::new(),
            last: 0,
            left,
            filled: now,
            turn: 0,
            served: BTreeMap::new(),
            serving: 0,
            running: None,
            ran: now,
        }
    }

    /// Jobs as they were kept by a process that is gone.
    pub fn restored(
        set: Settings,
        kept: impl IntoIterator<Item = (JobId, Job)>,
        now: Micros,
    ) -> Self {
        let mut work = Work::new(set, now);
        for (id, mut job) in kept {
            job.restarted(now);
            work.last = work.last.max(id);
            if job.state.is_over() {
                work.over.push_back(id);
            }
            work.jobs.insert(id, job);
        }
        work
    }

    /// A job.
    #[must_use]
    pub fn find(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// All jobs, the oldest first.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    fn under_way(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs.iter().filter(|(_, job)| !job.state.is_over())
    }

    /// Takes a job on.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the specification is out of bounds or the queue is full.
    pub fn submit(&mut self, spec: Spec) -> Result<JobId, Refusal> {
        if spec.name.is_empty()
            || spec.name.len() > LONGEST_NAME
            || spec.name.chars().any(char::is_control)
        {
            return Err(Refusal::Malformed(
                "a name is empty, over 64 bytes, or has control characters",
            ));
        }
        if spec.tries == 0 || spec.period == Some(0) {
            return Err(Refusal::Malformed("tries or a period of 0"));
        }
        if spec.after.len() > MOST_AFTER || spec.after.iter().any(|id| !self.jobs.contains_key(id))
        {
            return Err(Refusal::Malformed(
                "it is to come after over 16 jobs, or after one that is not there",
            ));
        }
        let of_owner = self
            .under_way()
            .filter(|(_, job)| job.spec.owner == spec.owner)
            .count();
        if self.under_way().count() >= self.set.most || of_owner >= self.set.most_of_owner {
            return Err(Refusal::TooMany(SECOND));
        }
        self.last += 1;
        self.jobs.insert(self.last, Job::new(spec));
        Ok(self.last)
    }

    /// Follows an order, if the job is in the version that is meant.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if there is no such job, its version is another one, or its state does not allow the order.
    pub fn order(
        &mut self,
        id: JobId,
        order: Order,
        version: Option<u64>,
        now: Micros,
    ) -> Result<(), Refusal> {
        let job = self.jobs.get_mut(&id).ok_or(Refusal::None)?;
        if version.is_some_and(|wanted| wanted != job.version) {
            return Err(Refusal::Version(job.version));
        }
        if !job.order(order, now) {
            return Err(Refusal::NoChange);
        }
        self.settle(id);
        Ok(())
    }

    /// An owner is gone: its jobs end, one within a slice at that slice's end.
    pub fn owner_gone(&mut self, owner: &Owner) {
        let theirs: Vec<JobId> = self
            .under_way()
            .filter(|(_, job)| job.spec.owner == *owner)
            .map(|(id, _)| *id)
            .collect();
        for id in theirs {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            match job.state {
                State::Running => job.wanted = Some(Wanted::OwnerGone),
                _ => job.becomes(State::Failed(Cause::OwnerGone)),
            }
            self.settle(id);
        }
        self.served.retain(|(_, other), _| other != owner);
    }

    /// A job has changed: keeps the bound on those that are over.
    fn settle(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| job.state.is_over()) && !self.over.contains(&id) {
            self.over.push_back(id);
        }
        while self.over.len() > MOST_OVER {
            self.over
                .pop_front()
                .into_iter()
                .for_each(|id| drop(self.jobs.remove(&id)));
        }
    }

    /// A clock that was set back fills nothing.
    fn fill(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.filled).min(SECOND);
        self.filled = now;
        for (left, budget) in self.left.iter_mut().zip(&self.set.budgets) {
            let part = |rate: u64| (rate as u128 * u128::from(passed) / u128::from(SECOND)) as i64;
            left.time = (left.time + part(budget.time)).min(budget.time as i64);
            left.bytes = (left.bytes + part(budget.bytes)).min(budget.bytes as i64);
            left.calls = (left.calls + part(budget.calls)).min(budget.calls as i64);
        }
    }

    /// Whether a job may run now as far as its dependencies go; an error if one of them came to nothing.
    fn freed(&self, job: &Job) -> Result<bool, ()> {
        let mut free = true;
        for id in &job.spec.after {
            match self.jobs.get(id).map(|job| &job.state) {
                // One that is not there any more was over long ago; what came to nothing ended its followers then.
                None | Some(State::Done(_)) => {}
                Some(State::Failed(_) | State::Cancelled) => return Err(()),
                Some(_) => free = false,
            }
        }
        Ok(free)
    }

    /// What is to be done now. `busy`: live calls want the core.
    pub fn next(&mut self, now: Micros, busy: bool) -> Next {
        if self.running.is_some() {
            return Next::Wait(Micros::MAX);
        }
        self.fill(now);
        let quiet = now.saturating_sub(self.ran);
        // A clock that was set back makes nobody wait longer than the span.
        self.ran = self.ran.min(now);
        if busy && quiet < self.set.starve_after {
            return Next::Wait(self.ran + self.set.starve_after);
        }
        let lost: Vec<JobId> = self
            .under_way()
            .filter(|(_, job)| job.state != State::Running && self.freed(job).is_err())
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            self.jobs
                .get_mut(&id)
                .into_iter()
                .for_each(|job| job.becomes(State::Failed(Cause::Dependency)));
            self.settle(id);
        }
        let mut soonest = Micros::MAX;
        let mut best: [Option<Rank>; 4] = [None; 4];
        for (id, job) in &self.jobs {
            let State::Waiting(at) = job.state else {
                continue;
            };
            if self.freed(job) != Ok(true) {
                continue;
            }
            if at > now {
                soonest = soonest.min(at);
                continue;
            }
            let class = job.spec.class;
            let served = self
                .served
                .get(&(class, job.spec.owner.clone()))
                .copied()
                .unwrap_or(0);
            // A deadline that has passed gives no precedence, so that nothing waits for good behind one.
            let deadline = job
                .spec
                .deadline
                .filter(|deadline| *deadline > now)
                .unwrap_or(Micros::MAX);
            let rank = (served, deadline, job.served, *id);
            let slot = &mut best[class as usize];
            if slot.is_none_or(|other| rank < other) {
                *slot = Some(rank);
            }
        }
        let may = |at: usize, left: &[Left; 4]| {
            best[at].is_some() && left[at].time > 0 && left[at].bytes > 0 && left[at].calls > 0
        };
        if !(0..4).any(|at| may(at, &self.left)) {
            // Budgets that are used up fill again within a second at most.
            let waits = best.iter().any(Option::is_some);
            return Next::Wait(if waits {
                soonest.min(now + SECOND / 100)
            } else {
                soonest
            });
        }
        // A class without work gathers nothing.
        for (left, best) in self.left.iter_mut().zip(&best) {
            if best.is_none() {
                left.deficit = left.deficit.min(0);
            }
        }
        loop {
            let at = self.turn;
            if may(at, &self.left) && self.left[at].deficit > 0 {
                let Some((.., id)) = best[at] else {
                    return Next::Wait(now + SECOND / 100);
                };
                let slice = if busy {
                    self.set.slice.1
                } else {
                    self.set.slice.0
                };
                return self.start(id, now, slice.min(self.left[at].time.max(1) as Micros));
            }
            self.turn = (at + 1) % 4;
            if may(self.turn, &self.left) {
                self.left[self.turn].deficit +=
                    (self.set.budgets[self.turn].weight * self.set.slice.1) as i64;
            }
        }
    }

    fn start(&mut self, id: JobId, now: Micros, slice: Micros) -> Next {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.becomes(State::Running);
            job.begun.get_or_insert(now);
            self.serving += 1;
            job.served = self.serving;
            self.served
                .insert((job.spec.class, job.spec.owner.clone()), self.serving);
        }
        self.running = Some(id);
        Next::Run(id, slice)
    }

    /// The slice that runs has ended. `spread`, from 0 to 1, is drawn by the caller.
    pub fn ended(&mut self, slice: Slice, used: Used, now: Micros, spread: f64) {
        let Some(id) = self.running.take() else {
            return;
        };
        self.ran = now;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let left = &mut self.left[job.spec.class as usize];
        // What one slice overran is paid back for a second's worth at most.
        let paid = |left: i64, used: u64, most: u64| {
            left.saturating_sub_unsigned(used)
                .max(-(most.min(i64::MAX as u64) as i64))
        };
        left.deficit = paid(left.deficit, used.time.max(1), SECOND);
        let budget = &self.set.budgets[job.spec.class as usize];
        left.time = paid(left.time, used.time, budget.time);
        left.bytes = paid(left.bytes, used.bytes, budget.bytes);
        left.calls = paid(left.calls, used.calls, budget.calls);
        job.ended(slice, used.time, now, spread);
        self.settle(id);
    }
}
