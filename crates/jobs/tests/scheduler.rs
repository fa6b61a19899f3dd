//! The choice between jobs, against what it promises.

use std::collections::BTreeMap;

use jobs::job::{Cause, LONGEST_POINT};
use jobs::scheduler::{Budget, Used, MOST_OVER};
use jobs::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

fn spec(name: &str, class: Class) -> Spec {
    Spec {
        name: name.into(),
        owner: Owner::System,
        class,
        not_before: 0,
        deadline: None,
        period: None,
        after: Vec::new(),
        tries: 3,
        repeatable: true,
    }
}

fn wide() -> Settings {
    let budget = |weight| Budget {
        weight,
        time: SECOND,
        bytes: 1 << 40,
        calls: 1 << 40,
    };
    Settings {
        budgets: [budget(8), budget(4), budget(2), budget(1)],
        ..Settings::default()
    }
}

fn took(time: Micros) -> Used {
    Used {
        time,
        ..Used::default()
    }
}

/// Runs slices that use all they are given for a span; what each job got.
fn run(work: &mut Work, mut now: Micros, span: Micros, busy: bool) -> BTreeMap<JobId, Micros> {
    let (until, mut got) = (now + span, BTreeMap::new());
    while now < until {
        match work.next(now, busy) {
            Next::Run(id, slice) => {
                now += slice;
                *got.entry(id).or_default() += slice;
                work.ended(Slice::More(Vec::new()), took(slice), now, 0.5);
            }
            Next::Wait(at) => now = at.clamp(now + 1, until),
        }
    }
    got
}

#[test]
fn classes_share_by_weight_and_owners_by_turns() {
    let mut work = Work::new(wide(), 0);
    let ids: Vec<JobId> = Class::ALL
        .iter()
        .map(|class| work.submit(spec("j", *class)).expect("taken"))
        .collect();
    let other = Spec {
        owner: Owner::Tenant("acme".into()),
        ..spec("t", Class::Idle)
    };
    let other = work.submit(other).expect("taken");
    let got = run(&mut work, 0, 30 * SECOND, false);
    let part = |id: JobId| got[&id] as f64 / got.values().sum::<u64>() as f64;
    for (id, wanted) in ids[..3].iter().zip([8.0 / 15.0, 4.0 / 15.0, 2.0 / 15.0]) {
        assert!((part(*id) - wanted).abs() < 0.02, "{got:?}");
    }
    assert!(
        (part(ids[3]) - part(other)).abs() < 0.005,
        "two owners of one class: {got:?}"
    );
}

#[test]
fn a_budget_binds_and_an_overrun_is_paid_back() {
    let mut set = wide();
    set.budgets[0].time = 100_000;
    let mut work = Work::new(set, 0);
    let first = work.submit(spec("a", Class::Upkeep)).expect("a");
    work.submit(spec("b", Class::Idle)).expect("b");
    let got = run(&mut work, 0, 10 * SECOND, false);
    assert!((1_000_000..=1_150_000).contains(&got[&first]), "{got:?}");
    // A slice that took 50 times what it was given.
    let mut work = Work::new(wide(), 0);
    for name in ["a", "b"] {
        work.submit(spec(name, Class::Upkeep)).expect("taken");
    }
    let Next::Run(_, slice) = work.next(0, false) else {
        panic!("a slice")
    };
    work.ended(Slice::More(Vec::new()), took(slice * 50), slice * 50, 0.5);
    let idle = work.submit(spec("c", Class::Idle)).expect("c");
    let mut next = Vec::new();
    let mut now = slice * 50;
    for _ in 0..20 {
        let Next::Run(id, slice) = work.next(now, false) else {
            panic!("a slice")
        };
        now += slice;
        work.ended(Slice::More(Vec::new()), took(slice), now, 0.5);
        next.push(id);
    }
    assert!(
        next[..3].iter().all(|id| *id == idle),
        "the others wait until it is paid back: {next:?}"
    );
}

#[test]
fn live_calls_come_first_and_nothing_stands_still() {
    let mut work = Work::new(wide(), 0);
    for class in Class::ALL {
        work.submit(spec("j", class)).expect("taken");
    }
    let got = run(&mut work, 0, 60 * SECOND, true);
    assert_eq!(got.len(), 4, "{got:?}");
    let all: Micros = got.values().sum();
    assert!(all <= 60 * 500, "one least slice a second: {all}");
}

