//! Tests of the simulator's protocol: the example bytes of its specification, and invalid input.

mod common;
mod hex;

use adapter::{encode_action, parse_batch_header, Adapter, BatchHeader};
use common::SETTINGS;
use hex::bytes;
use policy::types::Action;

fn start_record(relay: u16, settings: &str) -> Vec<u8> {
    let mut record = vec![0];
    record.extend(relay.to_le_bytes());
    record.extend(9u64.to_le_bytes());
    record.extend((settings.len() as u32).to_le_bytes());
    record.extend(settings.as_bytes());
    record
}

const HOST_LIST: &str = "0a 00000000 02000000 0000803f 00 00 01 3900 074a1203 0000000000000000
    0000c03f 00 00 01 3900 f211902c 20145d0000000000 01 0300 2900000000000000 00000000 00";
const MESSAGE_RECEIVED: &str =
    "02 0300 c4913a5df5c50e00 640ad2557c3bf091 0000 00006442 da05840000000000 e02e0000 0000 01";
const ATTEMPT_ENDED: &str =
    "04 0300 c4913a5df5c50e00 00 074a1203 0000 44480000 01 00000000 02 cdcccc3e0000a03f";

#[test]
fn batch_header_is_parsed_and_empty_batch_gets_empty_reply() {
    let header = bytes("00000000 5a5c800000000000");
    assert_eq!(
        parse_batch_header(&header.try_into().expect("twelve bytes")),
        BatchHeader {
            payload_length: 0,
            now: 0x80_5c5a
        }
    );
    assert_eq!(
        Adapter::default().handle_batch(5, &[]).expect("empty"),
        bytes("00000000 00000000")
    );
}

#[test]
fn actions_are_encoded_as_specified() {
    let send = Action::Send {
        id: 0x0e_c5f5_5d3a_91c4,
        host: 0x0312_4a07,
        timeout: 80_000,
    };
    for (action, hex) in [
        (send, "03 0300 c4913a5df5c50e00 074a1203 80380100"),
        (
            Action::SetTimer {
                delay: 500_000,
                token: 77,
            },
            "00 0300 20a10700 4d00000000000000",
        ),
        (
            Action::Log("two servers known".into()),
            "07 0300 1100 74776f2073657276657273206b6e6f776e",
        ),
        (
            Action::SendToPeers {
                to: None,
                content: b"hi 7".to_vec(),
            },
            "09 0300 ffff 0400 68692037",
        ),
        (
            Action::Reject {
                id: 5,
                retry_after: 2,
            },
            "05 0300 0500000000000000 02000000",
        ),
        (Action::Fail(5), "0a 0300 0500000000000000"),
        (
            Action::Cancel { id: 5, attempt: 1 },
            "04 0300 0500000000000000 01",
        ),
        (Action::Probe(6), "02 0300 06000000"),
        (Action::CloseIdleConnections(6), "0b 0300 06000000"),
        (Action::Subscribe(true), "08 0300 01"),
        (Action::PollDiscovery, "06 0300"),
        (Action::Abort("x".into()), "01 0300 0100 78"),
    ] {
        let mut record = Vec::new();
        encode_action(3, &action, &mut record);
        assert_eq!(record, bytes(hex), "{action:?}");
    }
}

#[test]
fn events_of_each_kind_are_decoded_as_specified() {
    let mut adapter = Adapter::default();
    let mut payload = start_record(3, SETTINGS);
    payload.extend(bytes(HOST_LIST));
    payload.extend(bytes(MESSAGE_RECEIVED));
    let reply = adapter
        .handle_batch(0x80_5c5a - 600_000, &payload)
        .expect("a reply");
    let send = bytes("03 0300 c4913a5df5c50e00");
    assert!(
        reply.windows(send.len()).any(|part| part == send),
        "the message is sent at once"
    );
    let events = format!(
        "{ATTEMPT_ENDED} 05 0300 192b6f0e132b0b00 06 0300 4d00000000000000 08 0300 0100 0200 6869
        03 0300 c4913a5df5c50e00 00 074a1203 44480000 07 0300 074a1203 0200 44480000 00
        01 0300 2900000000000000 00000000 01 01 0300 2a00000000000000 00000000 03"
    );
    assert!(adapter.handle_batch(0x80_5c5a, &bytes(&events)).is_ok());
    let mut restart = bytes("09 0300");
    restart.extend(start_record(3, SETTINGS));
    restart.extend(bytes(HOST_LIST));
    assert!(adapter.handle_batch(0x80_5c5b, &restart).is_ok());
}

#[test]
fn truncated_and_corrupted_payloads_are_errors_without_panic() {
    let mut payload = start_record(3, SETTINGS);
    payload.extend(bytes(HOST_LIST));
    payload.extend(bytes(MESSAGE_RECEIVED));
    payload.extend(bytes(ATTEMPT_ENDED));
    let truncation_errors = (1..payload.len())
        .filter(|n| Adapter::default().handle_batch(9, &payload[..*n]).is_err())
        .count();
    assert!(
        truncation_errors > payload.len() - 8,
        "only complete records are valid"
    );
    let mut state = 1u64;
    for _ in 0..20_000 {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let mut corrupted = payload.clone();
        let at = (state >> 33) as usize % corrupted.len();
        corrupted[at] = (state >> 20) as u8;
        if let Err(error) = Adapter::default().handle_batch(9, &corrupted) {
            assert!(!error.to_string().contains('\n'));
        }
    }
    for invalid in [
        "63",
        "0b 0300",
        "01 0300 2900000000000000 05000000 00",
        "0a 10000000 00000000",
    ] {
        assert!(
            Adapter::default().handle_batch(9, &bytes(invalid)).is_err(),
            "{invalid}"
        );
    }
}

#[test]
fn protocol_errors_have_their_exact_text() {
    for (payload, expected) in [
        ("63", "unknown event code 99 at byte 0 of the frame"),
        ("0b 0300", "unknown event code 11 at byte 0 of the frame"),
        (
            "06 0300 00",
            "record is truncated: 8 bytes expected at byte 3 of the frame",
        ),
        (
            "0a 10000000 00000000",
            "host list number 16 is out of range at byte 0 of the frame",
        ),
        (
            "0a 00000000 01000000 0000803f 00 00 03",
            "unknown host state 3 at byte 15 of the frame",
        ),
        (
            "09 0300 01 0300 2900000000000000 05000000 00",
            "host list 5 was never sent at byte 3 of the frame",
        ),
        (
            "01 0300 2900000000000000 05000000 04",
            "unknown host update kind 4 at byte 0 of the frame",
        ),
        (
            "02 0300 c4913a5df5c50e00 640ad2557c3bf091 0000 0000003f da05840000000000 e02e0000 0000 01",
            "0.5 is not a valid destination at byte 0 of the frame",
        ),
        (
            "07 0300 074a1203 0800 44480000 00",
            "unknown outcome 8 at byte 7 of the frame",
        ),
        (
            "00 0300 0000000000000000 02000000 5b5d",
            "settings are not an object at the settings text",
        ),
    ] {
        let result = Adapter::default().handle_batch(9, &bytes(payload));
        let error = result.expect_err(payload);
        assert_eq!(error.to_string(), expected, "{payload}");
    }
}
