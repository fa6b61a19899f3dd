//! When to ask discovery, and how long to wait for its answer.
//!
//! Where changes are pushed, an agent beside the relay answers at once and at no cost, and what it has counts as told: asking
//! is quick and never rests for long. Where discovery is asked, all relays share it: what many that ask at once leave
//! room for, within what counts as told.

use std::time::Duration;

use policy::random::RandomFractions;

use crate::DiscoverySettings;

/// A watch on which nothing comes for so long is dead, whatever its connection says: an empty line comes every 2 s.
pub const SILENCE: Duration = Duration::from_millis(3500);
/// What discovery has to tell counts as told so long after a watch fell silent.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// An empty line comes so often where nothing changes; what it confirms may be that old.
const BEAT: Duration = Duration::from_secs(2);
/// What is left of that for the answer, its lines and the relay's own work, at least.
const ANSWER: Duration = Duration::from_millis(1500);

/// Where changes are pushed: longest wait for a connection and its answer, the first rest after an end, and the longest; all are
/// less where a drain leaves less than two seconds.
const PUSHED_PATIENCE: Duration = Duration::from_millis(750);
const PUSHED_REST: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(250));
/// The same as parts of what a drain leaves: an agent that comes back is heard within the first two and a half of the second,
/// as rests are drawn up to three halves, which leaves three tenths of it for the relay's own work.
const PUSHED_PARTS: (f64, f64) = (0.375, 0.125);
/// A list that has begun comes whole within this, and within half of what a drain leaves.
const WHOLE: Duration = Duration::from_secs(1);

/// Where discovery is asked: the first rest after an end, and the longest one, for a relay alone.
const REST: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Longest wait for an answer, for a relay alone.
const PATIENCE: Duration = Duration::from_secs(1);
/// With each further relay these grow by so much, as discovery answers one relay after the other: a new start is
/// spread over this and the first rest is as long,
const EACH_FIRST: Duration = Duration::from_millis(20);
/// the longest rest grows by this,
const EACH_MOST: Duration = Duration::from_millis(80);
/// and the wait for an answer by this. What a call that waits misses counts as told only after its wait.
const EACH_PATIENCE: Duration = Duration::from_millis(40);
/// However many relays there are, no wait here is longer.
const BOUND: Duration = Duration::from_secs(10);

/// Paces one relay's calls to discovery.
///
/// Guards a discovery that a hundred relays ask at once, after a start or an end that all of them saw: one that
/// gave up early left its call behind to be answered for nobody, and those turned away came again together.
pub struct PollSchedule {
    pushed: bool,
    siblings: u32,
    drain_grace: Duration,
    dice: RandomFractions,
    rest: Duration,
    /// The last answer could not be read.
    spoilt: bool,
}

impl PollSchedule {
    /// For one of so many relays, with random numbers from the configured seed.
    pub fn new(terms: &DiscoverySettings) -> Self {
        let siblings = terms.siblings.clamp(1, 100_000) as u32;
        let DiscoverySettings {
            pushed,
            drain_grace,
            seed,
            ..
        } = *terms;
        // Not the module's own numbers.
        let dice = RandomFractions::new(!seed);
        let mut pace = PollSchedule {
            pushed,
            siblings,
            drain_grace,
            dice,
            rest: Duration::ZERO,
            spoilt: false,
        };
        pace.record_success();
        pace
    }

    /// Changes come unasked.
    pub fn is_push(&self) -> bool {
        self.pushed
    }

    fn grown(&self, alone: Duration, each: Duration) -> Duration {
        (alone + each * (self.siblings - 1)).min(BOUND)
    }

    /// Where relays ask: a list that was confirmed no longer ago than this serves a process that starts until its first call is
    /// answered, before what came after that confirmation binds.
    pub(crate) fn confirmation_lifetime(terms: &DiscoverySettings) -> Duration {
        (TOLD_AFTER + terms.drain_grace).saturating_sub(terms.drain_grace / 2 + ANSWER + BEAT)
    }

