//! Answers that hosts send a second time neither end a call that was refused nor repeat one that has run.
//!
//! CI plays each row once. Longer: `SURPLUS_ROUNDS=3 SURPLUS_SECONDS=12 cargo test -p relay --test surplus_answers`.

mod support;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use support::repeating_host::{Behavior, CopyTiming, RepeatingHost, TrueCall};
use support::upgrade::{kill, wait_until_ready, SharedListener};
use support::*;

const DESTINATIONS: u16 = 8;
const CLIENTS: usize = 20;
const CLASSES: [&str; 3] = ["event", "update", "payout"];
/// Pause of a client between two messages.
const CLIENT_PAUSE: Duration = Duration::from_millis(80);
const TIME_TO_LIVE: Duration = Duration::from_secs(4);
/// Latest time of a notice after that (PROTOCOL, The rules on sockets: 300 ms, and 50 ms on sockets), on a busy machine.
const NOTICE_SLACK: Duration = Duration::from_millis(2350);
/// A call that the relay has given up may still count as out until the host has read the end of its connection.
const CLOSE_SLACK: Duration = Duration::from_millis(20);
/// Interval of SIGKILLs, and time until the next start.
const KILL_INTERVAL: Duration = Duration::from_secs(3);
const RESTART_AFTER_KILL: Duration = Duration::from_millis(600);

const FIVE_MS_LATE: CopyTiming = CopyTiming::AfterAnswer(Duration::from_millis(5));
const SIXTY_MS_LATE: CopyTiming = CopyTiming::AfterAnswer(Duration::from_millis(60));
const BEHIND_NEXT_REQUEST: CopyTiming = CopyTiming::AfterNextRequest(Duration::from_millis(2));
const ANY: [CopyTiming; 4] = [
    CopyTiming::WithAnswer,
    FIVE_MS_LATE,
    SIXTY_MS_LATE,
    BEHIND_NEXT_REQUEST,
];

/// The time that hosts take to answer, in milliseconds.
#[derive(Clone, Copy)]
enum Hosts {
    Fast,
    Slow,
}

impl Hosts {
    fn answer_times(self) -> Vec<RangeInclusive<u64>> {
        match self {
            Hosts::Fast => vec![1..=4],
            Hosts::Slow => vec![15..=15, 80..=80],
        }
    }
}

/// What happens to the relay meanwhile.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Restarts {
    None,
    Kills,
    Upgrade,
}

/// An accepted message, and when its client began to submit it.
#[derive(Clone, Debug)]
struct Accepted {
    id: String,
    submitted_at: Instant,
}

/// What went wrong.
#[derive(Debug, Default, PartialEq, Eq)]
struct Breaches {
    lost: Vec<String>,
    repeated_payouts: Vec<String>,
    concurrent_attempts: Vec<String>,
}

fn from_env(name: &str, default: u64) -> u64 {
    let text = std::env::var(name);
    text.map_or(default, |text| text.parse().expect("a number"))
}

/// Submits messages until `until`, on one connection after another.
fn spawn_client(
    listen: SocketAddr,
    client: usize,
    until: Instant,
    accepted: Arc<Mutex<Vec<Accepted>>>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut connection: Option<Client> = None;
        for number in 0usize.. {
            if Instant::now() >= until {
                return;
            }
            thread::sleep(CLIENT_PAUSE);
            let class = CLASSES[(client + number) % CLASSES.len()];
            let id = format!("{class}-{client}-{number}");
            let destination = 1 + (number as u16 + client as u16) % DESTINATIONS;
            let bytes = request(
                &id,
                class,
                destination,
                TIME_TO_LIVE.as_millis() as u64,
                b"body",
            );
            let submitted_at = Instant::now();
            let Some(open) = connection.take().or_else(|| connect(listen)) else {
                continue;
            };
            let open = connection.insert(open);
            let answer = match open.try_send(&bytes) {
                Ok(()) => open.complete_line(),
                Err(_) => None,
            };
            match answer.as_deref() {
                Some("+OK") => accepted.lock().unwrap().push(Accepted { id, submitted_at }),
                Some(_) => {}
                None => connection = None,
            }
        }
    })
}

fn connect(listen: SocketAddr) -> Option<Client> {
    let stream = TcpStream::connect(listen).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    Some(Client {
        reader: std::io::BufReader::new(stream),
    })
}

