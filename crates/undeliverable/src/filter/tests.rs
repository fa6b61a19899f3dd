//! Tests of the filter.

use super::*;
use crate::record::Idempotency;
use crate::test_records::{attempt, record};

#[test]
fn record_matches_if_it_matches_every_condition_that_is_set() {
    let record = record(Idempotency::NonIdempotent, vec![attempt(1, true)]);
    let filter = Filter {
        destination: Some(3),
        class: Some("payout".into()),
        reason: Some(Reason::OutOfTime),
        tenant: Some("acme".into()),
        scope: Some(Scope(vec!["zeta".into(), "ac*".into()])),
        since: Some(5_000_000),
        until: Some(5_000_001),
        may_have_run: Some(true),
        state: Some("open".into()),
    };
    assert!(Filter::default().matches(&record) && filter.matches(&record));
    let mismatches = [
        Filter {
            destination: Some(4),
            ..filter.clone()
        },
        Filter {
            class: Some("event".into()),
            ..filter.clone()
        },
        Filter {
            reason: Some(Reason::GivenUp),
            ..filter.clone()
        },
        Filter {
            tenant: Some("acme/2".into()),
            ..filter.clone()
        },
        Filter {
            scope: Some(Scope(vec!["zeta".into()])),
            ..filter.clone()
        },
        Filter {
            scope: Some(Scope(Vec::new())),
            ..filter.clone()
        },
        Filter {
            since: Some(5_000_001),
            ..filter.clone()
        },
        Filter {
            until: Some(5_000_000),
            ..filter.clone()
        },
        Filter {
            may_have_run: Some(false),
            ..filter.clone()
        },
        Filter {
            state: Some("sending".into()),
            ..filter.clone()
        },
    ];
    assert!(mismatches.iter().all(|filter| !filter.matches(&record)));
}
