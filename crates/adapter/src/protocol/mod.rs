//! The simulator's protocol: batches of events in, replies with the actions out. All numbers are little-endian.

mod decode;
mod encode;
mod error;
mod reader;

use std::collections::BTreeMap;

use policy::types::{Event, Micros};
use policy::DeliveryPolicy;
use tenancy::FairQueueScheduler;

pub use encode::encode_action;
pub use error::ProtocolError;

use decode::{Record, RecordDecoder};
use reader::ByteReader;

/// Length of a batch's header in bytes: the payload's length (4), then the clock (8).
pub const BATCH_HEADER_BYTES: usize = 12;
/// Length of a reply's header in bytes: the number of records (4), then their total length in bytes (4).
const REPLY_HEADER_BYTES: usize = 8;

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// Length of the payload that follows, in bytes.
    pub payload_length: usize,
    /// The simulator's clock, in microseconds.
    pub now: Micros,
}

/// Parses the header of a batch. Any bytes are a valid header.
#[must_use]
pub fn parse_batch_header(bytes: &[u8; BATCH_HEADER_BYTES]) -> BatchHeader {
    let mut reader = ByteReader::new(bytes);
    let payload_length = reader.u32().unwrap_or(0) as usize;
    let now = reader.u64().unwrap_or(0);
    BatchHeader {
        payload_length,
        now,
    }
}

/// The relays of one simulator process, each with a delivery policy of its own.
///
/// They share only the host lists, which the simulator sends once for all relays.
#[derive(Default)]
pub struct Adapter {
    relays: BTreeMap<u16, DeliveryPolicy>,
    decoder: RecordDecoder,
}

impl Adapter {
    /// Handles the payload of one batch, and returns the reply including its header.
    ///
    /// All records are decoded before the first event is handled. Each relay handles all its events of the batch
    /// together, in the order of the relays' numbers.
    ///
    /// # Errors
    ///
    /// The first record that is not valid. Relays that earlier records started or stopped remain started or stopped.
    pub fn handle_batch(&mut self, now: Micros, payload: &[u8]) -> Result<Vec<u8>, ProtocolError> {
        let events_by_relay = self.decode_events(payload)?;
        let mut records = Vec::new();
        let mut record_count = 0u32;
        let mut actions = Vec::new();
        for (number, events) in events_by_relay {
            if let Some(relay) = self.relays.get_mut(&number) {
                relay.handle(now, events, &mut actions);
                for action in actions.drain(..) {
                    encode_action(number, &action, &mut records);
                    record_count += 1;
                }
            }
        }
        let mut reply = Vec::with_capacity(REPLY_HEADER_BYTES + records.len());
        reply.extend(record_count.to_le_bytes());
        reply.extend((records.len() as u32).to_le_bytes());
        reply.extend(records);
        Ok(reply)
    }

    /// Decodes the payload, starts and stops relays, and collects the events of each relay.
    fn decode_events(
        &mut self,
        payload: &[u8],
    ) -> Result<BTreeMap<u16, Vec<Event>>, ProtocolError> {
        let mut reader = ByteReader::new(payload);
        let mut events_by_relay: BTreeMap<u16, Vec<Event>> = BTreeMap::new();
        while !reader.is_at_end() {
            match self.decoder.decode_record(&mut reader)? {
                Record::HostList => {}
                Record::Start {
                    relay,
                    seed,
                    settings,
                } => {
                    let shares = Box::new(FairQueueScheduler::from_settings(&settings));
                    let policy = DeliveryPolicy::with_scheduler(*settings, seed, shares);
                    self.relays.insert(relay, policy);
                    events_by_relay.insert(relay, Vec::new());
                }
                Record::Stop { relay } => {
                    self.relays.remove(&relay);
                    events_by_relay.remove(&relay);
                }
                Record::Event { relay, event } => {
                    events_by_relay.entry(relay).or_default().push(event);
                }
            }
        }
        Ok(events_by_relay)
    }
}
