//! Eviction of records, and recovery from a corrupt store.

use super::*;

#[test]
fn records_past_the_caps_are_evicted_even_if_claimed_and_counted() {
    let ledger = Ledger::new();
    let host = Host::new(|_, _| HostResponse::Close);
    let mut bed = UndeliverableTestBed::new(up(&host), &ledger, "max_records = 3", 100);
    let first = bed.given_up("payout", 1);
    let id = first.values().next().expect("one")["id"].clone();
    assert_eq!(bed.act(&id, "claim").status, 200);
    for _ in 0..4 {
        bed.test_bed.enqueue("payout", 1);
    }
    wait_until("the oldest to be dropped", || {
        (bed.api.get(&format!("/v1/undeliverable/{id}")).status == 404).then_some(())
    });
    assert_eq!(
        problem(&bed.act(&id, "resend")),
        (404, "no-such-record".into())
    );
    let status = wait_until("the counts", || {
        Some(bed.api.get("/v1/undeliverable/status").body).filter(|status| status["records"] == 3)
    });
    assert_eq!(
        status["dropped"],
        json!([{"tenant": "acme", "cause": "records", "records": 2}])
    );
}

#[test]
fn corrupt_store_is_quarantined_and_logged_without_interrupting_service() {
    let ledger = Ledger::new();
    let host = Host::new(|_, _| HostResponse::Close);
    let mut bed = UndeliverableTestBed::new(up(&host), &ledger, "", 100);
    bed.given_up("payout", 3);
    bed.test_bed.kill();
    let file = bed.test_bed.folder.join("kept/undeliverable.redb");
    let mut bytes = std::fs::read(&file).expect("the store");
    let end = bytes.len().min(64 << 10);
    bytes[..end].fill(0x5a);
    std::fs::write(&file, &bytes).expect("corrupted");
    bed.test_bed.start();
    // The relay serves, sends notifications, and logs the fault; then it creates a new store beside the corrupt one.
    let (name, answer) = bed.test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("the notice", || bed.test_bed.discovery.notice_for(&name));
    wait_until("the new store", || {
        let list = bed.api.get("/v1/undeliverable?class=payout");
        (list.status == 200 && list.body["items"][0]["message"] == name.as_str()).then_some(())
    });
    assert!(bed
        .test_bed
        .log()
        .contains("undeliverable: store_quarantined path="));
    let kept = std::fs::read_dir(bed.test_bed.folder.join("kept")).expect("the folder");
    let names: Vec<String> = kept
        .flatten()
        .map(|entry| entry.file_name().to_string_lossy().into())
        .collect();
    assert!(
        names
            .iter()
            .any(|name| name.starts_with("undeliverable.spoilt-")),
        "{names:?}"
    );
}
