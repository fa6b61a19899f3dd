use super::*;

use membership::{DiscoveryMode, DiscoverySettings};
use runtime::OsRuntime;

const CURRENT_VERSION: u64 = 3;
const MAX_LIST_BYTES: usize = 4 << 20;

fn watch_with_inputs(inputs: mpsc::Sender<RelayEvent>) -> DiscoveryWatch<OsRuntime> {
    let settings = DiscoverySettings {
        mode: DiscoveryMode::Push,
        replicas: 1,
        drain_grace: Duration::from_secs(2),
        seed: 1,
    };
    let members = Rc::new(RefCell::new(HostMembership::new(&settings, None)));
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    DiscoveryWatch::new(
        OsRuntime,
        address,
        CURRENT_VERSION,
        members,
        inputs,
        MAX_LIST_BYTES,
    )
}

fn list_with_draining_host(version: u64) -> HostList {
    let list = serde_json::json!({
        "seq": version,
        "whole": false,
        "hosts": [{
            "host": "a",
            "dial": "127.0.0.1:2",
            "site": "dc",
            "class": "partner",
            "block": 1,
            "health": "draining",
            "share": 1.0,
            "born_ms": 0
        }]
    });
    serde_json::from_value(list).expect("valid list")
}

/// A reload by SIGHUP changes the address while a list waits for the event loop to accept more events. The list must not
/// be lost.
async fn assert_waiting_list_survives_address_change(version: u64) {
    let (inputs, mut events) = mpsc::channel(1);
    inputs
        .try_send(RelayEvent::HostListConfirmed)
        .expect("capacity for one event");
    let mut watch = watch_with_inputs(inputs);
    // The timeout drops the future while it waits, as `watch_host_list` does when the address changes.
    let apply = watch.apply_list(list_with_draining_host(version));
    let applied = tokio::time::timeout(Duration::ZERO, apply).await;
    assert!(applied.is_err(), "the event channel must be full");
    assert!(matches!(
        events.try_recv(),
        Ok(RelayEvent::HostListConfirmed)
    ));
    watch.deliver_list().await.expect("event channel is open");
    let Ok(RelayEvent::HostListReceived(delivered)) = events.try_recv() else {
        panic!("list was lost")
    };
    assert_eq!(
        delivered.hosts[0].state,
        HostState::Draining,
        "version {version}"
    );
}

#[test]
fn list_that_waits_for_the_event_loop_survives_an_address_change() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build runtime");
    let (newer, older) = (CURRENT_VERSION + 1, CURRENT_VERSION - 1);
    runtime.block_on(assert_waiting_list_survives_address_change(newer));
    runtime.block_on(assert_waiting_list_survives_address_change(older));
}
