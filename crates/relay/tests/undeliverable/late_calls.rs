//! Calls that their hosts begin long after the host was chosen, as the connection came up or was read late. Whoever resends,
//! each message takes effect once, and its record is closed in the end.

use std::process::Child;
use std::time::Instant;

use super::*;
use support::full_backlog::FullBacklog;
use support::upgrade::{kill, wait_until_ready, SharedListener};

/// How long after it was chosen a host begins a call.
const BEGIN_DELAY: Duration = Duration::from_millis(1_000);
/// How long a host works on a call before it takes effect; less than [`SETTLE`].
const WORK: Duration = Duration::from_millis(2_800);
/// The setting of the operator file.
const SETTLE: &str = "settle_s = 3.0\nat_once = 8\n";
/// Time to live of a payout. Its call has begun by then, but has taken no effect.
const TIME_TO_LIVE_MS: u64 = 2_200;
/// Longer than a call that begins late and its work.
const ALL_CALLS: Duration = Duration::from_millis(4_000);
/// Pause between two tries of an operator.
const OPERATOR_PAUSE: Duration = Duration::from_millis(50);

/// A relay that has accepted a payout, and the partner that it is for.
struct LateCalls {
    bed: UndeliverableTestBed,
    ledger: Ledger,
    payout: String,
}

/// Prepares a relay for a host. Connections may come up late, and a resent payout has the same time to live.
fn prepare(address: SocketAddr, ledger: &Ledger, more: &str) -> UndeliverableTestBed {
    let hosts = vec![entry("a", address, 1, "up")];
    let more = format!("{SETTLE}{more}");
    let mut bed = UndeliverableTestBed::prepare(hosts, ledger, &more, 100);
    let settings = &mut bed.test_bed.config["settings"];
    settings["limits"]["dialTimeout"] = json!(3_000_000);
    settings["services"][2]["giveUp"] = json!(TIME_TO_LIVE_MS * 1_000);
    bed
}

/// A script of a host that begins a call after a delay, and works on it whether or not the relay still waits.
fn apply_after(
    ledger: &Ledger,
    delay: Duration,
) -> impl Fn(&RecordedCall, usize) -> HostResponse + Send + Sync + 'static {
    let ledger = ledger.clone();
    move |call, _| {
        let (ledger, id) = (ledger.clone(), call.id.clone());
        thread::spawn(move || {
            thread::sleep(delay);
            ledger.apply(&id);
        });
        HostResponse::Delayed(delay.as_millis() as u64, ok_text())
    }
}

impl LateCalls {
    /// Starts a relay with a host that reads calls late, and submits a payout.
    fn read_late(more: &str) -> (LateCalls, Host) {
        let ledger = Ledger::new();
        let host = Host::new(apply_after(&ledger, BEGIN_DELAY + WORK));
        let mut bed = prepare(host.address, &ledger, more);
        bed.test_bed.start();
        (LateCalls::submitted(bed, ledger), host)
    }

    fn submitted(mut bed: UndeliverableTestBed, ledger: Ledger) -> LateCalls {
        let submitted = bed
            .test_bed
            .enqueue_body("payout", 1, TIME_TO_LIVE_MS, b"body");
        let (payout, answer) = submitted;
        assert_eq!(answer, "+OK");
        LateCalls {
            bed,
            ledger,
            payout,
        }
    }

    fn record(&self) -> Value {
        wait_until("the record", || self.bed.all("").remove(&self.payout))
    }

    /// An operator queries the partner and tries to resend the payout until its record is closed.
    fn operator_resends_until_closed(&self) -> Value {
        let id = &self.record()["id"];
        wait_until("the record to be closed", || {
            self.bed.act(id, "ask");
            thread::sleep(OPERATOR_PAUSE);
            self.bed.act(id, "resend");
            thread::sleep(OPERATOR_PAUSE);
            self.closed_record()
        })
    }

    fn closed_record(&self) -> Option<Value> {
        let record = self.bed.all("").remove(&self.payout)?;
        let is_closed = record["state"] == "delivered" || record["state"] == "applied-before";
        is_closed.then_some(record)
    }

    /// Waits until every call has ended, and asserts that the payout has taken effect once.
    fn assert_applied_once(&self) {
        thread::sleep(ALL_CALLS);
        assert_eq!(self.ledger.applied_count(&self.payout), 1);
    }
}

/// Guards against a query of the partner that counts although the call began late and still runs.
#[test]
fn payout_over_a_late_connection_is_applied_once() {
    let ledger = Ledger::new();
    let backlog = FullBacklog::new();
    let mut bed = prepare(backlog.address(), &ledger, "");
    bed.test_bed.start();
    let late = LateCalls::submitted(bed, ledger);
    let submitted_at = Instant::now();
    thread::sleep(Duration::from_millis(300));
    let host = backlog.open(apply_after(&late.ledger, WORK));
    late.operator_resends_until_closed();
    late.assert_applied_once();
    let call = &host.calls_of(&late.payout)[0];
    assert!(call.at > submitted_at + BEGIN_DELAY / 2, "not late");
}