#[test]
fn the_earliest_deadline_goes_first_and_what_comes_after_waits() {
    let mut work = Work::new(wide(), 0);
    let late = work
        .submit(Spec {
            deadline: Some(900),
            ..spec("late", Class::Bulk)
        })
        .expect("taken");
    let soon = work
        .submit(Spec {
            deadline: Some(300),
            ..spec("soon", Class::Bulk)
        })
        .expect("taken");
    let last = work
        .submit(Spec {
            after: vec![late],
            ..spec("last", Class::Upkeep)
        })
        .expect("taken");
    for wanted in [soon, late, last] {
        let Next::Run(id, _) = work.next(10, false) else {
            panic!("a slice")
        };
        assert_eq!(id, wanted);
        work.ended(Slice::Done, took(10), 20, 0.5);
    }
    assert_eq!(work.next(30, false), Next::Wait(Micros::MAX));
    let gone = work.submit(spec("gone", Class::Bulk)).expect("taken");
    let lost = work
        .submit(Spec {
            after: vec![gone],
            ..spec("lost", Class::Bulk)
        })
        .expect("taken");
    work.order(gone, Order::Cancel, Some(1), 40).expect("waits");
    work.next(50, false);
    assert_eq!(
        work.find(lost).map(|job| &job.state),
        Some(&State::Failed(Cause::Dependency))
    );
}

#[test]
fn failures_wait_longer_each_time_and_end_with_the_last_try() {
    let mut work = Work::new(wide(), 0);
    let id = work.submit(spec("fails", Class::Prompt)).expect("taken");
    let mut waits = Vec::new();
    let mut now = 0;
    while let Next::Run(..) = work.next(now, false) {
        work.ended(Slice::Failed, took(1), now, 1.0);
        if let Some(State::Waiting(at)) = work.find(id).map(|job| &job.state) {
            waits.push(at - now);
            now = *at;
        }
    }
    assert_eq!(waits, [SECOND, 2 * SECOND]);
    assert_eq!(
        work.find(id).map(|job| &job.state),
        Some(&State::Failed(Cause::Tries))
    );
    // A point that is too long can't be kept.
    let long = work
        .submit(Spec {
            tries: 1,
            ..spec("long", Class::Prompt)
        })
        .expect("taken");
    assert!(matches!(work.next(now, false), Next::Run(..)));
    work.ended(Slice::More(vec![0; LONGEST_POINT + 1]), took(1), now, 0.0);
    assert_eq!(
        work.find(long).map(|job| &job.state),
        Some(&State::Failed(Cause::Tries))
    );
}

#[test]
fn a_restart_goes_on_at_the_kept_point_or_tells_that_a_slice_may_have_run() {
    let mut work = Work::new(wide(), 0);
    let again = work.submit(spec("again", Class::Bulk)).expect("taken");
    assert!(matches!(work.next(0, false), Next::Run(..)));
    work.ended(Slice::More(b"half".to_vec()), took(5), 5, 0.5);
    assert!(matches!(work.next(5, false), Next::Run(..)));
    let kept: Vec<(JobId, Job)> = work.jobs().map(|(id, job)| (id, job.clone())).collect();
    let restored = Work::restored(wide(), kept.clone(), 100);
    let job = restored.find(again).expect("kept");
    assert_eq!(
        (job.point.as_slice(), &job.state),
        (&b"half"[..], &State::Waiting(100))
    );
    let unsafe_one = kept.into_iter().map(|(id, mut job)| {
        job.spec.repeatable = false;
        (id, job)
    });
    let restored = Work::restored(wide(), unsafe_one, 100);
    assert_eq!(
        restored.find(again).map(|job| &job.state),
        Some(&State::Failed(Cause::MayHaveRun))
    );
}

#[test]
fn orders_within_a_slice_count_at_its_end_and_versions_tell_changes() {
    let mut work = Work::new(wide(), 0);
    let id = work
        .submit(Spec {
            owner: Owner::Tenant("acme".into()),
            ..spec("j", Class::Bulk)
        })
        .expect("taken");
    assert_eq!(
        work.order(id, Order::Resume, None, 0),
        Err(Refusal::NoChange)
    );
    assert!(matches!(work.next(0, false), Next::Run(..)));
    assert_eq!(
        work.order(id, Order::Pause, Some(1), 0),
        Err(Refusal::Version(2))
    );
    work.order(id, Order::Pause, Some(2), 0).expect("runs");
    work.ended(Slice::More(Vec::new()), took(1), 1, 0.5);
    assert_eq!(work.find(id).map(|job| &job.state), Some(&State::Paused));
    work.order(id, Order::Resume, None, 2).expect("paused");
    assert!(matches!(work.next(2, false), Next::Run(..)));
    work.owner_gone(&Owner::Tenant("acme".into()));
    work.ended(Slice::More(Vec::new()), took(1), 3, 0.5);
    assert_eq!(
        work.find(id).map(|job| &job.state),
        Some(&State::Failed(Cause::OwnerGone))
    );
    assert_eq!(
        work.order(id, Order::Cancel, None, 4),
        Err(Refusal::NoChange)
    );
    assert_eq!(work.order(99, Order::Cancel, None, 4), Err(Refusal::None));
}

