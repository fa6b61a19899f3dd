//! Tests of the benchmark of the store.

use super::run;

/// The number of records found, according to a row of the table.
fn records_found(text: &str, row: &str) -> Option<usize> {
    let line = text.lines().find(|line| line.contains(row))?;
    let (_, after) = line.split_once(row)?;
    after.split_once(" found)")?.0.parse().ok()
}

#[test]
fn report_has_a_row_for_each_measurement_and_filters_find_their_records() {
    let text = run(2000).expect("measured");
    assert!(
        text.starts_with("2000 records of 200 bytes of body: kept at "),
        "{text}"
    );
    assert!(text.contains("| keep 100 records "), "{text}");
    assert!(text.contains("| change a record "), "{text}");
    // 400 pages of up to 50 records are read with each filter; after the last page, reading restarts at the first one.
    for (row, expected) in [
        ("page by no filter (", 19_550),
        ("page by destination (", 4000),
        ("page by tenant and class (", 2800),
        ("page by reason and may have run (", 16_600),
        ("page by destination and an hour (", 2000),
        ("page by tenant, class, reason: few fit (", 400),
    ] {
        assert_eq!(records_found(&text, row), Some(expected), "{text}");
    }
}
