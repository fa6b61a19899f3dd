use super::{outcome_label, state_label};
use policy::types::{AttemptOutcome, HostState};

/// The labels of the version before the types were renamed, which counts over logs of a fleet rely on.
#[test]
fn outcomes_and_host_states_keep_their_labels() {
    let outcomes = [
        (AttemptOutcome::Delivered, "Ok"),
        (AttemptOutcome::Error, "Error"),
        (AttemptOutcome::Rejected { retry_after: 7 }, "Full"),
        (AttemptOutcome::Timeout, "Timeout"),
        (AttemptOutcome::ConnectFailed, "ConnectFailed"),
        (AttemptOutcome::Reset, "Reset"),
        (AttemptOutcome::ConnectionLost, "Dropped"),
        (AttemptOutcome::Cancelled, "Cancelled"),
        (AttemptOutcome::Obsolete, "Moot"),
        (AttemptOutcome::NotStarted, "NotBegun"),
    ];
    for (outcome, label) in outcomes {
        assert_eq!(outcome_label(outcome), label);
    }
    let states = [
        (HostState::Ready, "Ready"),
        (HostState::Draining, "Draining"),
        (HostState::Removed, "Gone"),
    ];
    for (state, label) in states {
        assert_eq!(state_label(state), label);
    }
}
