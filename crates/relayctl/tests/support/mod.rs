//! Running `relayctl` against a scripted server, and keeping what it did as a transcript.

pub mod scripted_server;
pub mod transcript;
