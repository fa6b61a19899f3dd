use super::*;

fn report(status: u16, headers: &[(&str, &str)]) -> ResponseReport {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    interpret(&builder.body(()).expect("valid response"))
}

fn outcome(status: u16, headers: &[(&str, &str)]) -> AttemptOutcome {
    report(status, headers).outcome
}

#[test]
fn status_determines_outcome_and_finality() {
    for (status, expected, is_final) in [
        (200, AttemptOutcome::Delivered, true),
        (204, AttemptOutcome::Error, false),
        (410, AttemptOutcome::Obsolete, true),
        (500, AttemptOutcome::Error, false),
        (503, AttemptOutcome::Rejected { retry_after: 0 }, false),
        (504, AttemptOutcome::Obsolete, false),
    ] {
        let report = report(status, &[]);
        assert_eq!((report.outcome, report.is_final), (expected, is_final));
    }
}

#[test]
fn status_429_is_a_rejection_only_with_a_valid_wait() {
    let with_wait = |millis| outcome(429, &[(RETRY_AFTER_HEADER, millis)]);
    let rejected = |retry_after| AttemptOutcome::Rejected { retry_after };
    assert_eq!(with_wait(" 250 "), rejected(250_000));
    assert_eq!(with_wait("86400001"), rejected(86_400_000_000));
    assert_eq!(with_wait("-1"), AttemptOutcome::Error);
    assert_eq!(with_wait("soon"), AttemptOutcome::Error);
    assert_eq!(outcome(429, &[]), AttemptOutcome::Error);
}

#[test]
fn unavailable_host_with_full_egress_makes_the_attempt_obsolete() {
    let with_egress = |value| outcome(503, &[(EGRESS_FULL_HEADER, value)]);
    assert_eq!(with_egress(" 1 "), AttemptOutcome::Obsolete);
    assert_eq!(
        with_egress("0"),
        AttemptOutcome::Rejected { retry_after: 0 }
    );
}

#[test]
fn load_report_is_truncated_at_its_limit() {
    let long = "x".repeat(LOAD_REPORT_MAX_CHARS + 1);
    for status in [200, 503] {
        let sent = report(status, &[(LOAD_REPORT_HEADER, "cpu=0.5")]);
        assert_eq!(sent.load_report.as_deref(), Some("cpu=0.5"));
    }
    let truncated = report(200, &[(LOAD_REPORT_HEADER, &long)]);
    assert_eq!(
        truncated.load_report.as_deref(),
        Some(&long[..LOAD_REPORT_MAX_CHARS])
    );
    assert_eq!(report(200, &[]).load_report, None);
}
