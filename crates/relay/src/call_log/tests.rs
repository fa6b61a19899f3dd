use super::{outcome_label, state_label};
use policy::types::{AttemptOutcome, HostState};

/// Tools that evaluate the logs of a fleet match these labels.
#[test]
fn outcomes_and_host_states_keep_their_labels() {
    let outcomes = [
        (AttemptOutcome::Delivered, "delivered"),
        (AttemptOutcome::Error, "error"),
        (AttemptOutcome::Rejected { retry_after: 7 }, "rejected"),
        (AttemptOutcome::Timeout, "timeout"),
        (AttemptOutcome::ConnectFailed, "connect_failed"),
        (AttemptOutcome::Reset, "reset"),
        (AttemptOutcome::ConnectionLost, "connection_lost"),
        (AttemptOutcome::Cancelled, "cancelled"),
        (AttemptOutcome::Obsolete, "obsolete"),
        (AttemptOutcome::NotStarted, "not_started"),
    ];
    for (outcome, label) in outcomes {
        assert_eq!(outcome_label(outcome), label);
    }
    let states = [
        (HostState::Ready, "ready"),
        (HostState::Draining, "draining"),
        (HostState::Removed, "removed"),
    ];
    for (state, label) in states {
        assert_eq!(state_label(state), label);
    }
}
