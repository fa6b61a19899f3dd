//! Decodes the records of a batch.

use policy::types::{
    AttemptEnd, AttemptOutcome, Event, HostEntry, HostState, Message, Micros, Settings,
};

use super::reader::ByteReader;
use super::ProtocolError;
use crate::settings::parse_settings;

/// Maximum number of host lists that the simulator may store in the adapter.
const MAX_HOST_LISTS: usize = 16;
/// Message flag: the expected work is valid.
const FLAG_EXPECTED_WORK_VALID: u8 = 1;
/// Message flag: the client has submitted the message before.
const FLAG_RESUBMITTED: u8 = 2;
/// Length of the unused fields that follow the id in a record of a response's start.
const RESPONSE_STARTED_UNUSED_BYTES: usize = 9;
const MICROS_PER_MILLI: Micros = 1000;

/// Event codes, the first byte of each record.
mod event_code {
    pub(super) const START: u8 = 0;
    pub(super) const HOSTS_UPDATED: u8 = 1;
    pub(super) const MESSAGE_RECEIVED: u8 = 2;
    pub(super) const RESPONSE_STARTED: u8 = 3;
    pub(super) const ATTEMPT_ENDED: u8 = 4;
    pub(super) const MESSAGE_WITHDRAWN: u8 = 5;
    pub(super) const TIMER_FIRED: u8 = 6;
    pub(super) const PROBE_ENDED: u8 = 7;
    pub(super) const PEER_MESSAGE: u8 = 8;
    pub(super) const STOP: u8 = 9;
    pub(super) const HOST_LIST: u8 = 10;
}

/// Codes of the kinds of host updates.
mod host_update_code {
    pub(super) const CACHED: u8 = 0;
    pub(super) const DISCOVERY_FAILED: u8 = 1;
    pub(super) const FULL: u8 = 2;
    pub(super) const PARTIAL: u8 = 3;
}

/// Codes of host states.
mod host_state_code {
    pub(super) const REMOVED: u8 = 0;
    pub(super) const READY: u8 = 1;
    pub(super) const DRAINING: u8 = 2;
}

/// Codes of the outcomes of attempts and probes.
mod outcome_code {
    pub(super) const DELIVERED: u16 = 0;
    pub(super) const ERROR: u16 = 1;
    pub(super) const REJECTED: u16 = 2;
    pub(super) const TIMEOUT: u16 = 3;
    pub(super) const CONNECT_FAILED: u16 = 4;
    pub(super) const RESET: u16 = 5;
    pub(super) const CANCELLED: u16 = 6;
    pub(super) const OBSOLETE: u16 = 7;
}

/// One record of a batch.
pub(super) enum Record {
    /// A host list, which the decoder stores for later records.
    HostList,
    /// A relay starts, and replaces one with the same number.
    Start {
        relay: u16,
        seed: u64,
        settings: Box<Settings>,
    },
    /// A relay stops.
    Stop { relay: u16 },
    /// An event for a relay.
    Event { relay: u16, event: Event },
}

/// Decodes records, and stores the host lists that later records refer to.
#[derive(Default)]
pub(super) struct RecordDecoder {
    host_lists: [Option<Vec<HostEntry>>; MAX_HOST_LISTS],
}

impl RecordDecoder {
    /// Decodes the next record.
    pub(super) fn decode_record(
        &mut self,
        reader: &mut ByteReader<'_>,
    ) -> Result<Record, ProtocolError> {
        let offset = reader.offset();
        let code = reader.u8()?;
        if code == event_code::HOST_LIST {
            self.decode_host_list(reader, offset)?;
            return Ok(Record::HostList);
        }
        if code > event_code::HOST_LIST {
            return Err(ProtocolError::UnknownEvent { code, offset });
        }
        let relay = reader.u16()?;
        let event = match code {
            event_code::START => return decode_start(reader, relay),
            event_code::STOP => return Ok(Record::Stop { relay }),
            event_code::HOSTS_UPDATED => self.decode_hosts_update(reader, offset)?,
            event_code::MESSAGE_RECEIVED => decode_message(reader, offset)?,
            event_code::RESPONSE_STARTED => decode_response_start(reader)?,
            event_code::ATTEMPT_ENDED => decode_attempt_end(reader)?,
            event_code::MESSAGE_WITHDRAWN => Event::MessageWithdrawn(reader.u64()?),
            event_code::TIMER_FIRED => Event::TimerFired(reader.u64()?),
            event_code::PROBE_ENDED => decode_probe_end(reader)?,
            event_code::PEER_MESSAGE => decode_peer_message(reader)?,
            _ => return Err(ProtocolError::UnknownEvent { code, offset }),
        };
        Ok(Record::Event { relay, event })
    }

