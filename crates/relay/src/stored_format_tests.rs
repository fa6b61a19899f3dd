//! Golden files of what outlasts a process: this version writes the same bytes as the one that made the files,
//! and reads them. The files in `tests/golden` are never rewritten by a test.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use policy::types::{
    Action, Class, Decay, Effect, Ended, Event, HostEntry, Kind, Listing, Message, Outcome,
    ReportField, Rules, Settings, WeightSource,
};
use policy::Relay;
use relay_events::{CallEnd, HostLine, HostList, Verdict};
use runtime::Real;

use crate::cached_state::Memory;
use crate::journal::{decode, encode, Again, Attempt, Journal, Taken};
use crate::state_directory::State;

const DISK_LIMIT: u64 = 3_000_000;

fn golden(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// An empty directory of the test's own.
fn directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("stored-format-{name}-{}", std::process::id()));
    drop(fs::remove_dir_all(&path));
    fs::create_dir_all(&path).expect("a directory");
    path
}

fn class(effect: Effect) -> Class {
    Class {
        aim: 200_000,
        aim_stretch: 0.5,
        give_up: 60_000_000,
        effect,
        worth: 5.0,
        late_worth: 0.25,
        in_order: true,
    }
}

fn taken(name: &str, class: &str) -> Taken {
    Taken {
        name: name.into(),
        key: Some(format!("k-{name}")),
        order: Some(7),
        class: class.into(),
        tenant: "acme/2".into(),
        destination: 7,
        due: 1_796_168_056_871_000,
        again: name == "m2",
        body: Bytes::from_static(b"\r\n\x00body"),
    }
}

fn attempt(number: u8, may_have_run: bool) -> Attempt {
    Attempt {
        sent: 1_796_168_000_000_000 + u64::from(number),
        zone: number,
        may_have_run,
    }
}

/// Every kind of record.
fn write_journal(directory: &Path) {
    use undeliverable::Outcome as Kept;
    let mut journal = Journal::open(Real, directory, DISK_LIMIT).expect("opens");
    let classes = [
        (
            "event".to_string(),
            class(Effect::Keyed {
                window: 6_000_000,
                zone_only: true,
            }),
        ),
        ("payout".to_string(), class(Effect::Unsafe)),
        ("update".to_string(), class(Effect::Safe)),
    ];
    journal
        .declare(classes.iter().map(|(name, class)| (name, class)))
        .expect("written");
    for number in 1..=6 {
        assert_eq!(journal.number(), number);
    }
    journal.taken(1, taken("m1", "event")).expect("written");
    journal.out(1, 0, attempt(0, true)).expect("written");
    journal
        .told(1, 0, "s-0001", Kept::Refused)
        .expect("written");
    journal.outcome(1, 0, false).expect("written");
    journal.out(1, 1, attempt(1, true)).expect("written");
    journal.taken(2, taken("m2", "payout")).expect("written");
    journal.out(2, 0, attempt(0, true)).expect("written");
    journal.not_begun(2, 0).expect("written");
    journal.verdict(2, Verdict::Deferred(500)).expect("written");
    journal.taken(3, taken("m3", "update")).expect("written");
    journal.over(3).expect("written");
    journal.taken(4, taken("m4", "payout")).expect("written");
    journal.out(4, 0, attempt(2, true)).expect("written");
    journal.verdict(4, Verdict::Undeliverable).expect("written");
    let again = Again {
        record: 12,
        number: 3,
        past: Some(attempt(9, true)),
    };
    journal
        .taken_again(5, taken("m5", "event"), again)
        .expect("written");
    journal.out(5, 1, attempt(3, true)).expect("written");
    let again = Again {
        record: 13,
        number: 1,
        past: None,
    };
    journal
        .taken_again(6, taken("m6", "update"), again)
        .expect("written");
}

#[test]
fn journal_is_written_as_before() {
    let directory = directory("journal-written");
    write_journal(&directory);
    assert_eq!(
        fs::read(directory.join("journal")).expect("written"),
        golden("journal")
    );
    fs::remove_dir_all(directory).expect("removed");
}

#[test]
fn journal_with_a_torn_tail_is_read_as_before() {
    let directory = directory("journal-read");
    let mut bytes = golden("journal");
    let length = bytes.len();
    bytes.extend(&golden("journal")[..21]);
    fs::write(directory.join("journal"), bytes).expect("written");
    let journal = Journal::open(Real, &directory, DISK_LIMIT).expect("opens");
    assert_eq!(journal.length().0, length, "the torn tail is cut off");
    let text = format!("{:#?}\n", summary(&journal));
    assert_eq!(
        text,
        String::from_utf8(golden("journal.txt")).expect("text")
    );
    fs::remove_dir_all(directory).expect("removed");
}

