//! Why a message may not be sent again as things stand.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The condition that has to be met before a resend, or the reason why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResendBlocked {
    /// No attestation counts: the partner's is needed, or those of two operators.
    NeedsAttestation,
    /// Attestations contradict each other: two operators have to agree after the last contradiction.
    NeedsAgreement,
    /// One operator has attested; a second one has to agree.
    NeedsSecondOperator,
    /// The message has taken effect: the record is to be closed.
    Applied,
    /// The record has been sent again as often as [`crate::ResendPolicy::max_resends`] allows.
    ResendsExhausted,
}

impl ResendBlocked {
    /// Its identifier on the wire, in lower case with hyphens.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ResendBlocked::NeedsAttestation => "needs-word",
            ResendBlocked::NeedsAgreement => "needs-agreement",
            ResendBlocked::NeedsSecondOperator => "needs-second-operator",
            ResendBlocked::Applied => "applied",
            ResendBlocked::ResendsExhausted => "resends-spent",
        }
    }
}

impl fmt::Display for ResendBlocked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResendBlocked::NeedsAttestation => {
                "it may have taken effect; the partner's word or two operators' is needed"
            }
            ResendBlocked::NeedsAgreement => {
                "what was said of it is contradictory; two operators have to agree"
            }
            ResendBlocked::NeedsSecondOperator => {
                "another operator's word is needed beside the first"
            }
            ResendBlocked::Applied => "it has taken effect",
            ResendBlocked::ResendsExhausted => "it was sent again as often as may be",
        })
    }
}
