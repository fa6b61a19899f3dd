//! Responses to commands with an idempotency key, which are replayed when the same command is repeated.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::command::{Action, ChangeRecord, Command};
use super::error::RegistryError;
use super::tenant::Tenant;
use crate::secret::Digest;

/// Maximum cached responses; the oldest is evicted first.
pub const MAX_IDEMPOTENCY_KEYS: usize = 1000;
/// How long a response is cached, in milliseconds.
pub const IDEMPOTENCY_KEY_TTL_MS: u64 = 24 * 3600 * 1000;

/// The response to a command with an idempotency key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotentResponse {
    /// Name of the actor who sent the command; keys of different actors are independent.
    pub actor: String,
    /// The idempotency key.
    pub key: String,
    /// Digest of the request.
    pub digest: Digest,
    /// When the command was committed, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The kind of change.
    pub action: Action,
    /// The tenant after the change, as it was in the response.
    pub tenant: Tenant,
}

impl IdempotentResponse {
    /// The response to a committed command; none if the command had no key, or no tenant remains after it.
    fn of_record(record: &ChangeRecord) -> Option<Self> {
        let (key, digest) = record.key.as_ref()?;
        Some(IdempotentResponse {
            actor: record.actor.name.clone(),
            key: key.clone(),
            digest: digest.clone(),
            at_ms: record.at_ms,
            action: record.action,
            tenant: record.to.clone()?,
        })
    }

    fn is_live(&self, now_ms: u64) -> bool {
        now_ms < self.at_ms.saturating_add(IDEMPOTENCY_KEY_TTL_MS)
    }
}

/// The cached responses, oldest first.
#[derive(Default)]
pub(super) struct IdempotencyCache {
    responses: VecDeque<IdempotentResponse>,
}

impl IdempotencyCache {
    /// Creates the cache from the persisted responses of a registry.
    pub(super) fn restore(responses: Vec<IdempotentResponse>) -> Self {
        IdempotencyCache {
            responses: responses.into(),
        }
    }

    /// The cached responses, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &IdempotentResponse> {
        self.responses.iter()
    }

    /// The cached response to an earlier command with the same key; none if there is none or it has expired.
    ///
    /// # Errors
    ///
    /// [`RegistryError::KeyReused`] if the key belongs to another request of the same actor.
    pub(super) fn cached_response(
        &self,
        now_ms: u64,
        command: &Command,
    ) -> Result<Option<&IdempotentResponse>, RegistryError> {
        let Some((key, digest)) = &command.key else {
            return Ok(None);
        };
        let cached = self.responses.iter().find(|response| {
            response.actor == command.actor.name && response.key == *key && response.is_live(now_ms)
        });
        match cached {
            Some(response) if response.digest != *digest => Err(RegistryError::KeyReused),
            cached => Ok(cached),
        }
    }

    /// Caches the response to a committed command, and evicts responses that are expired or beyond
    /// [`MAX_IDEMPOTENCY_KEYS`].
    pub(super) fn observe_committed(&mut self, record: &ChangeRecord) {
        let Some(response) = IdempotentResponse::of_record(record) else {
            return;
        };
        self.responses
            .retain(|other| other.key != response.key || other.actor != response.actor);
        self.responses.push_back(response);
        while self.responses.len() > MAX_IDEMPOTENCY_KEYS
            || self
                .responses
                .front()
                .is_some_and(|oldest| !oldest.is_live(record.at_ms))
        {
            self.responses.pop_front();
        }
    }
}