/// What a journal holds, in words that no renaming of types or fields touches.
fn summary(journal: &Journal<Real>) -> Vec<String> {
    let attempt = |one: &Attempt| format!("{}/{}/{}", one.sent, one.zone, one.may_have_run);
    let mut lines = Vec::new();
    for (id, owed) in journal.all() {
        let Taken {
            name,
            key,
            order,
            class,
            tenant,
            destination,
            due,
            again,
            body,
        } = &owed.taken;
        lines.push(format!(
            "{id} {name} {key:?} {order:?} {class} {tenant} {destination} {due} {again} {body:?}"
        ));
        lines.extend(
            owed.attempts
                .iter()
                .map(|one| format!("{id} attempt {}", attempt(one))),
        );
        for (number, (host, outcome)) in &owed.told {
            let outcome = serde_json::to_string(outcome).expect("a word");
            lines.push(format!("{id} outcome {number} {host} {outcome}"));
        }
        lines.extend(owed.verdict.map(|verdict| match verdict {
            Verdict::Undeliverable => format!("{id} end undeliverable"),
            Verdict::Deferred(after) => format!("{id} end deferred {after}"),
        }));
        if let Some(Again {
            record,
            number,
            past,
        }) = &owed.again
        {
            lines.push(format!(
                "{id} resend {record} {number} {:?}",
                past.as_ref().map(attempt)
            ));
        }
        if let Some(terms) = &owed.terms {
            let Class {
                aim,
                aim_stretch,
                give_up,
                effect,
                worth,
                late_worth,
                in_order,
            } = &*terms.class;
            let effect = match effect {
                Effect::Safe => "safe".to_string(),
                Effect::Unsafe => "unsafe".to_string(),
                Effect::Keyed { window, zone_only } => format!("keyed {window} {zone_only}"),
            };
            lines.push(format!(
                "{id} class {aim} {aim_stretch} {give_up} {effect} {worth} {late_worth} {in_order}"
            ));
        }
    }
    lines
}

fn memory() -> Memory {
    let line = |at: u16| HostLine {
        host: format!("s-{at:04x}"),
        dial: SocketAddr::from(([127, 12, 0, at as u8], 40_000)),
        site: format!("leith-dc-{}", at % 2),
        class: ["major-partner", "partner"][usize::from(at % 2)].into(),
        block: at / 3,
        health: if at == 4 {
            Listing::Draining
        } else {
            Listing::Ready
        },
        share: 1234.5,
    };
    let list = HostList {
        seq: 7,
        whole: true,
        hosts: (0..6).map(line).collect(),
    };
    Memory {
        list,
        outages: vec![
            (1, 1_796_168_056_871_000, Some(1_796_168_056_991_000)),
            (2, 17, None),
        ],
    }
}

#[test]
fn memory_is_written_and_read_as_before() {
    let directory = directory("memory");
    memory()
        .save(&Real, &directory, DISK_LIMIT)
        .expect("written");
    assert_eq!(
        fs::read(directory.join("memory")).expect("written"),
        golden("memory")
    );
    fs::write(directory.join("memory"), golden("memory")).expect("written");
    assert_eq!(Memory::load(&Real, &directory), memory());
    fs::write(directory.join("memory"), golden("memory-without-checksum")).expect("written");
    assert_eq!(
        Memory::load(&Real, &directory),
        memory(),
        "of a version that kept no checksum"
    );
    fs::remove_dir_all(directory).expect("removed");
}

fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Safe), class(Effect::Unsafe)],
        kinds: vec![
            Kind {
                apart: true,
                per_call: 1,
            },
            Kind {
                apart: false,
                per_call: 1,
            },
        ],
        tenants: Vec::new(),
        over_share_worth: 0.1,
        decay: Decay::Linear,
        toll: vec![0.0],
        cross_zone_fee: 0.0,
        slots: 16,
        most_held: 100,
        most_bytes: 0,
        max_attempts: 12,
        max_retry_after: 2_000_000,
        cancelling: true,
        probes: false,
        discovery_by_asking: false,
        siblings: 3,
        zone: 0,
        weights: WeightSource::Nominal,
        report: vec![ReportField::AllowanceLeft, ReportField::LimitPerSecond],
        rules: Rules {
            ask_within: 10_000_000,
            cold_from: 0.2,
            cold: 10_000_000,
            overload_factor: 2.0,
            overload_for: 1_500_000,
            turn_gap: 1_000_000,
        },
        tick: 5000,
    }
}

