//! A message id belongs to one message: hosts and the platform know a message by its id alone, whatever its tenant.

mod support;

use std::sync::atomic::Ordering;

use serde_json::{json, Value};
use support::upgrade::{kill, wait_until_ready, SharedListener};
use support::*;

/// The tenant whose message uses an id first.
const OWNER: &str = "acme";
/// The tenant that uses the id of another tenant's message.
const OTHER: &str = "globex";
/// Destination of the owner's payout.
const PAYOUT_DESTINATION: u16 = 1;
/// Destination of the other tenant's messages.
const OTHER_DESTINATION: u16 = 2;
/// Time that the host of the payout takes.
const PAYOUT_DURATION_MS: u64 = 1_500;
/// Time to live of the other tenant's messages, within which their destination rejects them.
const SHORT_TIME_TO_LIVE_MS: u64 = 300;
const TIME_TO_LIVE_MS: u64 = 20_000;
const PAYOUT_ID: &str = "payout-1";
/// Half of the settings' longest wait.
const ID_IN_USE: &str = "-BUSY 1000";

/// A relay for two tenants, with a slow host for the payout and a rejecting one for the other tenant's messages.
struct TwoTenants {
    test_bed: TestBed,
    payout_host: Host,
    other_host: Host,
}

impl TwoTenants {
    fn new() -> Self {
        let payout_host = Host::new(|_, _| HostResponse::Delayed(PAYOUT_DURATION_MS, ok_text()));
        let other_host = Host::new(|_, _| status("503 Busy"));
        let mut test_bed = TestBed::new(vec![
            entry("a", payout_host.address, PAYOUT_DESTINATION, "up"),
            entry("b", other_host.address, OTHER_DESTINATION, "up"),
        ]);
        let tenant = |name| json!({"name": name, "quotaPerS": 1000.0, "share": 1.0});
        test_bed.config["settings"]["tenants"] = json!([tenant(OWNER), tenant(OTHER)]);
        TwoTenants {
            test_bed,
            payout_host,
            other_host,
        }
    }

    fn started() -> Self {
        let mut relay = TwoTenants::new();
        relay.test_bed.start();
        relay
    }

    fn submit(&self, tenant: &str, id: &str, class: &str, destination: u16, ttl_ms: u64) -> String {
        let mut client = self.test_bed.client();
        client.send(&request_for(
            tenant,
            id,
            class,
            destination,
            ttl_ms,
            b"body",
        ));
        client.line()
    }

    fn submit_payout(&self) {
        let answer = self.submit(
            OWNER,
            PAYOUT_ID,
            "payout",
            PAYOUT_DESTINATION,
            TIME_TO_LIVE_MS,
        );
        assert_eq!(answer, "+OK");
    }

    fn wait_for_payout_call(&self) {
        wait_until("the call of the payout", || {
            self.payout_host.calls_of(PAYOUT_ID).first().cloned()
        });
    }

    /// Submits the payout's id for the other tenant, which must be refused with the promise that this is harmless.
    fn assert_id_is_refused(&self) {
        for class in ["update", "payout"] {
            let answer = self.submit(
                OTHER,
                PAYOUT_ID,
                class,
                OTHER_DESTINATION,
                SHORT_TIME_TO_LIVE_MS,
            );
            assert_eq!(answer, ID_IN_USE);
        }
    }

    /// Waits until a message that the other tenant submits now has ended.
    fn wait_for_later_message(&self) {
        // A process that has just started may reject a message for other reasons.
        let mut ids = (0..).map(|number| format!("later-{number}"));
        let later = wait_until("a later message to be accepted", || {
            let id = ids.next()?;
            let answer = self.submit(
                OTHER,
                &id,
                "update",
                OTHER_DESTINATION,
                SHORT_TIME_TO_LIVE_MS,
            );
            (answer == "+OK").then_some(id)
        });
        wait_until("the notice of a later message", || {
            self.test_bed.discovery.notice_for(&later)
        });
    }

    /// No call and no notice under the payout's id is anyone's but the payout's.
    fn assert_payout_is_alone(&self) {
        assert_eq!(self.payout_host.calls_of(PAYOUT_ID).len(), 1);
        assert!(self.other_host.calls_of(PAYOUT_ID).is_empty());
        assert_eq!(self.notices(), Vec::<Value>::new());
    }

    /// All notices under the payout's id.
    fn notices(&self) -> Vec<Value> {
        let notices = self.test_bed.discovery.notices.lock().unwrap();
        let of_payout = notices.iter().filter(|notice| notice["id"] == PAYOUT_ID);
        of_payout.cloned().collect()
    }
}

#[test]
fn id_of_open_payout_is_refused_for_another_tenant() {
    let relay = TwoTenants::started();
    relay.submit_payout();
    relay.wait_for_payout_call();
    relay.assert_id_is_refused();
    relay.wait_for_later_message();
    relay.assert_payout_is_alone();
    // Its own tenant repeats the payout while it is open.
    relay.submit_payout();
    assert_eq!(relay.payout_host.calls_of(PAYOUT_ID).len(), 1);
}

