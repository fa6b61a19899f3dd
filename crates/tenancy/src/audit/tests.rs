use super::*;

#[test]
fn timestamps_are_in_utc_and_capped_at_year_9999() {
    assert_eq!(rfc3339(0), "1970-01-01T00:00:00.000Z");
    assert_eq!(rfc3339(1_790_000_000_123), "2026-09-21T14:13:20.123Z");
    assert_eq!(rfc3339(u64::MAX), "9999-12-31T23:59:59.999Z");
}