/// Plays one row and returns what went wrong in it.
fn play(timings: &[CopyTiming], hosts: Hosts, restarts: Restarts, seed: u64) -> Breaches {
    let behavior = Behavior {
        copy_percent: 10,
        copy_timings: timings.to_vec(),
        answer_times: hosts.answer_times(),
        reject_percent: 20,
    };
    let hosts: Vec<RepeatingHost> = (0..DESTINATIONS)
        .map(|number| RepeatingHost::start(behavior.clone(), seed * 100 + u64::from(number)))
        .collect();
    let entries = hosts
        .iter()
        .zip(1..)
        .map(|(host, block)| entry(&format!("h{block}"), host.address, block, "up"));
    let mut test_bed = TestBed::new(entries.collect());
    let accepted: Arc<Mutex<Vec<Accepted>>> = Arc::default();
    let until = Instant::now() + Duration::from_secs(from_env("SURPLUS_SECONDS", 6));
    let listen = test_bed.listen;
    let clients = || -> Vec<_> {
        (0..CLIENTS)
            .map(|client| spawn_client(listen, client, until, accepted.clone()))
            .collect()
    };
    let mut upgraded = None;
    match restarts {
        Restarts::Upgrade => {
            let shared_listener = SharedListener::new(&test_bed);
            let (old, old_control) = shared_listener.start(&test_bed);
            wait_until_ready(old_control);
            let clients = clients();
            thread::sleep(until.saturating_duration_since(Instant::now()) / 2);
            let (new, control) = shared_listener.start(&test_bed);
            wait_until_ready(control);
            send_signal(&old, "-TERM");
            clients
                .into_iter()
                .for_each(|client| client.join().expect("no panic"));
            kill(old);
            upgraded = Some((new, shared_listener));
        }
        Restarts::None | Restarts::Kills => {
            test_bed.start();
            let clients = clients();
            while restarts == Restarts::Kills && Instant::now() + KILL_INTERVAL < until {
                thread::sleep(KILL_INTERVAL);
                test_bed.kill();
                thread::sleep(RESTART_AFTER_KILL);
                test_bed.start();
            }
            clients
                .into_iter()
                .for_each(|client| client.join().expect("no panic"));
        }
    }
    let accepted = accepted.lock().unwrap().clone();
    wait_for_ends(&test_bed, &hosts, &accepted);
    let breaches = judge(&test_bed, &hosts, &accepted);
    let calls: usize = hosts
        .iter()
        .map(|host| host.calls.lock().unwrap().len())
        .sum();
    let connections: usize = hosts
        .iter()
        .map(|host| *host.connections.lock().unwrap())
        .sum();
    println!(
        "seed {seed}: {} accepted, {calls} calls, {connections} connections, {} lost, {} repeated, {} concurrent",
        accepted.len(),
        breaches.lost.len(),
        breaches.repeated_payouts.len(),
        breaches.concurrent_attempts.len()
    );
    if let Some((process, _listener)) = upgraded {
        kill(process);
    }
    assert!(accepted.len() > CLIENTS, "hardly any message was accepted");
    breaches
}

fn calls_by_message(hosts: &[RepeatingHost]) -> BTreeMap<String, Vec<TrueCall>> {
    let calls = hosts.iter().map(RepeatingHost::calls_by_message);
    calls.flatten().collect()
}

fn has_ended(
    test_bed: &TestBed,
    calls: &BTreeMap<String, Vec<TrueCall>>,
    message: &Accepted,
) -> bool {
    let calls = calls.get(&message.id);
    calls.is_some_and(|calls| calls.iter().any(TrueCall::is_delivered))
        || test_bed.discovery.notice_for(&message.id).is_some()
}

/// Waits until each message was delivered or its notice was sent, or until the latest time for that.
fn wait_for_ends(test_bed: &TestBed, hosts: &[RepeatingHost], accepted: &[Accepted]) {
    let last = accepted.iter().map(|message| message.submitted_at).max();
    let Some(last) = last else { return };
    while Instant::now() < last + TIME_TO_LIVE + NOTICE_SLACK {
        let calls = calls_by_message(hosts);
        if accepted
            .iter()
            .all(|message| has_ended(test_bed, &calls, message))
        {
            break;
        }
        thread::sleep(Duration::from_millis(100));
    }
    // A payout that counts as not executed would be called again within this time.
    thread::sleep(Duration::from_millis(500));
}