    /// How long to wait before the first call of a process; calls to hosts wait as long, and for the answer.
    pub fn initial_delay(&mut self) -> Duration {
        if self.pushed {
            return Duration::ZERO;
        }
        (EACH_FIRST * (self.siblings - 1))
            .min(self.drain_grace / 2)
            .mul_f64(self.dice.next_fraction())
    }

    /// How long to wait for an answer to begin.
    pub fn response_timeout(&self) -> Duration {
        if self.pushed {
            return PUSHED_PATIENCE.min(self.drain_grace.mul_f64(PUSHED_PARTS.0));
        }
        self.grown(PATIENCE, EACH_PATIENCE)
    }

    /// How long a list that has begun may take to come whole.
    pub fn transfer_timeout(&self) -> Duration {
        WHOLE.min(self.drain_grace / 2)
    }

    /// Bounds of the rests where changes are pushed.
    fn pushed_rest(&self) -> (Duration, Duration) {
        let most = PUSHED_REST.1.min(self.drain_grace.mul_f64(PUSHED_PARTS.1));
        (PUSHED_REST.0.min(most), most)
    }

    /// Discovery has told something: the next end is the first.
    pub fn record_success(&mut self) {
        self.rest = if self.pushed {
            self.pushed_rest().0
        } else {
            self.grown(REST.0, EACH_FIRST).min(self.within())
        };
        self.spoilt = false;
    }

    /// The longest first rest after a watch fell silent that leaves time for an answer before its news bind.
    fn within(&self) -> Duration {
        (TOLD_AFTER + self.drain_grace)
            .saturating_sub(SILENCE + ANSWER)
            .mul_f64(2.0 / 3.0)
    }

    /// What discovery said could not be read or was older, and counts as told: how long to rest before asking for the whole
    /// list. Nothing the first time; a flood of such answers must not become one of calls.
    pub fn next_delay_after_bad_list(&mut self) -> Duration {
        match std::mem::replace(&mut self.spoilt, true) {
            false => Duration::ZERO,
            true => self.next_delay(),
        }
    }