/// Guards against a bound that is taken from the relay's last write, which the host may read much later.
#[test]
fn payout_that_its_host_reads_late_is_applied_once() {
    let (late, _host) = LateCalls::read_late("");
    late.operator_resends_until_closed();
    late.assert_applied_once();
}

/// Guards against a process that takes the calls of a killed one for as old as their journal entries.
#[test]
fn payout_in_flight_at_a_kill_is_applied_once() {
    let (mut late, host) = LateCalls::read_late("");
    wait_until("the call", || host.calls().first().cloned());
    thread::sleep(BEGIN_DELAY + Duration::from_millis(300));
    late.bed.test_bed.kill();
    late.bed.test_bed.start();
    late.operator_resends_until_closed();
    late.assert_applied_once();
}

/// Guards against a record whose call ended unnoticed, in a kill right after the payout was given up.
#[test]
fn payout_given_up_right_before_a_kill_is_applied_once() {
    let (mut late, _host) = LateCalls::read_late("");
    late.record();
    late.bed.test_bed.kill();
    late.bed.test_bed.start();
    late.operator_resends_until_closed();
    late.assert_applied_once();
}

/// Guards against a connection that comes up after the payout was given up, and is used nevertheless.
#[test]
fn payout_whose_connection_comes_up_after_its_deadline_is_called_once() {
    let ledger = Ledger::new();
    let backlog = FullBacklog::new();
    let mut bed = prepare(backlog.address(), &ledger, "");
    bed.test_bed.start();
    let (payout, answer) = bed.test_bed.enqueue_body("payout", 1, 500, b"body");
    assert_eq!(answer, "+OK");
    let late = LateCalls {
        bed,
        ledger,
        payout,
    };
    assert_eq!(late.record()["may_have_run"], false);
    let host = backlog.open(apply_after(&late.ledger, Duration::ZERO));
    let record = late.operator_resends_until_closed();
    late.assert_applied_once();
    assert_eq!(record["state"], "delivered");
    assert_eq!(host.calls_of(&late.payout).len(), 1);
}

/// Guards against a cure that never resends.
#[test]
fn payout_that_its_host_lost_is_resent_once_the_call_has_settled() {
    let ledger = Ledger::new();
    let host = Host::new(|_, _| HostResponse::Hang);
    let mut bed = prepare(host.address, &ledger, "");
    bed.test_bed.start();
    let late = LateCalls::submitted(bed, ledger);
    late.record();
    host.script(apply_after(&late.ledger, Duration::ZERO));
    let record = late.operator_resends_until_closed();
    late.assert_applied_once();
    assert_eq!(record["state"], "delivered");
}

/// Guards against a resend that is taken for shorter than it may be, as its own call begins late.
#[test]
fn payout_whose_resend_is_read_late_is_applied_once() {
    let ledger = Ledger::new();
    let host = Host::new(|call, _| match call.body.as_slice() {
        b"good" => ok(),
        _ => HostResponse::Hang,
    });
    let mut bed = prepare(host.address, &ledger, "");
    bed.test_bed.start();
    let _good = Good::traffic(&bed.test_bed);
    thread::sleep(Duration::from_millis(300));
    let late = LateCalls::submitted(bed, ledger);
    late.record();
    let begin_late = apply_after(&late.ledger, BEGIN_DELAY + WORK);
    host.script(move |call, before| match call.body.as_slice() {
        b"good" => ok(),
        _ => begin_late(call, before),
    });
    let record = late.operator_resends_until_closed();
    late.assert_applied_once();
    assert_eq!(record["resends"], 1);
}

/// Guards against a rule that queries the partner too early and believes the answer.
#[test]
fn payout_that_its_host_reads_late_is_applied_once_under_a_rule() {
    const RULE: &str =
        "[[undeliverable.rules]]\nname = \"later\"\nwhen = \"after\"\nafter_s = 1.0\nper_minute = 6000\n";
    let (late, _host) = LateCalls::read_late(RULE);
    wait_until("the record to be closed", || late.closed_record());
    late.assert_applied_once();
}

/// Guards against a batch that queries the partner too early, and believes the answer or passes over the record.
#[test]
fn payout_that_its_host_reads_late_is_applied_once_by_a_batch() {
    let (late, _host) = LateCalls::read_late("");
    late.record();
    let batch = json!({"name": "night", "filter": {"class": "payout"}, "per_second": 200.0, "at_once": 2,
        "stop_after": 3});
    let batches = "/v1/undeliverable-batches";
    let planned = late
        .bed
        .api
        .send("POST", batches, &[JSON], &batch.to_string());
    assert_eq!(planned.status, 201);
    let run = format!("{batches}/night/run");
    let started = late.bed.api.send("POST", &run, &[("if-match", "*")], "");
    assert_eq!(started.status, 200);
    wait_until("the record to be closed", || late.closed_record());
    late.assert_applied_once();
}

