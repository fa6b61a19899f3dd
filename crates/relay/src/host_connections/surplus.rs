//! Responses that follow the response to the last request of a connection, without I/O.

use policy::types::{AttemptOutcome, Micros};

use super::response;
use super::response_framing::ResponseFraming;

/// Maximum number of surplus responses that are told apart on one connection.
const MAX_SURPLUS_RESPONSES: usize = 16;

/// The surplus responses of a connection since its last request.
#[derive(Debug, Default)]
pub(super) struct SurplusResponses {
    /// Outcomes of the responses whose heads are complete.
    outcomes: Vec<AttemptOutcome>,
    /// The response whose bytes are arriving; `None` between two responses.
    partial: Option<ResponseFraming>,
    /// The head of `partial` is complete, and its outcome is among `outcomes`.
    has_partial_head: bool,
    is_endless: bool,
}

impl SurplusResponses {
    /// Processes bytes that follow a complete response.
    pub(super) fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && !self.is_endless {
            let mut framing = self.partial.take().unwrap_or_default();
            let used = framing.push(bytes);
            bytes = &bytes[used..];
            self.add(framing);
        }
    }

    fn add(&mut self, framing: ResponseFraming) {
        self.is_endless |= framing.is_unbounded() || self.outcomes.len() >= MAX_SURPLUS_RESPONSES;
        let had_head = self.has_partial_head;
        self.has_partial_head = framing.head().is_some() && !framing.is_complete();
        match framing.head() {
            Some(head) if !had_head => self.outcomes.push(response::interpret(head).outcome),
            _ => {}
        }
        if !framing.is_complete() {
            self.partial = Some(framing);
        }
    }

    /// Whether no byte has arrived.
    pub(super) fn is_empty(&self) -> bool {
        self.count() == 0
    }

    /// Number of responses, including an incomplete one.
    pub(super) fn count(&self) -> u64 {
        let has_headless = self.partial.is_some() && !self.has_partial_head;
        self.outcomes.len() as u64 + u64::from(has_headless)
    }

    /// Outcomes of the responses whose heads are complete.
    pub(super) fn outcomes(&self) -> &[AttemptOutcome] {
        &self.outcomes
    }

    /// Whether the responses cannot be told apart, or are too many.
    pub(super) fn is_endless(&self) -> bool {
        self.is_endless
    }

    /// Whether the outcomes of some responses are unknown.
    pub(super) fn is_incomplete(&self) -> bool {
        self.is_endless || self.partial.is_some() && !self.has_partial_head
    }

    /// The longest wait that the responses request; zero if none.
    pub(super) fn retry_after(&self) -> Micros {
        let wait = |outcome| match outcome {
            AttemptOutcome::Rejected { retry_after } => retry_after,
            _ => 0,
        };
        self.outcomes.iter().copied().map(wait).max().unwrap_or(0)
    }
}
