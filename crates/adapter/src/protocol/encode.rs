//! Encodes actions.

use policy::types::{Action, Micros};

/// Peer number that addresses all peers.
const ALL_PEERS: u16 = u16::MAX;
/// The longest duration in the protocol, in microseconds. A larger number would be read as negative, that is, as already
/// expired.
const MAX_DURATION: Micros = i32::MAX as Micros;

/// Action codes, the first byte of each record.
mod action_code {
    pub(super) const SET_TIMER: u8 = 0;
    pub(super) const ABORT: u8 = 1;
    pub(super) const PROBE: u8 = 2;
    pub(super) const SEND: u8 = 3;
    pub(super) const CANCEL: u8 = 4;
    pub(super) const REJECT: u8 = 5;
    pub(super) const POLL_DISCOVERY: u8 = 6;
    pub(super) const LOG: u8 = 7;
    pub(super) const SUBSCRIBE: u8 = 8;
    pub(super) const SEND_TO_PEERS: u8 = 9;
    pub(super) const FAIL: u8 = 10;
    pub(super) const CLOSE_IDLE_CONNECTIONS: u8 = 11;
}

/// Appends the record of a relay's action to `output`. Durations and contents beyond the protocol's limits are
/// capped or truncated.
pub fn encode_action(relay: u16, action: &Action, output: &mut Vec<u8>) {
    let mut record = RecordWriter { relay, output };
    match action {
        Action::Send { id, host, timeout } => record
            .start(action_code::SEND)
            .bytes(id.to_le_bytes())
            .bytes(host.to_le_bytes())
            .duration(*timeout),
        Action::Probe(host) => record.start(action_code::PROBE).bytes(host.to_le_bytes()),
        Action::SetTimer { delay, token } => record
            .start(action_code::SET_TIMER)
            .duration(*delay)
            .bytes(token.to_le_bytes()),
        Action::Reject { id, retry_after } => record
            .start(action_code::REJECT)
            .bytes(id.to_le_bytes())
            .duration(*retry_after),
        Action::Fail(id) => record.start(action_code::FAIL).bytes(id.to_le_bytes()),
        Action::Cancel { id, attempt } => record
            .start(action_code::CANCEL)
            .bytes(id.to_le_bytes())
            .bytes([*attempt]),
        Action::CloseIdleConnections(host) => record
            .start(action_code::CLOSE_IDLE_CONNECTIONS)
            .bytes(host.to_le_bytes()),
        Action::Subscribe(is_subscribed) => record
            .start(action_code::SUBSCRIBE)
            .bytes([u8::from(*is_subscribed)]),
        Action::PollDiscovery => record.start(action_code::POLL_DISCOVERY),
        Action::SendToPeers { to, content } => record
            .start(action_code::SEND_TO_PEERS)
            .bytes(to.unwrap_or(ALL_PEERS).to_le_bytes())
            .content(content),
        Action::Log(text) => record.start(action_code::LOG).content(text.as_bytes()),
        Action::Abort(text) => record.start(action_code::ABORT).content(text.as_bytes()),
    };
}

/// Appends the fields of one record.
struct RecordWriter<'a> {
    relay: u16,
    output: &'a mut Vec<u8>,
}

impl RecordWriter<'_> {
    fn start(&mut self, code: u8) -> &mut Self {
        self.output.push(code);
        let relay = self.relay;
        self.bytes(relay.to_le_bytes())
    }

    fn bytes<const N: usize>(&mut self, bytes: [u8; N]) -> &mut Self {
        self.output.extend(bytes);
        self
    }

    fn duration(&mut self, duration: Micros) -> &mut Self {
        self.bytes((duration.min(MAX_DURATION) as u32).to_le_bytes())
    }

    /// Appends the content, preceded by its length in 2 bytes. Content that is too long is truncated.
    fn content(&mut self, content: &[u8]) -> &mut Self {
        let length = content.len().min(usize::from(u16::MAX));
        self.bytes((length as u16).to_le_bytes());
        self.output.extend(&content[..length]);
        self
    }
}