#[test]
fn first_of_two_tenants_gets_an_id_within_one_batch_and_on_two_connections() {
    for tenants in [[OWNER, OTHER], [OTHER, OWNER]] {
        let relay = TwoTenants::started();
        let requests = tenants.map(|tenant| {
            request_for(
                tenant,
                "twin",
                "payout",
                PAYOUT_DESTINATION,
                20_000,
                b"body",
            )
        });
        let mut client = relay.test_bed.client();
        client.send(&requests.concat());
        assert_eq!(client.line(), "+OK");
        assert_eq!(client.line(), ID_IN_USE);
        let [mut first, mut second] = [(); 2].map(|()| relay.test_bed.client());
        first.send(&requests[1]);
        second.send(&requests[0]);
        assert_eq!(first.line(), ID_IN_USE);
        assert_eq!(second.line(), "+OK");
        wait_until("the call", || {
            relay.payout_host.calls_of("twin").first().cloned()
        });
    }
}

#[test]
fn id_of_open_payout_is_refused_for_another_tenant_after_kill() {
    let mut relay = TwoTenants::new();
    relay.payout_host.script(|_, _| status("503 Busy"));
    relay.test_bed.start();
    relay.submit_payout();
    relay.wait_for_payout_call();
    relay.test_bed.kill();
    relay.payout_host.script(|_, _| ok());
    relay
        .test_bed
        .discovery
        .silent
        .store(true, Ordering::SeqCst);
    relay.test_bed.start();
    relay.assert_id_is_refused();
    relay
        .test_bed
        .discovery
        .silent
        .store(false, Ordering::SeqCst);
    relay.wait_for_later_message();
    assert!(relay.other_host.calls_of(PAYOUT_ID).is_empty());
    assert!(relay
        .notices()
        .iter()
        .all(|notice| notice["status"] != "deferred"));
}

#[test]
fn id_of_payout_is_refused_for_another_tenant_by_both_processes_of_an_upgrade() {
    let relay = TwoTenants::new();
    let listener = SharedListener::new(&relay.test_bed);
    let (old, old_control_address) = listener.start(&relay.test_bed);
    wait_until_ready(old_control_address);
    relay.submit_payout();
    relay.wait_for_payout_call();
    relay.assert_id_is_refused();
    let (new, control_address) = listener.start(&relay.test_bed);
    wait_until_ready(control_address);
    relay.assert_id_is_refused();
    // The new process is killed, and the old one reclaims the directory.
    kill(new);
    wait_until_ready(old_control_address);
    relay.assert_id_is_refused();
    relay.wait_for_later_message();
    relay.assert_payout_is_alone();
    kill(old);
}

/// Guards against a notification, delayed by a restart, that reaches the platform as the end of a later message.
#[test]
fn id_of_failed_message_is_refused_until_its_notice_is_accepted() {
    let mut relay = TwoTenants::started();
    let reject_notices = relay.test_bed.discovery.reject_notices.clone();
    reject_notices.store(true, Ordering::SeqCst);
    let answer = relay.submit(
        OTHER,
        PAYOUT_ID,
        "update",
        OTHER_DESTINATION,
        SHORT_TIME_TO_LIVE_MS,
    );
    assert_eq!(answer, "+OK");
    wait_until("a rejected notice", || {
        (relay.test_bed.discovery.request_count("POST") > 0).then_some(())
    });
    relay.test_bed.kill();
    relay.test_bed.start();
    let submit = || {
        relay.submit(
            OWNER,
            PAYOUT_ID,
            "payout",
            PAYOUT_DESTINATION,
            TIME_TO_LIVE_MS,
        )
    };
    assert_eq!(submit(), ID_IN_USE);
    reject_notices.store(false, Ordering::SeqCst);
    wait_until("the id to be free", || (submit() == "+OK").then_some(()));
    assert_eq!(relay.notices().len(), 1);
    relay.wait_for_payout_call();
    assert_eq!(relay.notices().len(), 1);
}

/// Guards against a deferral of one message that the platform takes for the end of the other.
#[test]
fn messages_that_share_an_id_in_an_older_journal_are_not_reported_as_deferred() {
    let journal = include_bytes!("golden/journal-shared-id");
    let mut relay = TwoTenants::new();
    std::fs::write(relay.test_bed.journal(), journal).expect("a journal");
    relay.test_bed.start();
    // Their deadlines are past: the payout may have been executed, and the other message was never called.
    wait_until("the ends of both", || {
        (relay.notices().len() == 2).then_some(())
    });
    let undeliverable = json!({"id": PAYOUT_ID, "status": "undeliverable"});
    assert_eq!(relay.notices(), [undeliverable.clone(), undeliverable]);
}