    fn decode_host_list(
        &mut self,
        reader: &mut ByteReader<'_>,
        offset: usize,
    ) -> Result<(), ProtocolError> {
        let number = reader.u32()? as usize;
        if number >= MAX_HOST_LISTS {
            return Err(ProtocolError::HostListOutOfRange { number, offset });
        }
        let count = reader.u32()?;
        // Nothing is allocated by the count, which is not trusted: the payload's length limits the number of entries.
        let mut entries = Vec::new();
        for _ in 0..count {
            entries.push(decode_host_entry(reader)?);
        }
        self.host_lists[number] = Some(entries);
        Ok(())
    }

    fn decode_hosts_update(
        &self,
        reader: &mut ByteReader<'_>,
        offset: usize,
    ) -> Result<Event, ProtocolError> {
        let _version = reader.u64()?;
        let number = reader.u32()? as usize;
        let code = reader.u8()?;
        match code {
            host_update_code::DISCOVERY_FAILED => Ok(Event::DiscoveryFailed),
            host_update_code::CACHED | host_update_code::FULL | host_update_code::PARTIAL => {
                let list = self.host_lists.get(number).and_then(Option::as_ref);
                let list = list.ok_or(ProtocolError::MissingHostList { number, offset })?;
                Ok(Event::HostsUpdated {
                    is_full: code != host_update_code::PARTIAL,
                    cached: code == host_update_code::CACHED,
                    entries: list.clone(),
                })
            }
            _ => Err(ProtocolError::UnknownHostUpdate { code, offset }),
        }
    }
}

fn decode_start(reader: &mut ByteReader<'_>, relay: u16) -> Result<Record, ProtocolError> {
    let seed = reader.u64()?;
    let length = reader.u32()? as usize;
    let text = reader.take(length)?;
    Ok(Record::Start {
        relay,
        seed,
        settings: Box::new(parse_settings(text)?),
    })
}

fn decode_host_entry(reader: &mut ByteReader<'_>) -> Result<HostEntry, ProtocolError> {
    let weight = reader.f32()?;
    let kind = reader.u8()?;
    let zone = reader.u8()?;
    let state = decode_host_state(reader)?;
    let destination = reader.u16()?;
    let host = reader.u32()?;
    let _unused = reader.u64()?;
    Ok(HostEntry {
        host,
        destination,
        kind,
        zone,
        state,
        weight,
    })
}

fn decode_host_state(reader: &mut ByteReader<'_>) -> Result<HostState, ProtocolError> {
    let offset = reader.offset();
    match reader.u8()? {
        host_state_code::REMOVED => Ok(HostState::Removed),
        host_state_code::READY => Ok(HostState::Ready),
        host_state_code::DRAINING => Ok(HostState::Draining),
        code => Err(ProtocolError::UnknownHostState { code, offset }),
    }
}

fn decode_message(reader: &mut ByteReader<'_>, offset: usize) -> Result<Event, ProtocolError> {
    let id = reader.u64()?;
    let ordering_key = Some(reader.u64()?).filter(|key| *key != 0);
    let class = reader.u16()?;
    let destination = reader.f32()?;
    let deadline = reader.u64()?;
    let expected_work = Micros::from(reader.u32()?);
    let tenant = reader.u16()?;
    let flags = reader.u8()?;
    Ok(Event::MessageReceived(Message {
        id,
        class,
        destination: parse_destination(destination, offset)?,
        deadline,
        ordering_key,
        expected_work: (flags & FLAG_EXPECTED_WORK_VALID != 0).then_some(expected_work),
        tenant,
        is_resubmitted: flags & FLAG_RESUBMITTED != 0,
        size: 0,
    }))
}

