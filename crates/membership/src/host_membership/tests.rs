use super::*;

const DRAIN_GRACE: Duration = Duration::from_secs(2);
const LOCAL_HOST: HostId = 1;
const OTHER_HOST: HostId = 2;

fn settings(mode: DiscoveryMode) -> DiscoverySettings {
    DiscoverySettings {
        mode,
        replicas: 300,
        drain_grace: DRAIN_GRACE,
        seed: 7,
    }
}

fn push_membership() -> HostMembership {
    HostMembership::new(&settings(DiscoveryMode::Push), None)
}

#[test]
fn recently_confirmed_list_serves_at_start_in_poll_mode_only() {
    let now = Instant::now();
    for (mode, seconds_since_contact, may_start) in [
        (DiscoveryMode::Poll, 0, true),
        (DiscoveryMode::Poll, 3, true),
        (DiscoveryMode::Poll, 4, false),
        (DiscoveryMode::Push, 0, false),
    ] {
        let last_contact = Some(Duration::from_secs(seconds_since_contact));
        let mut membership = HostMembership::new(&settings(mode), last_contact);
        membership.set_ready(LOCAL_HOST);
        assert_eq!(
            membership.may_start_call(LOCAL_HOST, now),
            may_start,
            "{mode:?}, {seconds_since_contact} s"
        );
    }
}

#[test]
fn no_call_starts_until_the_list_is_confirmed() {
    let (mut membership, now) = (push_membership(), Instant::now());
    membership.set_ready(LOCAL_HOST);
    assert!(
        !membership.may_start_call(LOCAL_HOST, now + PUSH_CONFIRMATION_TIMEOUT * 100),
        "no poll was sent"
    );
    membership.poll_started(now);
    assert!(!membership.may_start_call(LOCAL_HOST, now));
    membership.set_unavailable(LOCAL_HOST);
    membership.set_ready(OTHER_HOST);
    membership.confirm();
    assert!(
        !membership.may_start_call(LOCAL_HOST, now) && membership.may_start_call(OTHER_HOST, now)
    );
    assert_eq!(membership.confirmation_deadline(), None);
}

#[test]
fn silent_discovery_delays_calls_for_a_bounded_time_despite_repeated_polls() {
    let (mut membership, now) = (push_membership(), Instant::now());
    membership.set_ready(LOCAL_HOST);
    for poll in 0..10 {
        membership.poll_started(now + PUSH_CONFIRMATION_TIMEOUT / 4 * poll);
    }
    let deadline = now + PUSH_CONFIRMATION_TIMEOUT;
    assert_eq!(membership.confirmation_deadline(), Some(deadline));
    assert!(!membership.may_start_call(LOCAL_HOST, deadline - Duration::from_millis(1)));
    assert!(membership.may_start_call(LOCAL_HOST, deadline));
}

#[test]
fn older_full_snapshot_is_accepted_only_after_the_stale_period() {
    let (mut membership, now) = (push_membership(), Instant::now());
    let accepted_at = now + STALE_LIST_ACCEPTED_AFTER;
    let just_before = accepted_at - Duration::from_millis(1);
    let mut check = |version, current, is_full, at| {
        membership.check_freshness(ReceivedList { version, is_full }, current, at)
    };
    assert_eq!(check(8, 8, false, now), ListFreshness::Current);
    assert_eq!(check(7, 8, true, now), ListFreshness::Older);
    assert_eq!(
        check(7, 8, false, accepted_at),
        ListFreshness::Older,
        "an incremental list is never accepted"
    );
    assert_eq!(check(7, 8, true, just_before), ListFreshness::Older);
    assert_eq!(check(7, 8, true, accepted_at), ListFreshness::Current);
    // The next stale period starts with its own first list.
    assert_eq!(check(6, 7, true, accepted_at), ListFreshness::Older);
    assert_eq!(check(7, 7, true, accepted_at), ListFreshness::Current);
    assert_eq!(
        check(6, 7, true, now + STALE_LIST_ACCEPTED_AFTER * 2),
        ListFreshness::Older
    );
}
