use super::{outcome_word, state_word};
use policy::types::{AttemptOutcome, HostState};

/// The words of the version before the types were renamed, which counts over logs of a fleet rely on.
#[test]
fn outcomes_and_host_states_keep_their_words() {
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
    for (outcome, word) in outcomes {
        assert_eq!(outcome_word(outcome), word);
    }
    let states = [
        (HostState::Ready, "Ready"),
        (HostState::Draining, "Draining"),
        (HostState::Removed, "Gone"),
    ];
    for (state, word) in states {
        assert_eq!(state_word(state), word);
    }
}
