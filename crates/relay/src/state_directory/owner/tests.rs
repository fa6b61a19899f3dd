//! Tests with two owners of one directory on the real file system. One process can act as both, since locks belong to
//! open files, not to processes.

use std::fs;
use std::path::PathBuf;

use policy::types::AttemptOutcome;
use policy::HandoverSnapshot;
use relay_events::CompletedCall;
use runtime::{OsRuntime, Runtime};

use crate::state_directory::error::OwnershipError;
use crate::state_directory::ownership::{HANDOVER_POLL_INTERVAL, REQUEST_CHECK_INTERVAL};
use crate::state_directory::test_support::{delivered, OPEN_CALL};
use crate::state_directory::{DirectoryOwner, HandoverState, ListenerOrigin, StateDirectory};
use crate::test_support::run_local;

const DISK_LIMIT: u64 = 3_000_000;

/// An empty directory for one test, removed when dropped.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ownership-{name}-{}", std::process::id()));
        drop(fs::remove_dir_all(&path));
        fs::create_dir_all(&path).expect("a directory");
        TestDirectory(path)
    }

    async fn acquire(
        &self,
        listener: ListenerOrigin,
    ) -> Result<DirectoryOwner<OsRuntime>, OwnershipError> {
        StateDirectory::new(&OsRuntime, &self.0)
            .acquire(listener)
            .await
    }

    /// Acquires the directory, whose owner lock is free.
    async fn acquire_free(&self, listener: ListenerOrigin) -> DirectoryOwner<OsRuntime> {
        self.acquire(listener).await.expect("the directory is free")
    }

    fn exists(&self, name: &str) -> bool {
        self.0.join(name).exists()
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

/// The state of a process with one open call.
fn state() -> HandoverState {
    HandoverState::new(false, vec![OPEN_CALL], HandoverSnapshot::default())
}

fn open_call_delivered() -> CompletedCall {
    delivered(OPEN_CALL.id, OPEN_CALL.attempt)
}

#[test]
fn directory_goes_to_the_successor_and_call_ends_follow() {
    run_local(async {
        let directory = TestDirectory::new("handover");
        let mut old = directory.acquire_free(ListenerOrigin::Inherited).await;
        assert!(old.read_handover().await.is_none());
        assert!(!old.took_over() && !old.handover_requested());
        let handover = async {
            while !old.handover_requested() {
                OsRuntime.sleep(HANDOVER_POLL_INTERVAL).await;
            }
            let mut departing = old.start_handover(state(), DISK_LIMIT).expect("it fits");
            departing.release_directory();
            departing
        };
        let (new, mut departing) =
            tokio::join!(directory.acquire(ListenerOrigin::Inherited), handover);
        let mut new = new.expect("the directory is handed over");
        assert!(new.took_over() && !departing.is_replaced());
        let left = new.read_handover().await.expect("a snapshot");
        assert_eq!(left.open_calls, [OPEN_CALL]);
        new.withdraw_request();
        assert!(departing.is_replaced() && !departing.is_idle());
        assert!(new.take_call_ends().is_empty());
        departing
            .report_call_end(&open_call_delivered())
            .expect("written");
        assert!(departing.is_idle());
        assert_eq!(new.take_call_ends(), [open_call_delivered()]);
        new.clean_up();
        assert!(
            directory.exists("upgrade.state"),
            "the old process still runs"
        );
        drop(departing);
        new.clean_up();
        assert!(!directory.exists("upgrade.state") && !directory.exists("upgrade.ends"));
        assert!(!new.took_over());
    });
}

#[test]
fn departing_process_reclaims_the_directory_of_a_successor_that_died() {
    run_local(async {
        let directory = TestDirectory::new("reclaim");
        let mut old = directory.acquire_free(ListenerOrigin::Inherited).await;
        old.read_handover().await;
        let mut departing = old.start_handover(state(), DISK_LIMIT).expect("it fits");
        departing.release_directory();
        let Err(departing) = DirectoryOwner::reclaim(departing) else {
            panic!("reclaimed before the check was due");
        };
        OsRuntime.sleep(REQUEST_CHECK_INTERVAL).await;
        let Ok(mut new) = DirectoryOwner::reclaim(departing) else {
            panic!("not reclaimed although both locks are free");
        };
        assert!(!new.took_over() && !new.handover_requested());
        assert!(new.read_handover().await.is_some());
        assert!(new.take_call_ends().is_empty(), "the call is still open");
        new.call_completed(&open_call_delivered());
        new.clean_up();
        assert!(!directory.exists("upgrade.state"));
    });
}

#[test]
fn calls_of_an_exited_predecessor_end_as_connection_lost() {
    run_local(async {
        let directory = TestDirectory::new("lost");
        let mut old = directory.acquire_free(ListenerOrigin::Inherited).await;
        old.read_handover().await;
        drop(old.start_handover(state(), DISK_LIMIT).expect("it fits"));
        let mut new = directory.acquire_free(ListenerOrigin::Bound).await;
        assert!(new.read_handover().await.is_some() && !new.took_over());
        let ends = new.take_call_ends();
        assert_eq!(ends.len(), 1);
        assert_eq!(ends[0].outcome, AttemptOutcome::ConnectionLost);
    });
}

#[test]
fn second_process_without_an_inherited_listener_is_rejected() {
    run_local(async {
        let directory = TestDirectory::new("in-use");
        let _owner = directory.acquire_free(ListenerOrigin::Bound).await;
        let error = directory.acquire(ListenerOrigin::Bound).await.err();
        assert!(matches!(error, Some(OwnershipError::InUse { .. })));
    });
}

#[test]
fn missing_directory_is_unusable() {
    run_local(async {
        let directory = TestDirectory::new("missing");
        fs::remove_dir_all(&directory.0).expect("removed");
        let error = directory.acquire(ListenerOrigin::Bound).await.err();
        assert!(matches!(error, Some(OwnershipError::Unusable { .. })));
    });
}
