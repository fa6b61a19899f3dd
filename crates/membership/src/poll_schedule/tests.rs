use super::*;

const DRAIN_GRACE: Duration = Duration::from_secs(2);

fn schedule_with_grace(
    mode: DiscoveryMode,
    replicas: usize,
    drain_grace: Duration,
    seed: u64,
) -> PollSchedule {
    PollSchedule::new(&DiscoverySettings {
        mode,
        replicas,
        drain_grace,
        seed,
    })
}

fn poll_schedule(replicas: usize, seed: u64) -> PollSchedule {
    schedule_with_grace(DiscoveryMode::Poll, replicas, DRAIN_GRACE, seed)
}

fn push_schedule(replicas: usize, seed: u64) -> PollSchedule {
    schedule_with_grace(DiscoveryMode::Push, replicas, DRAIN_GRACE, seed)
}

#[test]
fn single_relay_polls_at_once_and_backs_off_exponentially() {
    let mut schedule = poll_schedule(1, 7);
    assert_eq!(
        (schedule.initial_delay(), schedule.response_timeout()),
        (Duration::ZERO, POLL_RESPONSE_TIMEOUT)
    );
    let delays: Vec<_> = (0..8).map(|_| schedule.next_delay().as_millis()).collect();
    assert_eq!(delays, [50, 100, 200, 400, 800, 1000, 1000, 1000]);
    schedule.record_success();
    assert_eq!(schedule.next_delay(), POLL_BACKOFF_MIN);
}

/// Load that a hundred replicas put on a discovery service that answers one poll after the other.
struct PollLoad {
    polls: usize,
    last_response_at: Duration,
}

/// Simulates replicas that all send their first poll, or lose their watch, at the same instant.
///
/// Discovery spends 80 ms on each poll, and rejects one that would wait longer than 4 s.
fn simulate_poll_load(first_delay: fn(&mut PollSchedule) -> Duration) -> PollLoad {
    const WORK_PER_POLL: Duration = Duration::from_millis(80);
    const LONGEST_QUEUE: Duration = Duration::from_secs(4);
    let mut replicas: Vec<_> = (0..100)
        .map(|seed| poll_schedule(100, seed * 7919))
        .collect();
    let mut due: Vec<(Duration, usize)> = Vec::new();
    for (number, schedule) in replicas.iter_mut().enumerate() {
        due.push((first_delay(schedule), number));
    }
    let mut load = PollLoad {
        polls: 0,
        last_response_at: Duration::ZERO,
    };
    let mut idle_at = Duration::ZERO;
    while let Some(next) = due.iter().min().copied() {
        due.retain(|other| *other != next);
        let (now, number) = next;
        load.polls += 1;
        let response_at = idle_at.max(now) + WORK_PER_POLL;
        let schedule = &mut replicas[number];
        let wait = response_at - now;
        if wait > LONGEST_QUEUE {
            due.push((now + schedule.next_delay(), number));
            continue;
        }
        // Discovery answers a poll even if its replica has timed out.
        idle_at = response_at;
        if wait > schedule.response_timeout() {
            let gave_up_at = now + schedule.response_timeout();
            due.push((gave_up_at + schedule.next_delay(), number));
        } else {
            load.last_response_at = load.last_response_at.max(response_at);
        }
        assert!(
            load.polls < 1000,
            "discovery is busy with polls that time out"
        );
    }
    load
}

#[test]
fn sequential_discovery_answers_a_hundred_replicas_that_poll_together() {
    let first_delays: [fn(&mut PollSchedule) -> Duration; 2] =
        [PollSchedule::initial_delay, PollSchedule::next_delay];
    for first_delay in first_delays {
        let load = simulate_poll_load(first_delay);
        assert!(
            load.last_response_at < Duration::from_secs(20),
            "the last response came after {:?}",
            load.last_response_at
        );
        assert!(load.polls <= 300, "{} polls", load.polls);
    }
}

/// Covers the time from the last heartbeat before a watch fell silent to the response on the next watch.
#[test]
fn silent_watch_is_replaced_before_missed_events_bind() {
    for replicas in [1, 2, 100, 300, 1024, 100_000] {
        for seed in 0..200 {
            let delay = poll_schedule(replicas, seed).next_delay();
            assert!(
                WATCH_SILENCE_TIMEOUT + delay + RESPONSE_MARGIN
                    <= NOTIFIED_AFTER_SILENCE + DRAIN_GRACE,
                "{replicas} replicas: {delay:?}"
            );
        }
    }
}

#[test]
fn push_agent_is_polled_at_once_and_again_within_the_drain_grace() {
    for replicas in [1, 2, 300, 1024] {
        for seed in 0..200 {
            let mut schedule = push_schedule(replicas, seed);
            assert_eq!(schedule.initial_delay(), Duration::ZERO);
            for _ in 0..50 {
                let gap = schedule.response_timeout() + schedule.next_delay();
                assert!(
                    gap + Duration::from_millis(500) <= DRAIN_GRACE,
                    "{replicas} replicas: {gap:?}"
                );
            }
        }
    }
}

#[test]
fn drain_grace_bounds_all_waits_for_a_push_agent() {
    for millis in [200, 500, 1000, 1500, 2000, 3000, 10_000] {
        let drain_grace = Duration::from_millis(millis);
        for seed in 0..200 {
            let mut schedule = schedule_with_grace(DiscoveryMode::Push, 300, drain_grace, seed);
            assert!(schedule.transfer_timeout() <= drain_grace / 2);
            for _ in 0..50 {
                let gap = schedule.response_timeout() + schedule.next_delay();
                assert!(gap + drain_grace / 4 <= drain_grace, "{millis} ms: {gap:?}");
            }
        }
    }
}

#[test]
fn bad_list_is_requested_again_at_once_and_then_with_backoff() {
    for mut schedule in [poll_schedule(300, 3), push_schedule(300, 3)] {
        assert_eq!(schedule.next_delay_after_bad_list(), Duration::ZERO);
        let delays: Vec<_> = (0..20)
            .map(|_| schedule.next_delay_after_bad_list())
            .collect();
        assert!(
            delays
                .iter()
                .all(|delay| *delay >= Duration::from_millis(25)),
            "{delays:?}"
        );
        assert!(
            delays.iter().sum::<Duration>() > Duration::from_secs(2),
            "{delays:?}"
        );
        schedule.record_success();
        assert_eq!(schedule.next_delay_after_bad_list(), Duration::ZERO);
    }
}

#[test]
fn no_number_of_replicas_exceeds_the_delay_bound() {
    for replicas in [0, 1, 2, 1000, usize::MAX] {
        for mut schedule in [poll_schedule(replicas, 3), push_schedule(replicas, 3)] {
            assert!(schedule.initial_delay() <= DRAIN_GRACE / 2);
            assert!(schedule.response_timeout() <= MAX_DELAY);
            assert!((0..50).all(|_| schedule.next_delay() <= MAX_DELAY));
        }
    }
}