    /// How long to rest before the next call; longer each time that nothing was heard between. A relay alone rests
    /// for the whole of it, one of many for half to three halves, by chance.
    pub fn next_delay(&mut self) -> Duration {
        let rest = self.rest;
        let most = if self.pushed {
            self.pushed_rest().1
        } else {
            self.grown(REST.1, EACH_MOST).min(self.within())
        };
        self.rest = (rest * 2).min(most);
        if self.siblings < 2 {
            return rest;
        }
        rest.mul_f64(0.5 + self.dice.next_fraction()).min(BOUND)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GRACE: Duration = Duration::from_secs(2);

    fn asked(siblings: usize, seed: u64) -> PollSchedule {
        PollSchedule::new(&DiscoverySettings {
            pushed: false,
            siblings,
            drain_grace: GRACE,
            seed,
        })
    }

    fn is_push(siblings: usize, seed: u64) -> PollSchedule {
        PollSchedule::new(&DiscoverySettings {
            pushed: true,
            siblings,
            drain_grace: GRACE,
            seed,
        })
    }

    #[test]
    fn a_relay_alone_asks_at_once_and_soon_again() {
        let mut pace = asked(1, 7);
        assert_eq!(
            (pace.initial_delay(), pace.response_timeout()),
            (Duration::ZERO, PATIENCE)
        );
        let rests: Vec<_> = (0..8).map(|_| pace.next_delay().as_millis()).collect();
        assert_eq!(rests, [50, 100, 200, 400, 800, 1000, 1000, 1000]);
        pace.record_success();
        assert_eq!(pace.next_delay(), REST.0);
    }

    /// A hundred relays against a discovery that takes one call from each in eight seconds, and turns away what
    /// would wait more than two: all are heard, though all of them start and lose their watch at one instant.
    #[test]
    fn a_hundred_relays_are_all_heard_by_a_discovery_that_answers_them_one_by_one() {
        for started in [true, false] {
            let mut relays: Vec<_> = (0..100).map(|seed| asked(100, seed * 7919)).collect();
            let mut due: Vec<(Duration, usize)> = Vec::new();
            for (number, pace) in relays.iter_mut().enumerate() {
                due.push((
                    if started {
                        pace.initial_delay()
                    } else {
                        pace.next_delay()
                    },
                    number,
                ));
            }
            let (mut free, mut calls, mut last) = (Duration::ZERO, 0, Duration::ZERO);
            let work = Duration::from_millis(80);
            while let Some(next) = due.iter().min().copied() {
                due.retain(|other| *other != next);
                let (now, number) = next;
                calls += 1;
                let done = free.max(now) + work;
                let pace = &mut relays[number];
                let wait = done - now;
                if wait > Duration::from_secs(4) {
                    due.push((now + pace.next_delay(), number));
                    continue;
                }
                // Whoever has given up is answered all the same.
                free = done;
                if wait > pace.response_timeout() {
                    due.push((now + pace.response_timeout() + pace.next_delay(), number));
                } else {
                    last = last.max(done);
                }
                assert!(calls < 1000, "they keep it busy for nothing");
            }
            assert!(
                last < Duration::from_secs(20),
                "the last one is heard after {last:?}"
            );
            assert!(calls <= 300, "{calls} calls for lists");
        }
    }

    /// From the last word before a watch fell silent, or broke, to the answer on the next one.
    #[test]
    fn a_watch_that_falls_silent_is_opened_anew_before_its_news_bind() {
        for siblings in [1, 2, 100, 300, 1024, 100_000] {
            for seed in 0..200 {
                let rest = asked(siblings, seed).next_delay();
                assert!(
                    SILENCE + rest + ANSWER <= TOLD_AFTER + GRACE,
                    "{siblings} relays: {rest:?}"
                );
            }
        }
    }

    /// An agent that comes back is heard, whenever that is, before what it has been sent binds.
    #[test]
    fn an_agent_beside_the_relay_is_asked_at_once_and_never_left_alone_for_long() {
        for siblings in [1, 2, 300, 1024] {
            for seed in 0..200 {
                let mut pace = is_push(siblings, seed);
                assert_eq!(pace.initial_delay(), Duration::ZERO);
                for _ in 0..50 {
                    let gap = pace.response_timeout() + pace.next_delay();
                    assert!(
                        gap + Duration::from_millis(500) <= GRACE,
                        "{siblings} relays: {gap:?}"
                    );
                }
            }
        }
    }

    /// The same whatever the settings leave a drain, a list that comes in pieces among it.
    #[test]
    fn what_a_drain_leaves_bounds_all_waits_for_an_agent() {
        for millis in [200, 500, 1000, 1500, 2000, 3000, 10_000] {
            let drain_grace = Duration::from_millis(millis);
            for seed in 0..200 {
                let mut pace = PollSchedule::new(&DiscoverySettings {
                    pushed: true,
                    siblings: 300,
                    drain_grace,
                    seed,
                });
                assert!(pace.transfer_timeout() <= drain_grace / 2);
                for _ in 0..50 {
                    let gap = pace.response_timeout() + pace.next_delay();
                    assert!(gap + drain_grace / 4 <= drain_grace, "{millis} ms: {gap:?}");
                }
            }
        }
    }

    #[test]
    fn what_cannot_be_read_is_asked_for_again_at_once_but_not_for_ever() {
        for mut pace in [asked(300, 3), is_push(300, 3)] {
            assert_eq!(pace.next_delay_after_bad_list(), Duration::ZERO);
            let rests: Vec<_> = (0..20).map(|_| pace.next_delay_after_bad_list()).collect();
            assert!(
                rests.iter().all(|rest| *rest >= Duration::from_millis(25)),
                "{rests:?}"
            );
            assert!(
                rests.iter().sum::<Duration>() > Duration::from_secs(2),
                "{rests:?}"
            );
            pace.record_success();
            assert_eq!(pace.next_delay_after_bad_list(), Duration::ZERO);
        }
    }

    #[test]
    fn no_number_of_relays_makes_a_wait_longer_than_its_bound() {
        for siblings in [0, 1, 2, 1000, usize::MAX] {
            for mut pace in [asked(siblings, 3), is_push(siblings, 3)] {
                assert!(pace.initial_delay() <= GRACE / 2 && pace.response_timeout() <= BOUND);
                assert!((0..50).all(|_| pace.next_delay() <= BOUND));
            }
        }
    }
}
