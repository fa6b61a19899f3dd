//! Why a message may not be resent at present.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The condition that has to be met before a resend, or the reason why no resend is possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResendBlocked {
    /// No attestation counts: an attestation by the partner or by two operators is needed.
    NeedsAttestation,
    /// An attestation was requested while an attempt could still be running: a later one is needed.
    AttestationTooEarly {
        /// Microseconds until one that is requested then counts; `None` while a call is open.
        retry_after: Option<u64>,
    },
    /// Attestations contradict each other: two operators have to agree after the last contradiction.
    NeedsAgreement,
    /// One operator has attested; a second one has to agree.
    NeedsSecondOperator,
    /// The message has taken effect; the record should be closed.
    Applied,
    /// The record has been resent [`crate::ResendPolicy::max_resends`] times.
    ResendsExhausted,
}

impl ResendBlocked {
    /// The identifier on the wire, in lower case with hyphens.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ResendBlocked::NeedsAttestation => "needs-word",
            ResendBlocked::AttestationTooEarly { .. } => "word-too-early",
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
            ResendBlocked::AttestationTooEarly { .. } => {
                "what was said of it was asked for while a call could still take effect; a later word is needed"
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
