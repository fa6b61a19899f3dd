//! Whether a message may be sent again, case by case: `tests/golden/resend-policy.txt` has the cases in plain terms, and
//! what is here only maps its words to the crate's items. No test writes that file; its head says how to read it.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use undeliverable::record::{Attestation, Attester, ExecutionClaim, Origin};
use undeliverable::resend_policy::check_resend;
use undeliverable::{
    Attempt, Idempotency, Outcome, Reason, Record, RecordState, ResendBlocked, ResendPermit,
    ResendPolicy, Resolution,
};

/// The last column's words, each of which some case has.
const ALL_OUTCOMES: [&str; 7] = [
    "may-go",
    "may-go-with-key",
    "needs-word",
    "needs-agreement",
    "needs-second-operator",
    "applied",
    "resends-spent",
];

fn text() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/resend-policy.txt");
    fs::read_to_string(path).expect("a golden file")
}

/// Seconds, with up to six digits after the point, in microseconds; `max` is the end of time.
fn moment(word: &str) -> u64 {
    if word == "max" {
        return u64::MAX;
    }
    let (whole, part) = word.split_once('.').unwrap_or((word, ""));
    format!("{whole}{part:0<6}").parse().expect("a moment")
}

fn number(word: &str) -> u32 {
    word.parse().expect("a number")
}

fn effect(words: &str) -> Idempotency {
    match words.split_once(' ').unwrap_or((words, "")) {
        ("safe", "") => Idempotency::Idempotent,
        ("keyed", window) => Idempotency::Keyed {
            window: moment(window),
        },
        ("unsafe", "") => Idempotency::NonIdempotent,
        _ => panic!("{words} is no effect"),
    }
}

fn state(words: &str) -> RecordState {
    match words.split(' ').collect::<Vec<_>>()[..] {
        ["open"] => RecordState::Open,
        ["claimed", by, until] => RecordState::Claimed {
            by: by.into(),
            until: moment(until),
        },
        ["sending", by, since] => RecordState::Sending {
            by: by.into(),
            since: moment(since),
        },
        ["delivered", at] => RecordState::Closed(Resolution::Delivered, moment(at)),
        ["applied-before", at] => RecordState::Closed(Resolution::AppliedBefore, moment(at)),
        ["discarded", at] => RecordState::Closed(Resolution::Discarded, moment(at)),
        _ => panic!("{words} is no state"),
    }
}

fn attempt(words: &str) -> Attempt {
    let (sent, whether) = words.split_once(' ').expect("an attempt");
    let may_have_run = match whether {
        "may-have-run" => true,
        "did-not-run" => false,
        _ => panic!("{words} is no attempt"),
    };
    Attempt {
        sent: moment(sent),
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

fn statement(words: &str, resends: u32) -> Attestation {
    let words: Vec<&str> = words.split(' ').collect();
    Attestation {
        attester: match words[0] {
            "partner" => Attester::Partner,
            name => Attester::Operator(name.into()),
        },
        claim: match words[1] {
            "applied" => ExecutionClaim::Applied,
            "not-applied" => ExecutionClaim::NotApplied,
            "unknown" => ExecutionClaim::Unknown,
            other => panic!("{other} is no statement"),
        },
        at: moment(words[2]),
        resends: words.get(3).map_or(resends, |word| {
            number(word.strip_prefix("resend-").expect("a resend"))
        }),
    }
}

fn list<T>(words: &str, one: impl FnMut(&str) -> T) -> Vec<T> {
    match words {
        "none" => Vec::new(),
        words => words.split(", ").map(one).collect(),
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
        idempotency: effect(columns[0]),
        size: 10,
        given_up_at: 5_000_000,
        reason: Reason::OutOfTime,
        attempts: list(columns[1], attempt),
        attestations: list(columns[3], |words| statement(words, resends)),
        state: state(columns[4]),
        version: 1,
        resends,
    }
}

fn outcome(record: &Record, terms: &ResendPolicy) -> String {
    match check_resend(record, terms) {
        Ok(ResendPermit::AsNew) => "may-go".into(),
        Ok(ResendPermit::Keyed { first }) => {
            let (seconds, micros) = (first / 1_000_000, first % 1_000_000);
            assert_eq!(micros, 0, "whole seconds in the file");
            format!("may-go-with-key {seconds}")
        }
        Err(need) => need.as_str().into(),
    }
}

/// `terms: margin 1 settle 2 ...`, up to the next such line.
fn terms(words: &str, now: u64) -> ResendPolicy {
    let words: Vec<&str> = words.split(' ').collect();
    let value = |name: &str| {
        let at = words.iter().position(|word| *word == name);
        words[at.expect("all terms") + 1]
    };
    ResendPolicy {
        now,
        key_expiry_margin: moment(value("margin")),
        settle_time: moment(value("settle")),
        attestation_validity: moment(value("fresh")),
        max_resends: number(value("most-resends")),
    }
}

#[test]
fn every_case_comes_out_as_before() {
    let text = text();
    let (mut in_force, mut differ, mut cases) = ("", Vec::new(), BTreeSet::new());
    let mut seen = BTreeSet::new();
    for line in text.lines() {
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        if let Some(words) = line.strip_prefix("terms: ") {
            in_force = words;
            continue;
        }
        let (case, expected) = line.split_once(" -> ").expect("a case and its outcome");
        let columns: Vec<&str> = case.split(" | ").collect();
        assert_eq!(columns.len(), 6, "{line}");
        assert!(cases.insert((in_force, case)), "twice: {line}");
        let now = outcome(&record(&columns), &terms(in_force, moment(columns[5])));
        seen.insert(now.split(' ').next().unwrap_or("").to_string());
        if now != expected {
            differ.push(format!("{line}\nnow: {now}\n"));
        }
    }
    let count = cases.len();
    assert!(
        differ.is_empty(),
        "{} of {count} differ:\n{}",
        differ.len(),
        differ.concat()
    );
    assert_eq!(
        seen,
        ALL_OUTCOMES.map(String::from).into(),
        "each outcome has a case"
    );
}

#[test]
fn every_need_has_its_word_and_text_as_before() {
    let golden = "\
needs-word: it may have taken effect; the partner's word or two operators' is needed
needs-agreement: what was said of it is contradictory; two operators have to agree
needs-second-operator: another operator's word is needed beside the first
applied: it has taken effect
resends-spent: it was sent again as often as may be
";
    let needs = [
        ResendBlocked::NeedsAttestation,
        ResendBlocked::NeedsAgreement,
        ResendBlocked::NeedsSecondOperator,
        ResendBlocked::Applied,
        ResendBlocked::ResendsExhausted,
    ];
    let now = needs.map(|need| format!("{}: {need}\n", need.as_str()));
    assert_eq!(now.concat(), golden);
}