/// A module with routes in every state: healthy, refused, failing, and with a call out.
fn module() -> Relay {
    let mut relay = Relay::new(settings(), 7);
    let entry = |host: u32| HostEntry {
        host,
        destination: (host / 2) as u16,
        kind: (host % 2) as u8,
        zone: 0,
        listing: Listing::Ready,
        weight: 20.0,
    };
    let mut now = 1_000_000;
    let mut actions = Vec::new();
    let list = Event::Hosts {
        whole: true,
        cached: false,
        entries: (0..8).map(entry).collect(),
    };
    relay.handle(now, [list], &mut actions);
    for id in 1..=40u64 {
        now += 100_000;
        let message = Message {
            id,
            class: (id % 2) as u16,
            destination: (id % 4) as u16,
            due: now + 60_000_000,
            key: Some(id % 5),
            work: None,
            tenant: 0,
            again: false,
            size: 10,
        };
        actions.clear();
        relay.handle(now, [Event::Arrived(message)], &mut actions);
        let ends = actions.iter().filter_map(|action| match action {
            Action::Send { id, host, .. } if id % 10 != 7 => {
                let outcome = match host / 2 {
                    0 => Outcome::Ok,
                    1 => Outcome::Full { wait: 700_000 },
                    2 => Outcome::Error,
                    _ => Outcome::ConnectFailed,
                };
                let report = vec![0.5, 30.0];
                let (id, host) = (*id, *host);
                Some(Event::Ended(Ended {
                    id,
                    attempt: 0,
                    host,
                    outcome,
                    elapsed: 40_000,
                    over: false,
                    report,
                }))
            }
            _ => None,
        });
        let ends: Vec<Event> = ends.collect();
        now += 40_000;
        relay.handle(now, ends, &mut Vec::new());
    }
    relay
}

fn state() -> State {
    let mut state = State::new(true, vec![(7, 0, 3), (17, 2, 1)], module().heritage());
    state.numbers = vec![("s-0001".into(), 1), ("s-0003".into(), 3)];
    state.over = vec!["acme\nm9".into(), "acme\nm8".into()];
    state
}

#[test]
fn hand_over_state_is_written_and_read_as_before() {
    let text = golden("upgrade.state");
    assert_eq!(encode(&state()).expect("encodes"), text);
    let (read, size) = decode::<State>(&text).expect("known").expect("whole");
    assert_eq!(size, text.len());
    assert_eq!(
        (read.drained, &read.out, &read.numbers, &read.over),
        (
            true,
            &vec![(7, 0, 3), (17, 2, 1)],
            &vec![("s-0001".to_string(), 1), ("s-0003".to_string(), 3)],
            &vec!["acme\nm9".to_string(), "acme\nm8".to_string()],
        )
    );
    assert_eq!(
        encode(&read).expect("encodes"),
        text,
        "the module's part, too, is read whole"
    );
}

fn call_ends() -> Vec<CallEnd> {
    let outcomes = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Full { wait: 700_000 },
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Dropped,
        Outcome::Cancelled,
        Outcome::Moot,
        Outcome::NotBegun,
    ];
    let ends = outcomes.into_iter().zip(1u64..);
    let end = |(outcome, id): (Outcome, u64)| CallEnd {
        id,
        attempt: id as u8,
        host: 3,
        outcome,
        over: id == 1,
        report: (id % 2 == 0).then(|| "x0=0.4,x1=25".to_string()),
        elapsed: 40_000 + id,
        fresh: id == 5,
    };
    ends.map(end).collect()
}

#[test]
fn ends_of_calls_in_a_hand_over_are_written_and_read_as_before() {
    let text = golden("upgrade.ends");
    let written: Vec<u8> = call_ends()
        .iter()
        .flat_map(|end| encode(end).expect("encodes"))
        .collect();
    assert_eq!(written, text);
    let mut rest = &text[..];
    let mut read = Vec::new();
    while let Some((end, size)) = decode::<CallEnd>(rest).expect("known") {
        read.push(end);
        rest = &rest[size..];
    }
    assert_eq!(read, call_ends());
    assert!(rest.is_empty());
}