#[test]
fn bounds_hold_and_tell_when_to_come_back() {
    let set = Settings {
        most: 20,
        most_of_owner: 5,
        ..wide()
    };
    let mut work = Work::new(set, 0);
    for number in 0..5 {
        work.submit(spec(&format!("s{number}"), Class::Bulk))
            .expect("room");
    }
    assert_eq!(
        work.submit(spec("more", Class::Bulk)),
        Err(Refusal::TooMany(SECOND))
    );
    for number in 0..15 {
        let owner = Owner::Tenant(format!("t{number}"));
        work.submit(Spec {
            owner,
            ..spec("t", Class::Bulk)
        })
        .expect("room");
    }
    let last = Spec {
        owner: Owner::Tenant("last".into()),
        ..spec("t", Class::Bulk)
    };
    assert_eq!(work.submit(last), Err(Refusal::TooMany(SECOND)));
    for bad in [
        spec("", Class::Bulk),
        Spec {
            tries: 0,
            ..spec("x", Class::Bulk)
        },
        spec("a\nb", Class::Bulk),
    ] {
        assert!(matches!(work.submit(bad), Err(Refusal::Malformed(_))));
    }
    // What is over is forgotten past a bound.
    let mut work = Work::new(wide(), 0);
    for _ in 0..MOST_OVER + 50 {
        let id = work.submit(spec("x", Class::Bulk)).expect("room");
        work.order(id, Order::Cancel, None, 0).expect("waits");
    }
    assert_eq!(work.jobs().count(), MOST_OVER);
}

#[test]
fn a_period_makes_up_for_nothing_and_a_clock_set_back_delays_by_one_period() {
    let mut work = Work::new(wide(), 0);
    let id = work
        .submit(Spec {
            period: Some(SECOND),
            ..spec("sweep", Class::Idle)
        })
        .expect("taken");
    assert!(matches!(work.next(0, false), Next::Run(..)));
    work.ended(Slice::Done, took(1), 10 * SECOND, 0.5);
    assert_eq!(
        work.find(id).map(|job| &job.state),
        Some(&State::Waiting(10 * SECOND))
    );
    assert!(matches!(work.next(10 * SECOND, false), Next::Run(..)));
    work.ended(Slice::Done, took(1), 5 * SECOND, 0.5);
    assert_eq!(
        work.find(id).map(|job| &job.state),
        Some(&State::Waiting(6 * SECOND))
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Whatever is submitted, ordered and run: one slice at a time, nothing runs that is over, paused or not due, no
    /// job has two ends, and every job that may run gets a slice in bounded time.
    #[test]
    fn one_end_each_and_no_job_starves(
        steps in prop::collection::vec((0u8..8, 0usize..4, 0u64..40, 0u64..5_000), 1..200),
    ) {
        let mut work = Work::new(wide(), 0);
        let (mut now, mut ends) = (0, BTreeMap::<JobId, State>::new());
        for (what, class, number, span) in steps {
            now += span;
            match what {
                0..=2 => {
                    let owner = Owner::Tenant(format!("t{}", number % 3));
                    drop(work.submit(Spec { owner, not_before: now + span, ..spec("j", Class::ALL[class]) }));
                }
                3 => {
                    let order = [Order::Pause, Order::Resume, Order::Cancel][class % 3];
                    drop(work.order(number, order, None, now));
                }
                _ => if let Next::Run(id, slice) = work.next(now, what == 7) {
                    let job = work.find(id).expect("a job that is there");
                    prop_assert_eq!(&job.state, &State::Running);
                    prop_assert!(job.spec.not_before <= now && slice > 0);
                    prop_assert_eq!(work.next(now, false), Next::Wait(Micros::MAX), "one at a time");
                    now += span;
                    let end = match number % 4 { 0 => Slice::Done, 1 => Slice::Failed, _ => Slice::More(vec![1]) };
                    work.ended(end, took(span), now, 0.3);
                },
            }
            for (id, job) in work.jobs().filter(|(_, job)| job.state.is_over()) {
                let first = ends.entry(id).or_insert_with(|| job.state.clone());
                prop_assert_eq!(&*first, &job.state, "one end");
            }
        }
        // From here on all that may run does, within its turn.
        let waiting: Vec<JobId> = work.jobs()
            .filter(|(_, job)| matches!(job.state, State::Waiting(_))).map(|(id, _)| id).collect();
        let got = run(&mut work, now + 600 * SECOND, 20 * SECOND, false);
        for id in waiting {
            prop_assert!(got.contains_key(&id), "job {} got nothing", id);
        }
    }
}
