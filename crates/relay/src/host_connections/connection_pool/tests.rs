use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::host_of_longest_idle;

/// If an empty list counted as the longest idle one, removing its first connection would panic.
#[test]
fn host_without_idle_connections_is_never_the_longest_idle() {
    let start = Instant::now();
    let later = |millis| start + Duration::from_millis(millis);
    let idle = BTreeMap::from([
        (1, vec![]),
        (2, vec![later(20), later(30)]),
        (3, vec![later(10)]),
        (4, vec![later(10)]),
    ]);
    assert_eq!(host_of_longest_idle(&idle, |since| *since), Some(3));
    let empty = BTreeMap::from([(1, Vec::<Instant>::new())]);
    assert_eq!(host_of_longest_idle(&empty, |since| *since), None);
}
