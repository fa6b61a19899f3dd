//! Tests of the division of the memory limit: each row is a machine that a page names.

use super::*;

fn budget(memory_mb: f64, disk_mb: f64, processes: usize) -> MemoryBudget {
    let limits = MachineLimits {
        memory_mb,
        disk_mb,
        processes,
    };
    MemoryBudget::new(limits).expect("enough memory")
}

/// Bytes of all parts of all processes, and of the files.
fn total(budget: &MemoryBudget, processes: usize) -> usize {
    let process = BASE_BYTES
        + budget.max_clients * CONNECTION_BYTES
        + budget.requests.short
        + budget.requests.long
        + budget.requests.arriving
        + budget.completed_names.all * COMPLETED_NAME_BYTES
        + budget.host_list;
    let messages = budget.state_files as f64 * MESSAGES_PER_FILES;
    processes * process + budget.state_files as usize + messages as usize
}

#[test]
fn all_parts_together_stay_under_the_limit() {
    for memory_mb in [32.0, 64.0, 192.0, 2048.0] {
        for disk_mb in [0.25, 3.0, 30.0, 3000.0] {
            for processes in [1, 2] {
                let budget = budget(memory_mb, disk_mb, processes);
                let total = total(&budget, processes);
                let target = (memory_mb * BYTES_PER_MB * 0.8) as usize;
                assert!(
                    total < target,
                    "{memory_mb} {disk_mb} {processes}: {budget:?} {total}"
                );
            }
        }
    }
}

#[test]
fn files_take_the_disk_limit_or_their_share_of_memory() {
    assert_eq!(budget(32.0, 3.0, 1).state_files, 3_000_000);
    assert_eq!(budget(32.0, 30.0, 1).state_files, 3_200_000);
    assert_eq!(budget(192.0, 30.0, 2).state_files, 19_200_000);
}

#[test]
fn least_memory_of_the_pages_serves_as_many_clients_as_descriptors_allow() {
    assert!(budget(32.0, 30.0, 1).max_clients >= 500);
    assert!(budget(64.0, 3.0, 2).max_clients >= 500);
}

/// A page names 120 messages a second, on one day three times as many; their names are kept for 30 s or longer.
#[test]
fn least_memory_and_disk_of_the_pages_keep_the_names_of_the_busiest_day() {
    let names = budget(32.0, 3.0, 1).completed_names;
    assert!(names.not_repeatable >= 3 * 120 * 30, "{names:?}");
}

#[test]
fn too_little_memory_is_reported_with_what_is_needed() {
    for (disk_mb, processes) in [(3.0, 1), (30.0, 1), (3.0, 2), (30.0, 2)] {
        let limits = |memory_mb| MachineLimits {
            memory_mb,
            disk_mb,
            processes,
        };
        let error = MemoryBudget::new(limits(4.0)).expect_err("too little");
        assert_eq!(MemoryBudget::new(limits(error.needed_mb)).err(), None);
        assert!(MemoryBudget::new(limits(error.needed_mb - 1.0)).is_err());
    }
}
