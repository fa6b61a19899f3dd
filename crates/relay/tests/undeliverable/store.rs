//! Eviction, and a corrupt store.

use super::*;

#[test]
fn what_is_past_the_caps_is_dropped_even_while_claimed_and_counted() {
    let ledger = Ledger::new();
    let host = Host::new(|_, _| Answer::Close);
    let mut desk = Desk::new(up(&host), &ledger, "max_records = 3", 100);
    let first = desk.given_up("payout", 1);
    let id = first.values().next().expect("one")["id"].clone();
    assert_eq!(desk.act(&id, "claim").status, 200);
    for _ in 0..4 {
        desk.scene.enqueue("payout", 1);
    }
    until("the oldest to be dropped", || {
        (desk.api.get(&format!("/v1/undeliverable/{id}")).status == 404).then_some(())
    });
    assert_eq!(
        problem(&desk.act(&id, "resend")),
        (404, "no-such-record".into())
    );
    let status = until("the counts", || {
        Some(desk.api.get("/v1/undeliverable/status").body).filter(|status| status["records"] == 3)
    });
    assert_eq!(
        status["dropped"],
        json!([{"tenant": "acme", "cause": "records", "records": 2}])
    );
}

#[test]
fn corrupt_store_is_quarantined_and_logged_and_stops_nothing() {
    let ledger = Ledger::new();
    let host = Host::new(|_, _| Answer::Close);
    let mut desk = Desk::new(up(&host), &ledger, "", 100);
    desk.given_up("payout", 3);
    desk.scene.kill();
    let file = desk.scene.folder.join("kept/undeliverable.redb");
    let mut bytes = std::fs::read(&file).expect("the store");
    let end = bytes.len().min(64 << 10);
    bytes[..end].fill(0x5a);
    std::fs::write(&file, &bytes).expect("spoilt");
    desk.scene.start();
    // It serves, sends notifications, and reports what is wrong; then a new store is created beside the corrupt one.
    let (name, answer) = desk.scene.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    until("the notice", || desk.scene.discovery.notice_of(&name));
    until("the new store", || {
        let list = desk.api.get("/v1/undeliverable?class=payout");
        (list.status == 200 && list.body["items"][0]["message"] == name.as_str()).then_some(())
    });
    assert!(desk
        .scene
        .log()
        .contains("undeliverable: store_quarantined path="));
    let kept = std::fs::read_dir(desk.scene.folder.join("kept")).expect("the folder");
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
