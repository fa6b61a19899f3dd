//! Memory and descriptors are bounded.

use super::*;

/// Resident memory of the relay process in KB (`VmRSS` in `/proc`).
fn resident(test_bed: &TestBed) -> usize {
    let id = test_bed.relay.as_ref().expect("runs").id();
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("a process");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("a VmRSS line");
    line.split_whitespace()
        .next()
        .and_then(|kb| kb.parse().ok())
        .expect("a number")
}

fn descriptors(test_bed: &TestBed) -> usize {
    let id = test_bed.relay.as_ref().expect("runs").id();
    fs::read_dir(format!("/proc/{id}/fd"))
        .expect("a process")
        .count()
}

#[test]
fn new_hosts_ids_keys_and_connections_leak_no_resources() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::started(vec![up("h0", &host, 1)]);
    let mut seq = 1;
    let mut churn = |test_bed: &mut TestBed, rounds: usize| {
        for _ in 0..rounds {
            // A new host at the address of the one that is removed.
            seq += 1;
            let gone = entry(&format!("h{}", seq - 2), host.address, 1, "removed");
            test_bed
                .discovery
                .push(seq, &[up(&format!("h{}", seq - 1), &host, 1), gone]);
            for _ in 0..4 {
                // Each message uses its own connection, which is then closed.
                let (id, answer) = test_bed.enqueue("event", 1);
                assert_eq!(answer, "+OK");
                wait_until("the call", || host.calls_of(&id).first().cloned());
            }
            host.recorded_calls.lock().unwrap().clear();
        }
    };
    churn(&mut test_bed, 150);
    let before = (resident(&test_bed), descriptors(&test_bed));
    churn(&mut test_bed, 600);
    let after = wait_until("closed descriptors", || {
        Some(descriptors(&test_bed)).filter(|now| *now < before.1 + 20)
    });
    let grown = resident(&test_bed).saturating_sub(before.0);
    // 2,400 messages, connections, ids and keys, and 600 hosts: a leak of one kilobyte for each would exceed the limit.
    assert!(
        grown < 2048,
        "{before:?} grew by {grown} KB, {after} descriptors"
    );
}