/// Guards against operators whose statements count although the call still runs.
#[test]
fn statements_of_two_operators_that_come_too_early_permit_no_resend() {
    let (late, _host) = LateCalls::read_late("");
    let record = late.record();
    let id = &record["id"];
    // More than the settle time after the host was chosen, and less after the call ended.
    thread::sleep(Duration::from_millis(1_000));
    for operator in ["ops", "second"] {
        let stated = attest(&late.bed.as_of(operator), id, "not-applied");
        assert_eq!(stated.status, 200);
    }
    let refused = late.bed.act(id, "resend");
    assert_eq!(problem(&refused), (409, "word-too-early".into()));
    assert!(refused.headers.contains_key("retry-after"));
    let shown = late.bed.one(id);
    assert_eq!(shown["needs"], "word-too-early");
    assert!(shown["word_counts_from"].as_str() > shown["ended_at"].as_str());
    late.operator_resends_until_closed();
    late.assert_applied_once();
}

/// Guards against a key that is taken to live longer than its host remembers it, as its call may have begun late.
#[test]
fn key_that_its_host_has_forgotten_is_not_used_for_a_resend() {
    const WINDOW: Duration = Duration::from_secs(5);
    let ledger = Ledger::new();
    let first_call: Arc<Mutex<Option<Instant>>> = Arc::default();
    let host = Host::new({
        let ledger = ledger.clone();
        move |call, _| {
            let mut first_call = first_call.lock().unwrap();
            let is_known = first_call.is_some_and(|at| at.elapsed() < WINDOW);
            if !is_known {
                *first_call = Some(Instant::now());
                ledger.apply(&call.id);
            }
            HostResponse::Hang
        }
    });
    let mut bed = prepare(host.address, &ledger, "key_margin_s = 0.2\n");
    bed.test_bed.config["settings"]["services"][0]["window"] = json!(WINDOW.as_micros() as u64);
    bed.test_bed.start();
    let (event, answer) = bed
        .test_bed
        .enqueue_body("event", 1, TIME_TO_LIVE_MS, b"body");
    assert_eq!(answer, "+OK");
    let late = LateCalls {
        bed,
        ledger,
        payout: event,
    };
    let id = &late.record()["id"];
    let forgotten_at = host.calls_of(&late.payout)[0].at + WINDOW;
    thread::sleep(forgotten_at.saturating_duration_since(Instant::now()));
    assert_eq!(late.bed.act(id, "resend").status, 409);
    let record = late.operator_resends_until_closed();
    late.assert_applied_once();
    assert_eq!(record["state"], "applied-before");
}

/// Two processes that share the listening socket while the call of a payout is open in the older one.
struct Upgrade {
    late: LateCalls,
    old: Child,
    old_control_address: SocketAddr,
    new: Child,
    _listener: SharedListener,
}

impl Upgrade {
    fn with_open_call() -> Upgrade {
        let ledger = Ledger::new();
        let host = Host::new(apply_after(&ledger, BEGIN_DELAY + WORK));
        let bed = prepare(host.address, &ledger, "");
        let listener = SharedListener::new(&bed.test_bed);
        let (old, old_control_address) = listener.start(&bed.test_bed);
        wait_until_ready(old_control_address);
        let late = LateCalls::submitted(bed, ledger);
        wait_until("the call", || host.calls().first().cloned());
        let (new, control_address) = listener.start(&late.bed.test_bed);
        wait_until_ready(control_address);
        Upgrade {
            late,
            old,
            old_control_address,
            new,
            _listener: listener,
        }
    }
}

/// Guards against a new process that does not know when the call of the old one ends.
#[test]
fn payout_in_flight_over_an_upgrade_is_applied_once() {
    let upgrade = Upgrade::with_open_call();
    upgrade.late.operator_resends_until_closed();
    upgrade.late.assert_applied_once();
    kill(upgrade.old);
    kill(upgrade.new);
}

/// Guards against a call that is taken for older than the kill of its process.
#[test]
fn payout_in_flight_at_the_kill_of_an_upgraded_process_is_applied_once() {
    let upgrade = Upgrade::with_open_call();
    thread::sleep(BEGIN_DELAY);
    kill(upgrade.old);
    upgrade.late.operator_resends_until_closed();
    upgrade.late.assert_applied_once();
    kill(upgrade.new);
}

/// Guards against a process that takes the state directory back and takes its own open call for older than it is.
#[test]
fn payout_in_flight_at_the_kill_of_a_new_process_is_applied_once() {
    let upgrade = Upgrade::with_open_call();
    thread::sleep(Duration::from_millis(500));
    kill(upgrade.new);
    wait_until_ready(upgrade.old_control_address);
    upgrade.late.operator_resends_until_closed();
    upgrade.late.assert_applied_once();
    kill(upgrade.old);
}
