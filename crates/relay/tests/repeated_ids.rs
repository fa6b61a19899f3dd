//! A payout that was delivered is not called again when its id comes again, whatever has happened in between.

mod support;

use std::thread;
use std::time::Duration;

use support::upgrade::{kill, wait_until_ready, SharedListener};
use support::*;

const PAYOUT_ID: &str = "payout-1";
const TIME_TO_LIVE_MS: u64 = 30_000;
const SLOW_CALL_MS: u64 = 10_000;
/// Requests that are written at once.
const BATCH: usize = 50;
/// Messages between a payout and its repetition. More: `OTHER_MESSAGES=100000 cargo test -p relay --test repeated_ids`.
const OTHER_MESSAGES: usize = 10_000;
/// Longer than any process waits before it hands over or forgets what its clients may send again at once.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

struct Payouts {
    test_bed: TestBed,
    host: Host,
}

impl Payouts {
    fn new() -> Payouts {
        let host = Host::new(|_, _| ok());
        let mut test_bed = TestBed::new(vec![entry("a", host.address, 1, "up")]);
        test_bed.config["settings"]["limits"]["mostHeld"] = 500.into();
        Payouts { test_bed, host }
    }

    fn request(id: &str, class: &str) -> Vec<u8> {
        request(id, class, 1, TIME_TO_LIVE_MS, b"body")
    }

    fn submit_payout(&self) -> String {
        let mut client = self.test_bed.client();
        client.send(&Payouts::request(PAYOUT_ID, "payout"));
        client.line()
    }

    /// Submits a message whose call takes long, and waits for the call.
    fn submit_slow_message(&self) {
        const NAME: &str = "slow";
        self.host.script(|call, _| match call.id.as_str() {
            NAME => HostResponse::Delayed(SLOW_CALL_MS, ok_text()),
            _ => ok(),
        });
        let mut client = self.test_bed.client();
        client.send(&Payouts::request(NAME, "update"));
        assert_eq!(client.line(), "+OK");
        wait_until("the slow call", || {
            self.host.calls_of(NAME).first().cloned()
        });
    }

    fn wait_for_call(&self) {
        wait_until("the call of the payout", || {
            self.host.calls_of(PAYOUT_ID).first().cloned()
        });
    }

    /// Submits messages of all classes until this many were accepted.
    fn submit_others(&self, count: usize) {
        let mut client = self.test_bed.client();
        let mut accepted = 0;
        for batch in 0.. {
            let names = (0..BATCH).map(|number| format!("other-{batch}-{number}"));
            let classes = ["update", "event", "payout"].into_iter().cycle();
            let requests = names.zip(classes);
            let requests = requests.map(|(name, class)| Payouts::request(&name, class));
            client.send(&requests.collect::<Vec<_>>().concat());
            accepted += (0..BATCH).filter(|_| client.line() == "+OK").count();
            if accepted >= count {
                return;
            }
        }
    }

    /// Submits the payout's id again, and asserts that no other call follows.
    fn assert_payout_is_not_called_again(&self) {
        let answer = self.submit_payout();
        assert!(answer == "+OK" || answer.starts_with("-BUSY"), "{answer}");
        thread::sleep(Duration::from_millis(300));
        assert_eq!(self.host.calls_of(PAYOUT_ID).len(), 1, "answer {answer}");
    }
}

#[test]
fn id_of_delivered_payout_is_not_forgotten_behind_many_others() {
    let mut payouts = Payouts::new();
    payouts.test_bed.start();
    assert_eq!(payouts.submit_payout(), "+OK");
    payouts.wait_for_call();
    let count = std::env::var("OTHER_MESSAGES")
        .map_or(OTHER_MESSAGES, |count| count.parse().expect("a number"));
    payouts.submit_others(count);
    payouts.assert_payout_is_not_called_again();
}

#[test]
fn id_of_delivered_payout_is_not_forgotten_over_kills() {
    let mut payouts = Payouts::new();
    payouts.test_bed.start();
    assert_eq!(payouts.submit_payout(), "+OK");
    payouts.wait_for_call();
    // The next process compacts the journal.
    payouts.submit_others(2_000);
    for _ in 0..2 {
        payouts.test_bed.kill();
        payouts.test_bed.start();
        payouts.assert_payout_is_not_called_again();
        payouts.submit_others(2_000);
    }
    payouts.assert_payout_is_not_called_again();
}

#[test]
fn id_of_delivered_payout_is_not_forgotten_by_either_process_of_an_upgrade() {
    let payouts = Payouts::new();
    let listener = SharedListener::new(&payouts.test_bed);
    let (old, old_control_address) = listener.start(&payouts.test_bed);
    wait_until_ready(old_control_address);
    assert_eq!(payouts.submit_payout(), "+OK");
    payouts.wait_for_call();
    payouts.submit_others(2_000);
    thread::sleep(SETTLE_TIME);
    // The old process runs until its open call has ended.
    payouts.submit_slow_message();
    let (new, control_address) = listener.start(&payouts.test_bed);
    wait_until_ready(control_address);
    payouts.assert_payout_is_not_called_again();
    thread::sleep(SETTLE_TIME);
    kill(new);
    wait_until_ready(old_control_address);
    payouts.assert_payout_is_not_called_again();
    kill(old);
}

#[test]
fn id_of_payout_whose_client_has_left_is_not_called_again() {
    let mut payouts = Payouts::new();
    payouts
        .host
        .script(|_, _| HostResponse::Delayed(100, ok_text()));
    payouts.test_bed.start();
    let mut client = payouts.test_bed.client();
    client.send(&Payouts::request(PAYOUT_ID, "payout"));
    wait_until("the call", || {
        payouts.host.calls_of(PAYOUT_ID).first().cloned()
    });
    drop(client);
    payouts.submit_others(2_000);
    payouts.assert_payout_is_not_called_again();
}

#[test]
fn unread_requests_of_a_client_that_left_are_not_called() {
    /// More than what is read before the first replies are written.
    const MAX_CALLS: usize = 64;
    let mut payouts = Payouts::new();
    payouts.test_bed.start();
    let mut client = payouts.test_bed.client();
    let names = (0..400).map(|number| format!("left-{number}"));
    let requests = names.map(|name| Payouts::request(&name, "payout"));
    client.send(&requests.collect::<Vec<_>>().concat());
    drop(client);
    thread::sleep(SETTLE_TIME);
    let calls = payouts.host.calls().len();
    assert!(calls <= MAX_CALLS, "{calls} calls");
}
