//! Memory and descriptors are bounded.

use super::*;

/// A figure of the process in /proc: a status line's number, or the count of descriptors.
fn resident(scene: &Scene) -> usize {
    let id = scene.relay.as_ref().expect("runs").id();
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("a process");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("its memory");
    line.split_whitespace()
        .next()
        .and_then(|kb| kb.parse().ok())
        .expect("a number")
}

fn descriptors(scene: &Scene) -> usize {
    let id = scene.relay.as_ref().expect("runs").id();
    fs::read_dir(format!("/proc/{id}/fd"))
        .expect("a process")
        .count()
}

#[test]
fn ever_new_hosts_ids_keys_and_connections_leave_nothing_behind() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::started(vec![up("h0", &host, 1)]);
    let mut seq = 1;
    let mut churn = |scene: &mut Scene, rounds: usize| {
        for _ in 0..rounds {
            // A new host at the address of the one that goes.
            seq += 1;
            let gone = entry(&format!("h{}", seq - 2), host.address, 1, "removed");
            scene
                .discovery
                .push(seq, &[up(&format!("h{}", seq - 1), &host, 1), gone]);
            for _ in 0..4 {
                // Each on a connection of its own, which is dropped.
                let (id, answer) = scene.enqueue("event", 1);
                assert_eq!(answer, "+OK");
                until("the call", || host.calls_of(&id).first().cloned());
            }
            host.seen.lock().unwrap().clear();
        }
    };
    churn(&mut scene, 150);
    let before = (resident(&scene), descriptors(&scene));
    churn(&mut scene, 600);
    let after = until("few descriptors", || {
        Some(descriptors(&scene)).filter(|now| *now < before.1 + 20)
    });
    let grown = resident(&scene).saturating_sub(before.0);
    // 2,400 messages, connections, ids and keys, and 600 hosts: a kilobyte left by each would be more.
    assert!(
        grown < 2048,
        "{before:?} grew by {grown} KB, {after} descriptors"
    );
}