/// Converts a destination's number, which the protocol transmits as a floating-point number.
fn parse_destination(value: f32, offset: usize) -> Result<u16, ProtocolError> {
    if value.fract() != 0.0 || !(0.0..=f32::from(u16::MAX)).contains(&value) {
        return Err(ProtocolError::InvalidDestination { value, offset });
    }
    Ok(value as u16)
}

fn decode_response_start(reader: &mut ByteReader<'_>) -> Result<Event, ProtocolError> {
    let id = reader.u64()?;
    reader.take(RESPONSE_STARTED_UNUSED_BYTES)?;
    Ok(Event::ResponseStarted { id })
}

fn decode_attempt_end(reader: &mut ByteReader<'_>) -> Result<Event, ProtocolError> {
    let id = reader.u64()?;
    let attempt = reader.u8()?;
    let host = reader.u32()?;
    let outcome = decode_outcome(reader)?;
    let elapsed = Micros::from(reader.u32()?);
    let is_final = reader.u8()? != 0;
    let retry_after = Micros::from(reader.u32()?) * MICROS_PER_MILLI;
    Ok(Event::AttemptEnded(AttemptEnd {
        id,
        attempt,
        host,
        outcome: with_retry_after(outcome, retry_after),
        elapsed,
        is_final,
        load_report: decode_load_report(reader)?,
    }))
}

fn decode_probe_end(reader: &mut ByteReader<'_>) -> Result<Event, ProtocolError> {
    let host = reader.u32()?;
    let outcome = decode_outcome(reader)?;
    let elapsed = Micros::from(reader.u32()?);
    Ok(Event::ProbeEnded {
        host,
        outcome,
        elapsed,
        load_report: decode_load_report(reader)?,
    })
}

/// Decodes an outcome, without the Retry-After of a rejection: an attempt's record has it in a later field, and a
/// probe's record does not have it.
fn decode_outcome(reader: &mut ByteReader<'_>) -> Result<AttemptOutcome, ProtocolError> {
    let offset = reader.offset();
    match reader.u16()? {
        outcome_code::DELIVERED => Ok(AttemptOutcome::Delivered),
        outcome_code::ERROR => Ok(AttemptOutcome::Error),
        outcome_code::REJECTED => Ok(AttemptOutcome::Rejected { retry_after: 0 }),
        outcome_code::TIMEOUT => Ok(AttemptOutcome::Timeout),
        outcome_code::CONNECT_FAILED => Ok(AttemptOutcome::ConnectFailed),
        outcome_code::RESET => Ok(AttemptOutcome::Reset),
        outcome_code::CANCELLED => Ok(AttemptOutcome::Cancelled),
        outcome_code::OBSOLETE => Ok(AttemptOutcome::Obsolete),
        code => Err(ProtocolError::UnknownOutcome { code, offset }),
    }
}

/// Sets the Retry-After of a rejection, in microseconds; other outcomes have none.
fn with_retry_after(outcome: AttemptOutcome, retry_after: Micros) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::Rejected { .. } => AttemptOutcome::Rejected { retry_after },
        other => other,
    }
}

fn decode_load_report(reader: &mut ByteReader<'_>) -> Result<Vec<f32>, ProtocolError> {
    let count = reader.u8()?;
    (0..count).map(|_| reader.f32()).collect()
}

fn decode_peer_message(reader: &mut ByteReader<'_>) -> Result<Event, ProtocolError> {
    let from = reader.u16()?;
    let length = reader.u16()? as usize;
    Ok(Event::PeerMessage {
        from,
        content: reader.take(length)?.to_vec(),
    })
}
