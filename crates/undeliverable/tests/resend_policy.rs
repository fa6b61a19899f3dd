//! Golden cases of the resend policy. `tests/golden/resend-policy.txt` lists them in a notation that does not depend on
//! the code and is explained at the top of that file. This test maps the notation to the crate's items. No test writes
//! the file.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use undeliverable::record::{Attestation, Attester, ExecutionClaim, Origin};
use undeliverable::resend_policy::check_resend;
use undeliverable::{
    Attempt, Idempotency, Outcome, Reason, Record, RecordState, ResendBlocked, ResendPermit,
    ResendPolicy, Resolution,
};

/// The outcomes in the last column of the file. Each of them needs at least one case.
const ALL_OUTCOMES: [&str; 8] = [
    "may-go",
    "may-go-with-key",
    "needs-word",
    "word-too-early",
    "needs-agreement",
    "needs-second-operator",
    "applied",
    "resends-spent",
];

fn golden_cases() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/resend-policy.txt");
    fs::read_to_string(path).expect("a golden file")
}

/// Parses a time in seconds with up to six decimals to microseconds; `max` is the largest time.
fn micros(text: &str) -> u64 {
    if text == "max" {
        return u64::MAX;
    }
    let (whole, decimals) = text.split_once('.').unwrap_or((text, ""));
    format!("{whole}{decimals:0<6}").parse().expect("a time")
}

fn number(text: &str) -> u32 {
    text.parse().expect("a number")
}

fn idempotency(text: &str) -> Idempotency {
    match text.split_once(' ').unwrap_or((text, "")) {
        ("safe", "") => Idempotency::Idempotent,
        ("keyed", window) => Idempotency::Keyed {
            window: micros(window),
        },
        ("unsafe", "") => Idempotency::NonIdempotent,
        _ => panic!("{text} is not an idempotency"),
    }
}

fn state(text: &str) -> RecordState {
    match text.split(' ').collect::<Vec<_>>()[..] {
        ["open"] => RecordState::Open,
        ["claimed", by, until] => RecordState::Claimed {
            by: by.into(),
            until: micros(until),
        },
        ["sending", by, since] => RecordState::Sending {
            by: by.into(),
            since: micros(since),
        },
        ["delivered", at] => RecordState::Closed(Resolution::Delivered, micros(at)),
        ["applied-before", at] => RecordState::Closed(Resolution::AppliedBefore, micros(at)),
        ["discarded", at] => RecordState::Closed(Resolution::Discarded, micros(at)),
        _ => panic!("{text} is not a state"),
    }
}

fn attempt(text: &str) -> Attempt {
    let (sent, execution) = text.split_once(' ').expect("an attempt");
    let may_have_run = match execution {
        "may-have-run" => true,
        "did-not-run" => false,
        _ => panic!("{text} is not an attempt"),
    };
    Attempt {
        sent: micros(sent),
        host: "h".into(),
        outcome: if may_have_run {
            Outcome::TimedOut
        } else {
            Outcome::Refused
        },
        may_have_run,
        resend: 0,
    }
}

fn attestation(text: &str, resends: u32) -> Attestation {
    let columns: Vec<&str> = text.split(' ').collect();
    Attestation {
        attester: match columns[0] {
            "partner" => Attester::Partner,
            name => Attester::Operator(name.into()),
        },
        claim: match columns[1] {
            "applied" => ExecutionClaim::Applied,
            "not-applied" => ExecutionClaim::NotApplied,
            "unknown" => ExecutionClaim::Unknown,
            other => panic!("{other} is not a claim"),
        },
        at: micros(columns[2]),
        resends: columns.get(3).map_or(resends, |column| {
            number(column.strip_prefix("resend-").expect("a resend"))
        }),
    }
}

fn list<T>(text: &str, parse: impl FnMut(&str) -> T) -> Vec<T> {
    match text {
        "none" => Vec::new(),
        text => text.split(", ").map(parse).collect(),
    }
}

