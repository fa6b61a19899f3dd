//! The memory of the relay stays under its limit, and usual clients are answered, whatever other clients and hosts send.

#[path = "memory/clients.rs"]
mod clients;
#[path = "memory/monitor.rs"]
mod monitor;
mod support;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use clients::{summarize, Answers, Misbehavior, Pressure, UsualClients};
use monitor::{target_bytes, MemoryMonitor, LEAST_MEMORY_MB};
use serde_json::Value;
use support::*;

const DESTINATIONS: u16 = 20;
/// Connections of clients that misbehave at once.
const BAD_CLIENTS: usize = 400;
const USUAL_CLIENTS: usize = 4;
/// Pause of a usual client between two requests.
const USUAL_PAUSE: Duration = Duration::from_millis(50);
/// Time for which the usual clients are alone, and then for which the bad ones are there too.
const CALM_TIME: Duration = Duration::from_secs(1);
const PRESSURE_TIME: Duration = Duration::from_secs(10);
/// Time for which clients or hosts press on the relay where only its memory is checked.
const FILL_TIME: Duration = Duration::from_secs(4);
/// Time by which the answers to usual clients may come later beside bad ones.
const MAX_DELAY: Duration = Duration::from_millis(50);

/// A relay with the least memory and hosts that behave alike.
struct SmallRelay {
    test_bed: TestBed,
    memory_mb: u64,
}

impl SmallRelay {
    fn new(host: &Host) -> SmallRelay {
        SmallRelay::with_idle_hosts(host, 0)
    }

    /// With this many other hosts, which get no calls.
    fn with_idle_hosts(host: &Host, count: usize) -> SmallRelay {
        let used =
            (1..=DESTINATIONS).map(|block| entry(&format!("h{block}"), host.address, block, "up"));
        let idle = (0..count).map(|number| {
            let address = SocketAddr::from(([127, 9, (number >> 8) as u8, number as u8], 6379));
            let block = DESTINATIONS + 1 + (number / 2) as u16;
            entry(&format!("idle-{number:08x}"), address, block, "up")
        });
        let entries = used.chain(idle).collect();
        let mut test_bed = TestBed::new(entries);
        let mut relay = SmallRelay {
            memory_mb: LEAST_MEMORY_MB,
            test_bed: {
                test_bed.config["settings"]["familyInfo"]["callsOut"] = 64.into();
                test_bed.config["settings"]["limits"]["mostHeld"] = 2_000.into();
                test_bed
            },
        };
        relay.set_limit("memory_mb", LEAST_MEMORY_MB);
        relay
    }

    fn set_limit(&mut self, name: &str, value: impl Into<Value>) {
        self.test_bed.config["limits"][name] = value.into();
    }

    fn start(&mut self) -> MemoryMonitor {
        self.test_bed.start();
        MemoryMonitor::start(&self.test_bed)
    }

    fn usual_clients(&self, name: &'static str, body_bytes: usize) -> UsualClients {
        let listen = self.test_bed.listen;
        UsualClients::start(
            listen,
            name,
            USUAL_CLIENTS,
            DESTINATIONS,
            USUAL_PAUSE,
            body_bytes,
        )
    }

    fn assert_memory_is_under_target(&mut self, monitor: &MemoryMonitor) {
        let process = self.test_bed.relay.as_mut().expect("was started");
        assert!(
            process.try_wait().expect("waits").is_none(),
            "the relay has ended"
        );
        let target = target_bytes(self.memory_mb);
        let peak = monitor.peak();
        println!("peak {peak} of {target} bytes");
        assert!(peak < target, "peak {peak} bytes, target {target}");
    }
}

/// Asserts that of 100 requests of usual clients 99 were answered.
fn assert_usual_clients_are_answered(pressed: &Answers) {
    let (answered, _) = summarize(pressed);
    let total = pressed.len();
    assert!(
        answered * 100 >= total * 99,
        "{answered} of {total} answered"
    );
}

