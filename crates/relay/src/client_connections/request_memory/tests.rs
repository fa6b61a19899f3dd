//! Tests of the memory for requests: limits, and which request gives way.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{
    ArrivalReservation, RequestMemory, RequestMemoryLimits, MAX_SHORT_REQUEST_BYTES,
    MIN_ARRIVAL_TIME, REQUEST_OVERHEAD_BYTES,
};

const LENGTH: usize = 60_000;

fn memory(requests: usize) -> Rc<RequestMemory> {
    RequestMemory::new(RequestMemoryLimits {
        short: 0,
        long: requests * (LENGTH + REQUEST_OVERHEAD_BYTES),
        arriving: requests * LENGTH,
    })
}

fn is_evicted(reservation: &ArrivalReservation) -> bool {
    reservation.request.is_evicted.get()
}

#[test]
fn long_requests_are_limited_in_bytes_and_do_not_hold_up_short_ones() {
    let memory = memory(3);
    let held: Vec<_> = (0..3).map(|_| memory.try_reserve(LENGTH)).collect();
    assert!(held.iter().all(Option::is_some));
    assert!(memory.try_reserve(MAX_SHORT_REQUEST_BYTES + 1).is_none());
    assert!(memory.try_reserve(MAX_SHORT_REQUEST_BYTES).is_some());
    drop(held);
    assert!(memory.try_reserve(LENGTH).is_some());
    let most = 3 * (LENGTH + REQUEST_OVERHEAD_BYTES);
    assert_eq!(memory.usage().peak_long, most);
}

#[test]
fn any_limit_admits_a_request_of_the_maximum_length() {
    let memory = RequestMemory::new(RequestMemoryLimits {
        short: 0,
        long: 0,
        arriving: 0,
    });
    assert!(memory.try_reserve(super::MAX_REQUEST_BYTES).is_some());
    let now = Instant::now();
    assert!(memory
        .reserve_arrival(now, super::MAX_REQUEST_BYTES)
        .is_some());
}

#[test]
fn slowest_request_gives_way_when_memory_is_used_up() {
    let memory = memory(3);
    let began = Instant::now();
    let requests: Vec<_> = (0..3)
        .map(|_| memory.reserve_arrival(began, LENGTH).expect("free"))
        .collect();
    for (request, arrived) in requests.iter().zip([20_000, 5_000, 50_000]) {
        request.record_arrival(arrived);
    }
    let later = began + MIN_ARRIVAL_TIME;
    assert!(memory.reserve_arrival(later, LENGTH).is_none());
    let evicted: Vec<_> = requests.iter().map(is_evicted).collect();
    assert_eq!(evicted, [false, true, false]);
    assert!(memory.reserve_arrival(later, LENGTH).is_none());
    assert!(is_evicted(&requests[0]));
    assert_eq!(memory.usage().too_slow, 2);
}

#[test]
fn request_does_not_give_way_before_it_had_time_to_arrive() {
    let memory = memory(1);
    let began = Instant::now();
    let request = memory.reserve_arrival(began, LENGTH).expect("free");
    let just_before = began + MIN_ARRIVAL_TIME - Duration::from_millis(1);
    assert!(memory.reserve_arrival(just_before, LENGTH).is_none());
    assert!(!is_evicted(&request));
}
