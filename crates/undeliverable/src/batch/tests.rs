//! Tests of batches.

use super::*;

fn spec() -> BatchSpec {
    BatchSpec {
        name: "b1".into(),
        filter: Filter::default(),
        per_second: 2.0,
        at_once: 3,
        stop_after: 2,
    }
}

fn running() -> Batch {
    let mut batch = Batch::plan(spec(), "ann", 0, 100, BatchCounts::default()).expect("in bounds");
    batch
        .apply_command(BatchCommand::Run, Some(1), 0)
        .expect("starts a planned batch");
    batch
}

#[test]
fn batch_respects_its_rate_and_its_limit_of_concurrent_resends() {
    let (mut batch, mut now, mut sent) = (running(), 0, Vec::new());
    while now < 10_000_000 {
        if batch.check_pace(now).is_ok() {
            batch.record_sent(sent.len() as u64 + 1);
            sent.push(now);
        }
        if now % 2_000_000 == 0 {
            while batch.in_flight > 0 {
                batch.record_outcome(true);
            }
        }
        now += 10_000;
    }
    assert!(
        sent.windows(2).all(|two| two[1] - two[0] >= 490_000),
        "{sent:?}"
    );
    assert!(
        (14..=17).contains(&sent.len()),
        "at most three in flight, all of which end every two seconds: {}",
        sent.len()
    );
}

#[test]
fn batch_stops_on_repeated_failures_and_resumes_by_command() {
    let mut batch = running();
    for (delivered, stops) in [
        (false, false),
        (true, false),
        (true, false),
        (true, false),
        (false, false),
        (false, true),
    ] {
        batch.record_sent(1);
        assert_eq!(batch.record_outcome(delivered), stops);
    }
    assert_eq!(
        (batch.state.clone(), batch.check_pace(99_000_000)),
        (BatchState::Stopped, Err(Micros::MAX))
    );
    batch
        .apply_command(BatchCommand::Run, None, 99_000_000)
        .expect("resumes a stopped batch");
    assert!(batch.check_pace(99_000_000).is_ok());
    assert!(
        !batch.record_outcome(false),
        "failures before the command do not count"
    );
}

#[test]
fn commands_check_the_version_and_ended_batch_does_not_resume() {
    let mut batch = running();
    assert_eq!(
        batch.apply_command(BatchCommand::Pause, Some(1), 0),
        Err(BatchError::Version(2))
    );
    batch
        .apply_command(BatchCommand::Run, Some(2), 0)
        .expect("accepts a command that changes nothing");
    assert_eq!(batch.version, 2);
    batch
        .apply_command(BatchCommand::Pause, Some(2), 0)
        .expect("pauses a running batch");
    assert_eq!(batch.check_pace(5_000_000), Err(Micros::MAX));
    batch
        .apply_command(BatchCommand::Cancel, Some(3), 0)
        .expect("cancels a paused batch");
    assert_eq!(
        batch.apply_command(BatchCommand::Run, None, 0),
        Err(BatchError::Ended("cancelled"))
    );
}

#[test]
fn batch_is_done_once_all_records_are_examined_and_none_is_in_flight() {
    let mut batch = running();
    batch.record_sent(7);
    batch.mark_exhausted();
    assert_eq!(batch.state, BatchState::Running);
    batch.record_outcome(true);
    batch.mark_exhausted();
    assert_eq!(
        (batch.state.clone(), batch.last_examined),
        (BatchState::Done, 100)
    );
}

#[test]
fn backward_clock_step_neither_refills_nor_blocks_the_rate() {
    let mut batch = running();
    batch
        .check_pace(50_000_000)
        .expect("the first token is available");
    batch.record_sent(1);
    assert!(batch.check_pace(10_000_000).is_err());
    assert!(batch.check_pace(10_600_000).is_ok());
}

#[test]
fn specification_out_of_bounds_is_rejected() {
    let rejected = [
        BatchSpec {
            name: String::new(),
            ..spec()
        },
        BatchSpec {
            name: "a b".into(),
            ..spec()
        },
        BatchSpec {
            per_second: f64::NAN,
            ..spec()
        },
        BatchSpec {
            per_second: 0.0,
            ..spec()
        },
        BatchSpec {
            at_once: 0,
            ..spec()
        },
        BatchSpec {
            stop_after: 0,
            ..spec()
        },
    ];
    for spec in rejected {
        assert!(
            Batch::plan(spec.clone(), "ann", 0, 1, BatchCounts::default()).is_err(),
            "{spec:?}"
        );
    }
}