/// Asserts that 99 of 100 answers to usual clients came little later than without bad clients.
fn assert_usual_clients_are_not_delayed(calm: &Answers, pressed: &Answers) {
    let (_, calm_time) = summarize(calm);
    let (_, time) = summarize(pressed);
    println!("p99 alone {calm_time:?}, beside bad clients {time:?}");
    assert!(
        time < calm_time + MAX_DELAY,
        "{time:?}, alone {calm_time:?}"
    );
}

/// The tests of this file run one at a time, as each takes the processor time of many clients.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn run_alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Answers to usual clients alone, and then beside bad ones.
struct Outcome {
    calm: Answers,
    pressed: Answers,
}

/// Plays usual clients alone and then beside bad ones, checks the memory, and that all clients are answered.
fn play(misbehaviors: &[Misbehavior], bad_clients: usize) -> Outcome {
    let _alone = run_alone();
    let host = Host::new(|_, _| ok());
    let mut relay = SmallRelay::new(&host);
    let monitor = relay.start();
    let usual = relay.usual_clients("calm", 100);
    thread::sleep(CALM_TIME);
    let calm = usual.stop();
    let pressure = Pressure::start(relay.test_bed.listen, misbehaviors, bad_clients);
    let usual = relay.usual_clients("usual", 100);
    thread::sleep(PRESSURE_TIME);
    let pressed = usual.stop();
    let log = pressure.stop();
    println!(
        "{} bad connections",
        log.connections.load(Ordering::Relaxed)
    );
    relay.assert_memory_is_under_target(&monitor);
    assert_usual_clients_are_answered(&pressed);
    assert_eq!(
        log.unanswered.load(Ordering::Relaxed),
        0,
        "bad clients without an end"
    );
    Outcome { calm, pressed }
}

/// As [`play`], and checks the time of the answers to usual clients.
fn assert_withstands(misbehaviors: &[Misbehavior], bad_clients: usize) {
    let outcome = play(misbehaviors, bad_clients);
    assert_usual_clients_are_not_delayed(&outcome.calm, &outcome.pressed);
}

#[test]
fn clients_that_stop_in_large_requests_do_not_exhaust_memory() {
    assert_withstands(&[Misbehavior::StopsInLargeRequest], BAD_CLIENTS);
}

#[test]
fn clients_that_write_large_requests_slowly_do_not_exhaust_memory() {
    assert_withstands(
        &[Misbehavior::WritesSlowly, Misbehavior::WritesSingleBytes],
        BAD_CLIENTS,
    );
}

#[test]
fn pipelined_large_requests_do_not_exhaust_memory() {
    let _alone = run_alone();
    let host = Host::new(|_, _| ok());
    let mut relay = SmallRelay::new(&host);
    let monitor = relay.start();
    let listen = relay.test_bed.listen;
    let pressure = Pressure::start(listen, &[Misbehavior::PipelinesLargeRequests], BAD_CLIENTS);
    thread::sleep(FILL_TIME);
    pressure.stop();
    relay.assert_memory_is_under_target(&monitor);
}

#[test]
fn requests_with_many_fields_do_not_exhaust_memory() {
    play(&[Misbehavior::SendsManyFields], BAD_CLIENTS);
}

#[test]
fn requests_with_many_fields_do_not_delay_other_clients() {
    assert_withstands(&[Misbehavior::SendsManyFields], BAD_CLIENTS);
}

#[test]
fn refused_large_requests_do_not_exhaust_memory() {
    assert_withstands(&[Misbehavior::SendsRefusedThenValid], BAD_CLIENTS);
}

#[test]
fn unread_pongs_do_not_delay_other_clients() {
    assert_withstands(&[Misbehavior::NeverReadsPongs], BAD_CLIENTS);
}

#[test]
fn unsound_requests_under_new_names_do_not_delay_other_clients() {
    assert_withstands(&[Misbehavior::SendsUnsoundNames], 1);
}

#[test]
fn accepted_messages_and_their_files_do_not_exhaust_memory() {
    let _alone = run_alone();
    let host = Host::new(|_, _| HostResponse::Hang);
    let mut relay = SmallRelay::new(&host);
    relay.set_limit("disk_mb", 30);
    let monitor = relay.start();
    let usual = UsualClients::start(
        relay.test_bed.listen,
        "large",
        16,
        DESTINATIONS,
        Duration::ZERO,
        60_000,
    );
    thread::sleep(FILL_TIME);
    usual.stop();
    relay.assert_memory_is_under_target(&monitor);
    drop(monitor);
    relay.test_bed.kill();
    let monitor = relay.start();
    relay.assert_memory_is_under_target(&monitor);
}