fn record(columns: &[&str]) -> Record {
    let resends = number(columns[2]);
    Record {
        origin: Origin {
            name: "m1".into(),
            tenant: "acme".into(),
            class: "payout".into(),
            destination: 3,
            idempotency_key: Some("k".into()),
            ordering_key: None,
            deadline: 5_000_000,
        },
        idempotency: idempotency(columns[0]),
        size: 10,
        given_up_at: 5_000_000,
        reason: Reason::OutOfTime,
        attempts: list(columns[1], attempt),
        attestations: list(columns[3], |text| attestation(text, resends)),
        state: state(columns[4]),
        version: 1,
        resends,
        calls_ended_at: None,
    }
}

fn outcome(record: &Record, policy: &ResendPolicy) -> String {
    match check_resend(record, policy) {
        Ok(ResendPermit::AsNew) => "may-go".into(),
        Ok(ResendPermit::Keyed { first }) => {
            let (seconds, micros) = (first / 1_000_000, first % 1_000_000);
            assert_eq!(micros, 0, "the file has whole seconds only");
            format!("may-go-with-key {seconds}")
        }
        Err(blocked) => blocked.as_str().into(),
    }
}

/// Parses the policy of a line `terms: margin 1 settle 2 ...`, which applies to the cases up to the next such line.
fn policy(text: &str, now: u64) -> ResendPolicy {
    let columns: Vec<&str> = text.split(' ').collect();
    let value = |name: &str| {
        let index = columns.iter().position(|column| *column == name);
        columns[index.expect("the line sets every limit") + 1]
    };
    ResendPolicy {
        now,
        key_expiry_margin: micros(value("margin")),
        settle_time: micros(value("settle")),
        earlier_calls_ended_at: Some(0),
        attestation_validity: micros(value("fresh")),
        max_resends: number(value("most-resends")),
    }
}

#[test]
fn every_golden_case_has_its_expected_outcome() {
    let text = golden_cases();
    let (mut current_policy, mut differences, mut cases) = ("", Vec::new(), BTreeSet::new());
    let mut outcomes = BTreeSet::new();
    for line in text.lines() {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        if let Some(text) = line.strip_prefix("terms: ") {
            current_policy = text;
            continue;
        }
        let (case, expected) = line.split_once(" -> ").expect("a case and its outcome");
        let columns: Vec<&str> = case.split(" | ").collect();
        assert_eq!(columns.len(), 6, "{line}");
        assert!(
            cases.insert((current_policy, case)),
            "duplicate case: {line}"
        );
        let actual = outcome(
            &record(&columns),
            &policy(current_policy, micros(columns[5])),
        );
        outcomes.insert(actual.split(' ').next().unwrap_or("").to_string());
        if actual != expected {
            differences.push(format!("{line}\nactual: {actual}\n"));
        }
    }
    let count = cases.len();
    assert!(
        differences.is_empty(),
        "{} of {count} cases differ:\n{}",
        differences.len(),
        differences.concat()
    );
    assert_eq!(
        outcomes,
        ALL_OUTCOMES.map(String::from).into(),
        "each outcome needs a case"
    );
}

#[test]
fn resend_blocked_identifiers_and_texts_are_unchanged() {
    let golden = "\
needs-word: it may have taken effect; the partner's word or two operators' is needed
word-too-early: what was said of it was asked for while a call could still take effect; a later word is needed
needs-agreement: what was said of it is contradictory; two operators have to agree
needs-second-operator: another operator's word is needed beside the first
applied: it has taken effect
resends-spent: it was sent again as often as may be
";
    let all_blocked = [
        ResendBlocked::NeedsAttestation,
        ResendBlocked::AttestationTooEarly { retry_after: None },
        ResendBlocked::NeedsAgreement,
        ResendBlocked::NeedsSecondOperator,
        ResendBlocked::Applied,
        ResendBlocked::ResendsExhausted,
    ];
    let actual = all_blocked.map(|blocked| format!("{}: {blocked}\n", blocked.as_str()));
    assert_eq!(actual.concat(), golden);
}
