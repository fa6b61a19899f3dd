//! Tests of the experiment on fleet sizes.

use super::run;
use crate::error::Error;

#[test]
fn table_has_a_row_for_each_size_and_the_chart_is_written() {
    let folder = tempfile::tempdir().expect("a folder");
    let chart = folder.path().join("sizes.svg");
    let text = run(&[1, 3], 1, 1, Some(&chart)).expect("played");
    assert_eq!(
        text.lines().filter(|line| line.contains("0.")).count(),
        2,
        "{text}"
    );
    let drawn = std::fs::read_to_string(&chart).expect("written");
    assert!(drawn.contains("<svg") && drawn.contains("delivered in aim"));
}

#[test]
fn fleet_size_of_zero_is_rejected() {
    let error = run(&[0], 1, 1, None).expect_err("no relay");
    assert!(matches!(error, Error::RelaysOutOfRange(0)));
    assert_eq!(
        error.to_string(),
        "the number of relays must be from 1 to 200, but is 0"
    );
}
