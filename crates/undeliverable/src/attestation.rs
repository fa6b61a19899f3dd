//! Attestations: claims by partners and operators on whether a message took effect, and how several claims resolve.
//!
//! An attestation of `applied` always counts, because an effect is permanent. An attestation of `not applied` counts
//! only if it covers every attempt: it was made for the current number of resends and requested after the last attempt
//! had settled, as [`crate::resend_policy`] determines. `unknown` never counts. The attestations that count are reduced to three properties, which select a
//! row of this table:
//!
//! | claims that count | partner's latest claim | two operators agree on | resolution |
//! | --- | --- | --- | --- |
//! | none | any | any | needs an attestation, or a later one if one was requested too early |
//! | all `not applied` | in date | any | not applied |
//! | all `not applied` | expired or none | `not applied` | not applied |
//! | all `not applied` | expired | nothing | needs an attestation |
//! | all `not applied` | none | nothing | needs a second operator |
//! | all `applied` | in date or expired | any | applied |
//! | all `applied` | none | `applied` | applied |
//! | all `applied` | none | nothing | needs a second operator |
//! | both | any | `applied` | applied |
//! | both | any | `not applied` | not applied |
//! | both | any | nothing | needs agreement |
//!
//! If both are claimed, only those operators count who attested after the partner's latest claim and after the last
//! change from one claim to the other.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::resend_blocked::ResendBlocked;
use crate::Micros;

/// Number of different operators who have to agree to settle a claim.
const REQUIRED_OPERATORS: usize = 2;

/// A claim on whether a message took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionClaim {
    /// The message took effect.
    Applied,
    /// The message did not take effect, and will not.
    NotApplied,
    /// The attester does not know.
    Unknown,
}

/// Who makes a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Attester {
    /// The partner, queried by the message's id.
    Partner,
    /// An operator, by name.
    Operator(String),
}

/// A claim about the message of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attestation {
    /// Who made the claim.
    pub attester: Attester,
    /// What is claimed.
    pub claim: ExecutionClaim,
    /// When the claim was requested, in Unix time. It does not cover attempts after that.
    pub at: Micros,
    /// Number of resends of the record when the claim was made.
    pub resends: u32,
}

/// What an attestation has to cover, and how long a partner's attestation remains valid.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttestationWindow {
    /// Current number of resends of the record.
    pub(crate) resends: u32,
    /// The time from which no attempt that may have run can still be running, in Unix time; `None` if it is not known yet.
    pub(crate) settled_at: Option<Micros>,
    /// The current Unix time.
    pub(crate) now: Micros,
    /// How long a partner's claim of `not applied` remains valid.
    pub(crate) validity: Micros,
}

impl AttestationWindow {
    fn counts(&self, attestation: &Attestation) -> bool {
        match attestation.claim {
            ExecutionClaim::Applied => true,
            ExecutionClaim::NotApplied => self.covers_all_attempts(attestation),
            ExecutionClaim::Unknown => false,
        }
    }

    /// An attestation dated after `now` was made before the clock was set back. Its age is unknown, so it does not
    /// count.
    fn covers_all_attempts(&self, attestation: &Attestation) -> bool {
        attestation.resends == self.resends
            && !self.is_too_early(attestation)
            && attestation.at <= self.now
    }

    /// Whether an attempt may still have been running when the attestation was requested.
    fn is_too_early(&self, attestation: &Attestation) -> bool {
        self.settled_at
            .is_none_or(|settled_at| attestation.at < settled_at)
    }

    /// Whether an attestation would count if it had been requested later.
    fn has_early_attestation(&self, attestations: &[Attestation]) -> bool {
        attestations.iter().any(|attestation| {
            attestation.claim == ExecutionClaim::NotApplied
                && attestation.resends == self.resends
                && self.is_too_early(attestation)
        })
    }

    /// Time until an attestation counts if it is requested then; `None` if that is not known yet.
    fn retry_after(&self) -> Option<Micros> {
        Some(self.settled_at?.saturating_sub(self.now))
    }

    /// What is missing if no attestation counts.
    fn missing_attestation(&self, attestations: &[Attestation]) -> ResendBlocked {
        if self.has_early_attestation(attestations) {
            let retry_after = self.retry_after();
            return ResendBlocked::AttestationTooEarly { retry_after };
        }
        ResendBlocked::NeedsAttestation
    }
}

/// The combined claims of all attestations that count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Claims {
    None,
    NotApplied,
    Applied,
    Contradictory,
}