/// Plays all misbehaving clients at once, and kills and restarts the relay meanwhile.
fn assert_withstands_all(mut relay: SmallRelay) {
    let _alone = run_alone();
    let monitor = relay.start();
    let pressure = Pressure::start(relay.test_bed.listen, &Misbehavior::ALL, BAD_CLIENTS);
    thread::sleep(FILL_TIME);
    relay.assert_memory_is_under_target(&monitor);
    drop(monitor);
    relay.test_bed.kill();
    let monitor = relay.start();
    thread::sleep(CALM_TIME);
    pressure.stop();
    relay.assert_memory_is_under_target(&monitor);
}

#[test]
fn all_misbehaving_clients_at_once_do_not_exhaust_memory() {
    let host = Host::new(|_, _| ok());
    let mut relay = SmallRelay::new(&host);
    relay.set_limit("disk_mb", 30);
    assert_withstands_all(relay);
}

#[test]
fn all_misbehaving_clients_at_once_do_not_exhaust_memory_with_3200_hosts() {
    let host = Host::new(|_, _| ok());
    let mut relay = SmallRelay::with_idle_hosts(&host, 3_200 - usize::from(DESTINATIONS));
    relay.set_limit("disk_mb", 30);
    assert_withstands_all(relay);
}

#[test]
fn all_misbehaving_clients_at_once_do_not_exhaust_memory_with_256_descriptors() {
    let host = Host::new(|_, _| HostResponse::Hang);
    let mut relay = SmallRelay::new(&host);
    relay.set_limit("sockets", 256);
    assert_withstands_all(relay);
}

#[test]
fn large_answers_and_endless_heads_do_not_exhaust_memory() {
    let _alone = run_alone();
    let large = format!(
        "HTTP/1.1 500 E\r\nContent-Length: 64000\r\n\r\n{}",
        "x".repeat(64_000)
    );
    let endless = format!("HTTP/1.1 500 E\r\n{}", "a: b\r\n".repeat(6_000));
    let host = Host::new(move |_, before| {
        HostResponse::Text(if before % 2 == 0 {
            large.clone()
        } else {
            endless.clone()
        })
    });
    let mut relay = SmallRelay::new(&host);
    relay.test_bed.config["settings"]["familyInfo"]["callsOut"] = 256.into();
    let monitor = relay.start();
    let usual = relay.usual_clients("usual", 2_000);
    thread::sleep(FILL_TIME);
    usual.stop();
    relay.assert_memory_is_under_target(&monitor);
}

/// Number of messages of usual clients that were accepted.
fn accepted(answers: &Answers) -> usize {
    let accepted = answers.iter().flatten();
    accepted.filter(|(reply, _)| reply == "+OK").count()
}

#[test]
fn large_requests_of_usual_clients_pass_beside_clients_that_stop_in_theirs() {
    /// Percentage of the rate without bad clients.
    const MIN_RATE_PERCENT: usize = 5;
    let _alone = run_alone();
    let host = Host::new(|_, _| ok());
    let mut relay = SmallRelay::new(&host);
    let monitor = relay.start();
    let usual = relay.usual_clients("calm", 60_000);
    thread::sleep(FILL_TIME);
    let calm = accepted(&usual.stop());
    let pressure = Pressure::start(
        relay.test_bed.listen,
        &[Misbehavior::StopsInLargeRequest, Misbehavior::WritesSlowly],
        BAD_CLIENTS,
    );
    let usual = relay.usual_clients("usual", 60_000);
    thread::sleep(FILL_TIME);
    let pressed = accepted(&usual.stop());
    pressure.stop();
    println!("{calm} accepted alone, {pressed} beside bad clients");
    assert!(pressed * 100 >= calm * MIN_RATE_PERCENT);
    relay.assert_memory_is_under_target(&monitor);
}
