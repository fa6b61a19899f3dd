//! `registry`: responses about a tenant agree with earlier ones. Also the state of each tenant, as responses have shown it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::super::violation::Violations;
use crate::history::{TenantChange, TenantSnapshot, TenantVersion};

const NAME: &str = "registry";

/// State and specification of a version. Violations print them as a pair.
type Content = (String, String);

/// A version and when it became known.
struct LearnedVersion {
    at: Duration,
    version: TenantVersion,
}

/// State of a tenant, as observed in requests and responses.
#[derive(Default)]
pub(super) struct KnownTenant {
    /// The newest version that a response has shown.
    pub newest: TenantVersion,
    /// State and specification of each version that a response has shown.
    contents: BTreeMap<TenantVersion, Content>,
    /// The newest versions in order, each with the time at which it became known.
    learned: Vec<LearnedVersion>,
    /// Requested changes without a response, by id.
    pub pending_changes: BTreeMap<u64, TenantChange>,
    /// Changes whose response did not arrive in time, by id.
    timed_out_changes: BTreeMap<u64, TenantChange>,
    /// When the creation of the last tenant of this name was requested.
    pub created_at: Duration,
    /// Messages that are submitted after this time must not be accepted.
    pub closed_since: Option<Duration>,
    /// Messages accepted before this time must end, except those with a call in flight.
    pub rejected_since: Option<Duration>,
}

impl KnownTenant {
    /// Whether a change of a kind may have been made without a response so far.
    pub fn may_have_changed(&self, kind: fn(&TenantChange) -> bool) -> bool {
        self.pending_changes
            .values()
            .chain(self.timed_out_changes.values())
            .any(kind)
    }

    pub fn record_timeout(&mut self, change_id: u64) {
        if let Some(change) = self.pending_changes.remove(&change_id) {
            self.timed_out_changes.insert(change_id, change);
        }
    }

    /// Records a change that was made, and that no other change can have followed.
    pub fn record_confirmed(&mut self, now: Duration, change: TenantChange) {
        match change {
            TenantChange::Pause => self.closed_since = Some(now),
            TenantChange::Remove { reject_queued } => {
                self.closed_since = Some(now);
                self.rejected_since = reject_queued.then_some(now);
            }
            TenantChange::Create | TenantChange::Update | TenantChange::Resume => {}
        }
    }

    /// The newest version that was known at a time.
    pub fn version_at(&self, at: Duration) -> TenantVersion {
        let mut learned = self.learned.iter().rev();
        learned
            .find(|learned| learned.at <= at)
            .map_or_else(TenantVersion::default, |learned| learned.version)
    }

    /// Records a reported state of the tenant, and checks it. `before` is the version that was known when it was requested.
    pub fn record_snapshot(
        &mut self,
        now: Duration,
        tenant: &str,
        snapshot: &TenantSnapshot,
        before: TenantVersion,
        violations: &mut Violations,
    ) {
        let version = snapshot.version;
        if version < before {
            violations.report(
                NAME,
                format!("{tenant} is at {version:?}, and was told to be at {before:?}"),
            );
        }
        let content = (snapshot.state.clone(), snapshot.spec.clone());
        let earlier = self.contents.get(&version);
        if let Some(earlier) = earlier.filter(|earlier| **earlier != content) {
            violations.report(
                NAME,
                format!("{tenant} at {version:?} is {content:?}, and was told as {earlier:?}"),
            );
        }
        self.contents.insert(version, content);
        if version > self.newest {
            self.newest = version;
            self.learned.push(LearnedVersion { at: now, version });
        }
    }

    /// Checks a response that the tenant does not exist, to a request sent at `requested_at`.
    pub fn check_absence(&self, tenant: &str, requested_at: Duration, violations: &mut Violations) {
        let newest = self.contents.get(&self.newest);
        let was_draining = newest.is_some_and(|(state, _)| state == "draining");
        let was_created_since = self.created_at >= requested_at;
        let may_be_removed =
            self.may_have_changed(|change| matches!(change, TenantChange::Remove { .. }));
        if !was_created_since && !was_draining && !may_be_removed {
            violations.report(NAME, format!("{tenant} is gone, and nobody removed it"));
        }
    }
}

/// Whether a tenant accepts messages again after a change.
pub(super) fn is_reopening(change: &TenantChange) -> bool {
    matches!(change, TenantChange::Resume | TenantChange::Create)
}
