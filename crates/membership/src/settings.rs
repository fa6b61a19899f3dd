//! The part of the configuration that concerns discovery.

use std::time::Duration;

/// How changes of the host list reach a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent on the relay's own machine pushes changes. It answers a poll at once.
    Push,
    /// All replicas of the relay poll one shared discovery service.
    Poll,
}

/// The settings that determine how a relay uses discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoverySettings {
    /// How changes of the host list reach the relay.
    pub mode: DiscoveryMode,
    /// Number of relays that use the same discovery service, this one included.
    pub replicas: usize,
    /// How long after the announcement of a draining or removed host new calls to it are tolerated.
    pub drain_grace: Duration,
    /// Seed of the random numbers that spread polls over time.
    pub seed: u64,
}
