//! Tests of the eviction of connections for newer ones.

use super::{ConnectionSlot, ConnectionSlots, MAX_CONNECTIONS};

fn fill(slots: &mut ConnectionSlots) -> Vec<ConnectionSlot> {
    (0..MAX_CONNECTIONS).map(|_| slots.acquire()).collect()
}

#[test]
fn oldest_silent_connection_is_evicted_for_a_new_one() {
    let mut slots = ConnectionSlots::default();
    let first = fill(&mut slots);
    assert!(slots.protect(&first[0]), "connection has sent its command");
    let newest = slots.acquire();
    assert_eq!(slots.open, MAX_CONNECTIONS);
    assert!(
        !slots.protect(&first[1]),
        "oldest silent connection must be evicted"
    );
    assert!(slots.protect(&first[2]));
    assert!(slots.protect(&newest));
}

#[test]
fn released_slot_is_used_before_a_connection_is_evicted() {
    let mut slots = ConnectionSlots::default();
    let first = fill(&mut slots);
    assert!(slots.protect(&first[3]));
    slots.release();
    slots.acquire();
    assert!(slots.protect(&first[0]), "no connection may be evicted");
}

#[test]
fn limit_is_exceeded_if_no_connection_is_silent() {
    let mut slots = ConnectionSlots::default();
    for slot in fill(&mut slots) {
        assert!(slots.protect(&slot));
    }
    let newest = slots.acquire();
    assert_eq!(slots.open, MAX_CONNECTIONS + 1);
    assert!(slots.protect(&newest));
}
