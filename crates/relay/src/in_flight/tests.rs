//! Tests of the hand-over of completed names.

use super::*;

fn name(number: usize) -> MessageName {
    MessageName::new("acme", &format!("m{number}"))
}

/// The hand-over state includes every name that completed within the window, whatever their number, so that the next
/// process recognizes duplicates.
#[test]
fn names_completed_within_the_window_are_in_the_handover_state() {
    let (mut old, mut new, start) = (
        InFlightMessages::default(),
        InFlightMessages::default(),
        Instant::now(),
    );
    old.complete(start, name(0));
    let now = start + HANDOVER_WINDOW + Duration::from_millis(1);
    (1..=2000).for_each(|number| old.complete(now, name(number)));
    new.restore_completed(now, old.recently_completed_names(now));
    assert_eq!(new.recently_completed(), 2000, "the first one is older");
    for number in [1, 257, 2000] {
        let (reply, mut answer) = oneshot::channel();
        assert!(new.answer_duplicate(&name(number), reply).is_none());
        assert_eq!(answer.try_recv(), Ok(Reply::Ok));
    }
    assert_eq!(
        old.recently_completed_names(now)[0],
        name(2000).0,
        "the last one comes first"
    );
}