fn judge(test_bed: &TestBed, hosts: &[RepeatingHost], accepted: &[Accepted]) -> Breaches {
    let calls = calls_by_message(hosts);
    let mut breaches = Breaches::default();
    for message in accepted {
        if !has_ended(test_bed, &calls, message) {
            let calls = calls.get(&message.id);
            breaches.lost.push(format!("{message:?}: {calls:?}"));
        }
    }
    for (id, calls) in &calls {
        let executed = calls.iter().position(TrueCall::may_have_executed);
        let is_repeated = executed.is_some_and(|first| first + 1 < calls.len());
        if id.starts_with("payout") && is_repeated {
            breaches.repeated_payouts.push(format!("{calls:?}"));
        }
        let is_concurrent = |(number, call): (usize, &TrueCall)| {
            let at = call.received_at;
            let earlier = &calls[..number];
            earlier
                .iter()
                .any(|earlier| earlier.is_out_at(at) && earlier.is_out_at(at + CLOSE_SLACK))
        };
        if calls.iter().enumerate().any(is_concurrent) {
            breaches.concurrent_attempts.push(format!("{calls:?}"));
        }
    }
    breaches
}

fn assert_no_breach(timings: &[CopyTiming], hosts: Hosts, restarts: Restarts) {
    for round in 0..from_env("SURPLUS_ROUNDS", 1) {
        let breaches = play(timings, hosts, restarts, 1 + round);
        assert_eq!(breaches, Breaches::default());
    }
}

#[test]
fn copy_with_its_answer_loses_and_repeats_nothing() {
    assert_no_breach(&[CopyTiming::WithAnswer], Hosts::Slow, Restarts::None);
}

#[test]
fn copy_5_ms_late_loses_and_repeats_nothing() {
    assert_no_breach(&[FIVE_MS_LATE], Hosts::Slow, Restarts::None);
}

#[test]
fn copy_60_ms_late_loses_and_repeats_nothing() {
    assert_no_breach(&[SIXTY_MS_LATE], Hosts::Slow, Restarts::None);
}

#[test]
fn copy_behind_the_next_request_loses_and_repeats_nothing() {
    assert_no_breach(&[BEHIND_NEXT_REQUEST], Hosts::Slow, Restarts::None);
}

#[test]
fn copy_behind_the_next_request_of_fast_hosts_loses_and_repeats_nothing() {
    assert_no_breach(&[BEHIND_NEXT_REQUEST], Hosts::Fast, Restarts::None);
}

#[test]
fn copies_at_any_instant_lose_and_repeat_nothing() {
    assert_no_breach(&ANY, Hosts::Slow, Restarts::None);
}

#[test]
fn copies_of_fast_hosts_at_any_instant_lose_and_repeat_nothing() {
    assert_no_breach(&ANY, Hosts::Fast, Restarts::None);
}

#[test]
fn copies_between_kills_lose_and_repeat_nothing() {
    assert_no_breach(&ANY, Hosts::Slow, Restarts::Kills);
}

#[test]
fn copies_during_an_upgrade_lose_and_repeat_nothing() {
    assert_no_breach(&ANY, Hosts::Slow, Restarts::Upgrade);
}

/// The copy of an answer to earlier notices arrives with the first byte of further ones, which are never read.
#[test]
fn notice_is_not_lost_to_a_copy_of_an_earlier_answer() {
    let closed = unused_address();
    let mut test_bed = TestBed::started(vec![entry("a", closed, 1, "up")]);
    test_bed
        .discovery
        .repeat_notice_answers
        .store(true, std::sync::atomic::Ordering::SeqCst);
    for _ in 0..6 {
        let (id, answer) = test_bed.enqueue_body("update", 1, 200, b"body");
        assert_eq!(answer, "+OK");
        let latest = Instant::now() + Duration::from_millis(200) + NOTICE_SLACK;
        wait_until("the notice or its latest time", || {
            let has_notice = test_bed.discovery.notice_for(&id).is_some();
            (has_notice || Instant::now() > latest).then_some(())
        });
        assert!(
            test_bed.discovery.notice_for(&id).is_some(),
            "{id} has no notice"
        );
    }
}
