//! Runs `relayctl` against a scripted server, and records the runs in a transcript.

pub mod scripted_server;
pub mod transcript;
