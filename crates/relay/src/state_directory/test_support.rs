//! Values shared by the tests of several modules.

use policy::types::{AttemptOutcome, MessageId};
use relay_events::CompletedCall;

use super::OpenCall;

/// A call that is open at a hand-over.
pub(super) const OPEN_CALL: OpenCall = OpenCall {
    id: 7,
    attempt: 0,
    host: 3,
};

/// The end of a call that delivered its message.
pub(super) fn delivered(id: MessageId, attempt: u8) -> CompletedCall {
    CompletedCall {
        id,
        attempt,
        host: OPEN_CALL.host,
        outcome: AttemptOutcome::Delivered,
        is_final: false,
        load_report: None,
        elapsed: 40_000,
        opened_connection: false,
    }
}
