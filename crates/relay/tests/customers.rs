//! Settings with and without tenants, as customers use both.

mod support;

use support::*;

/// A request without a tenant.
fn untold(id: &str, class: &str, block: u16) -> Vec<u8> {
    let list = format!("c={class},d=20000,dest={block}");
    frame(&[
        b"ENQUEUE",
        b"0000000000000000",
        id.as_bytes(),
        list.as_bytes(),
        b"body",
    ])
}

/// If no tenants are configured, requests name none.
#[test]
fn messages_without_configured_tenants_are_delivered_and_survive_restart() {
    for listed in [true, false] {
        let host = Host::new(|_, _| ok());
        let mut test_bed = TestBed::new(vec![entry("a", host.address, 1, "up")]);
        let settings = test_bed.config["settings"]
            .as_object_mut()
            .expect("an object");
        drop(settings.remove("tenants"));
        if listed {
            settings.insert("tenants".into(), serde_json::json!([]));
        }
        test_bed.start();
        for id in ["one", "two"] {
            let mut client = test_bed.client();
            client.send(&untold(id, "update", 1));
            assert_eq!(client.line(), "+OK");
            wait_until("the call", || host.calls_of(id).first().cloned());
        }
        host.script(|_, _| status("503 Busy"));
        let mut client = test_bed.client();
        // The message is of a safe class, as the relay may be killed before it reads the rejection.
        client.send(&untold("three", "update", 1));
        assert_eq!(client.line(), "+OK");
        wait_until("a rejected call", || {
            host.calls_of("three").first().cloned()
        });
        test_bed.kill();
        host.script(|_, _| ok());
        let before = host.calls_of("three").len();
        test_bed.start();
        wait_until("the call after the restart", || {
            (host.calls_of("three").len() > before).then_some(())
        });
    }
}

/// If tenants are configured, each message must name one of them.
#[test]
fn message_without_tenant_is_rejected_if_tenants_are_configured() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::started(vec![entry("a", host.address, 1, "up")]);
    let mut client = test_bed.client();
    client.send(&untold("one", "update", 1));
    assert_eq!(client.line(), "-ERR the list lacks t");
    assert_eq!(test_bed.enqueue("update", 1).1, "+OK");
    assert!(host.calls_of("one").is_empty());
}