impl Claims {
    fn of_attestations(counted: &[&Attestation]) -> Self {
        let any = |claim| counted.iter().any(|attestation| attestation.claim == claim);
        match (
            any(ExecutionClaim::Applied),
            any(ExecutionClaim::NotApplied),
        ) {
            (false, false) => Claims::None,
            (false, true) => Claims::NotApplied,
            (true, false) => Claims::Applied,
            (true, true) => Claims::Contradictory,
        }
    }
}

/// The age of the partner's latest claim that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PartnerClaim {
    None,
    Expired,
    InDate,
}

/// The claim on which at least [`REQUIRED_OPERATORS`] operators agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperatorAgreement {
    None,
    NotApplied,
    Applied,
}

/// The three properties that select a row of the module's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Evidence {
    claims: Claims,
    partner: PartnerClaim,
    operators: OperatorAgreement,
}

impl Evidence {
    fn gather(attestations: &[Attestation], window: &AttestationWindow) -> Self {
        let counted: Vec<&Attestation> = attestations
            .iter()
            .filter(|attestation| window.counts(attestation))
            .collect();
        let claims = Claims::of_attestations(&counted);
        let latest_partner = counted
            .iter()
            .rposition(|attestation| attestation.attester == Attester::Partner);
        let decisive = match claims {
            Claims::Contradictory => after_last_contradiction(&counted, latest_partner),
            _ => &counted[..],
        };
        Evidence {
            claims,
            partner: partner_claim(latest_partner.map(|index| counted[index]), window),
            operators: operator_agreement(decisive),
        }
    }
}

/// The attestations after the partner's latest one and from the last change of claim on. All of them make the same
/// claim.
fn after_last_contradiction<'a, 'b>(
    counted: &'a [&'b Attestation],
    latest_partner: Option<usize>,
) -> &'a [&'b Attestation] {
    let after_partner = latest_partner.map_or(0, |index| index + 1);
    let after_change = counted
        .windows(2)
        .rposition(|pair| pair[0].claim != pair[1].claim)
        .map_or(0, |index| index + 1);
    &counted[after_partner.max(after_change)..]
}

fn partner_claim(latest: Option<&Attestation>, window: &AttestationWindow) -> PartnerClaim {
    match latest {
        None => PartnerClaim::None,
        Some(latest) if latest.at.saturating_add(window.validity) < window.now => {
            PartnerClaim::Expired
        }
        Some(_) => PartnerClaim::InDate,
    }
}

/// The agreement of operators in `decisive`, whose attestations all make the same claim. An operator who attested twice
/// counts once.
fn operator_agreement(decisive: &[&Attestation]) -> OperatorAgreement {
    let operators: BTreeSet<&str> = decisive
        .iter()
        .filter_map(|attestation| match &attestation.attester {
            Attester::Operator(name) => Some(name.as_str()),
            Attester::Partner => None,
        })
        .collect();
    if operators.len() < REQUIRED_OPERATORS {
        return OperatorAgreement::None;
    }
    match decisive[0].claim {
        ExecutionClaim::Applied => OperatorAgreement::Applied,
        ExecutionClaim::NotApplied => OperatorAgreement::NotApplied,
        ExecutionClaim::Unknown => OperatorAgreement::None,
    }
}

/// Checks that the attestations establish that no attempt took effect. Implements the module's table row by row.
///
/// # Errors
///
/// [`ResendBlocked::Applied`] if they establish that an attempt took effect, otherwise the evidence that is missing.
pub(crate) fn resolve(
    attestations: &[Attestation],
    window: &AttestationWindow,
) -> Result<(), ResendBlocked> {
    use OperatorAgreement as Operators;
    use PartnerClaim as Partner;
    use ResendBlocked::{Applied, NeedsAgreement, NeedsAttestation, NeedsSecondOperator};

    let evidence = Evidence::gather(attestations, window);
    match (evidence.claims, evidence.partner, evidence.operators) {
        (Claims::None, _, _) => Err(window.missing_attestation(attestations)),
        (Claims::NotApplied, Partner::InDate, _) => Ok(()),
        (Claims::NotApplied, _, Operators::NotApplied) => Ok(()),
        (Claims::NotApplied, Partner::Expired, _) => Err(NeedsAttestation),
        (Claims::NotApplied, Partner::None, _) => Err(NeedsSecondOperator),
        (Claims::Applied, Partner::InDate | Partner::Expired, _) => Err(Applied),
        (Claims::Applied, _, Operators::Applied) => Err(Applied),
        (Claims::Applied, Partner::None, _) => Err(NeedsSecondOperator),
        (Claims::Contradictory, _, Operators::Applied) => Err(Applied),
        (Claims::Contradictory, _, Operators::NotApplied) => Ok(()),
        (Claims::Contradictory, _, Operators::None) => Err(NeedsAgreement),
    }
}
