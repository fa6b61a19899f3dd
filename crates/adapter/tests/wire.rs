//! The wire: the bytes of the protocol note, and bad input.

use adapter::{encode, header, settings, Adapter};
use policy::types::*;

const SETTINGS: &str = r#"{"services":[{"aim":2000000,"giveUp":24000000,"effect":"dedup","keyScope":"zone",
"window":6000000,"worth":1.5,"lateWorth":0.5,"fifoByKey":true},{"aim":1,"giveUp":2,"effect":"fragile"}],
"familyInfo":{"callsOut":8,"kindApart":[false,true],"perCall":[1,4],"late":"halving","toll":[0.5]},
"limits":{"mostHeld":100,"maxAttempts":12,"retryAfter":true,"maxRetryAfter":7,"probes":true},
"rules":{"coldFrom":0.19,"cold":10,"overloadFactor":2.0,"overloadFor":15,"turnGap":9},
"discovery":"ask","siblings":2,"weightSource":"rough","stats":{"fields":["x1","qps","x0"]},
"tenants":[{"quotaPerS":15.0}],"tick":5000,"somethingNew":{"x":[1]}}"#;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(&String::from_utf8_lossy(pair), 16);
    digits
        .chunks(2)
        .map(|pair| byte(pair).expect("hex"))
        .collect()
}

fn begin(relay: u16, text: &str) -> Vec<u8> {
    let mut out = vec![0];
    out.extend(relay.to_le_bytes());
    out.extend(9u64.to_le_bytes());
    out.extend((text.len() as u32).to_le_bytes());
    out.extend(text.as_bytes());
    out
}

const LIST: &str = "0a 00000000 02000000 0000803f 00 00 01 3900 074a1203 0000000000000000
    0000c03f 00 00 01 3900 f211902c 20145d0000000000 01 0300 2900000000000000 00000000 00";
const INGRESS: &str =
    "02 0300 c4913a5df5c50e00 640ad2557c3bf091 0000 00006442 da05840000000000 e02e0000 0000 01";
const ENDED: &str =
    "04 0300 c4913a5df5c50e00 00 074a1203 0000 44480000 01 00000000 02 cdcccc3e0000a03f";

#[test]
fn reads_the_header_and_answers_an_empty_batch() {
    let head = bytes("00000000 5a5c800000000000");
    assert_eq!(
        header(&head.try_into().expect("twelve bytes")),
        (0, 0x80_5c5a)
    );
    assert_eq!(
        Adapter::default().round(5, &[]).expect("empty"),
        bytes("00000000 00000000")
    );
}

#[test]
fn writes_actions_as_the_note_shows() {
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
        let mut out = Vec::new();
        encode(3, &action, &mut out);
        assert_eq!(out, bytes(hex), "{action:?}");
    }
}

#[test]
fn plays_the_events_of_the_note() {
    let mut adapter = Adapter::default();
    let mut frame = begin(3, SETTINGS);
    frame.extend(bytes(LIST));
    frame.extend(bytes(INGRESS));
    let reply = adapter.round(0x80_5c5a - 600_000, &frame).expect("a reply");
    let send = bytes("03 0300 c4913a5df5c50e00");
    assert!(
        reply.windows(send.len()).any(|part| part == send),
        "the message goes out at once"
    );
    let more = format!(
        "{ENDED} 05 0300 192b6f0e132b0b00 06 0300 4d00000000000000 08 0300 0100 0200 6869
        03 0300 c4913a5df5c50e00 00 074a1203 44480000 07 0300 074a1203 0200 44480000 00
        01 0300 2900000000000000 00000000 01 01 0300 2a00000000000000 00000000 03"
    );
    assert!(adapter.round(0x80_5c5a, &bytes(&more)).is_ok());
    let mut again = bytes("09 0300");
    again.extend(begin(3, SETTINGS));
    again.extend(bytes(LIST));
    assert!(adapter.round(0x80_5c5b, &again).is_ok());
}

#[test]
fn reads_settings_and_skips_what_is_unknown() {
    let set = settings(SETTINGS.as_bytes()).expect("settings");
    assert_eq!(
        set.classes[0].idempotency,
        Idempotency::Keyed {
            window: 6_000_000,
            zone_only: true
        }
    );
    assert_eq!(set.classes[1].idempotency, Idempotency::NonIdempotent);
    assert!(
        set.classes[0].is_ordered
            && set.polls_discovery
            && set.kinds[1].has_host_routes
            && set.can_probe
    );
    assert_eq!(
        (
            set.max_calls,
            set.max_queued,
            set.max_attempts,
            set.replicas
        ),
        (8, 100, 12, 2)
    );
    assert_eq!(
        (
            set.kinds[1].max_messages_per_call,
            set.decay,
            set.weight_source
        ),
        (4, ValueDecay::Halving, WeightSource::Rough)
    );
    assert_eq!(
        set.report_fields,
        [
            ReportField::LimitPerSecond,
            ReportField::Other,
            ReportField::AllowanceLeft
        ]
    );
    assert_eq!(
        (
            set.rules.ordering_delay,
            set.max_retry_after,
            set.zone_fees[0]
        ),
        (9, 7, 0.5)
    );
}

#[test]
fn bad_settings_say_what_and_where() {
    for (text, say) in [
        ("{", "not JSON"),
        ("[]", "not an object"),
        ("{}", "/services"),
        (
            r#"{"services":[{"aim":1,"giveUp":1,"effect":"odd"}]}"#,
            "/services/0/effect",
        ),
        (
            r#"{"siblings":1,"services":[{"aim":1,"giveUp":1,"effect":"fragile"}]}"#,
            "/familyInfo/callsOut",
        ),
        (
            r#"{"services":[{"aim":1,"giveUp":1,"effect":"fragile"}]}"#,
            "/siblings",
        ),
        (
            r#"{"siblings":0,"services":[{"aim":1,"giveUp":1,"effect":"fragile"}]}"#,
            "fewer relays",
        ),
        (
            r#"{"siblings":3,"ordinal":3,"services":[{"aim":1,"giveUp":1,"effect":"fragile"}]}"#,
            "fewer relays",
        ),
    ] {
        let error = settings(text.as_bytes()).expect_err(text).to_string();
        assert!(
            error.contains(say) && !error.contains('\n'),
            "{text}: {error}"
        );
    }
}

#[test]
fn cut_and_altered_frames_are_errors_never_panics() {
    let mut frame = begin(3, SETTINGS);
    frame.extend(bytes(LIST));
    frame.extend(bytes(INGRESS));
    frame.extend(bytes(ENDED));
    let cut_errors = (1..frame.len())
        .filter(|n| Adapter::default().round(9, &frame[..*n]).is_err())
        .count();
    assert!(cut_errors > frame.len() - 8, "only whole records pass");
    let mut state = 1u64;
    for _ in 0..20_000 {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let mut odd = frame.clone();
        let at = (state >> 33) as usize % odd.len();
        odd[at] = (state >> 20) as u8;
        if let Err(error) = Adapter::default().round(9, &odd) {
            assert!(!error.to_string().contains('\n'));
        }
    }
    for odd in [
        "63",
        "0b 0300",
        "01 0300 2900000000000000 05000000 00",
        "0a 10000000 00000000",
    ] {
        assert!(Adapter::default().round(9, &bytes(odd)).is_err(), "{odd}");
    }
}

#[test]
fn settings_errors_have_their_exact_text() {
    let class = r#"{"aim":1,"giveUp":1,"effect":"fragile"}"#;
    for (text, expected) in [
        (
            "[]".to_string(),
            "settings are not an object at the settings text",
        ),
        (
            "{".to_string(),
            "settings are not JSON (EOF while parsing an object at line 1 column 1) at the settings text",
        ),
        ("{}".to_string(), "settings name no class at /services"),
        (
            r#"{"services":[{"aim":1,"giveUp":1}]}"#.to_string(),
            "settings lack a known effect at /services/0/effect",
        ),
        (
            format!(r#"{{"services":[{class},{{"effect":"dedup"}}]}}"#),
            "settings lack a number at /services/1/window",
        ),
        (
            r#"{"services":[{"effect":"fragile"}]}"#.to_string(),
            "settings lack a number at /services/0/aim",
        ),
        (
            r#"{"services":[{"effect":"fragile","aim":-1}]}"#.to_string(),
            "settings lack a number at /services/0/aim",
        ),
        (
            r#"{"services":[{"effect":"fragile","aim":1,"giveUp":0.5}]}"#.to_string(),
            "settings want a number of 1 or more at /services/0/giveUp",
        ),
        (
            format!(r#"{{"services":[{class}]}}"#),
            "settings lack a number at /siblings",
        ),
        (
            format!(r#"{{"siblings":2,"ordinal":2,"services":[{class}]}}"#),
            "settings count fewer relays than there are at /siblings",
        ),
        (
            format!(
                r#"{{"siblings":1,"services":[{class}],"familyInfo":{{"callsOut":1}},"limits":{{"mostHeld":1,"maxAttempts":0}}}}"#
            ),
            "settings want a number of 1 or more at /limits/maxAttempts",
        ),
        (
            format!(
                r#"{{"siblings":1,"services":[{class}],"familyInfo":{{"callsOut":1}},"limits":{{"mostHeld":1,"maxAttempts":1}}}}"#
            ),
            "settings lack a number at /rules/coldFrom",
        ),
    ] {
        let error = settings(text.as_bytes()).expect_err(&text);
        assert_eq!(error.to_string(), expected, "{text}");
    }
}

#[test]
fn protocol_errors_have_their_exact_text() {
    for (frame, expected) in [
        ("63", "unknown event code 99 at byte 0 of the frame"),
        ("0b 0300", "unknown event code 11 at byte 0 of the frame"),
        (
            "06 0300 00",
            "record wants 8 bytes more than the frame holds at byte 3 of the frame",
        ),
        (
            "0a 10000000 00000000",
            "roster number 16 is out of range at byte 0 of the frame",
        ),
        (
            "0a 00000000 01000000 0000803f 00 00 03",
            "unknown host state 3 at byte 15 of the frame",
        ),
        (
            "09 0300 01 0300 2900000000000000 05000000 00",
            "roster 5 was never sent at byte 3 of the frame",
        ),
        (
            "01 0300 2900000000000000 05000000 04",
            "unknown list kind 4 at byte 0 of the frame",
        ),
        (
            "02 0300 c4913a5df5c50e00 640ad2557c3bf091 0000 0000003f da05840000000000 e02e0000 0000 01",
            "0.5 is no destination at byte 0 of the frame",
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
        let result = Adapter::default().round(9, &bytes(frame));
        let error = result.expect_err(frame);
        assert_eq!(error.to_string(), expected, "{frame}");
    }
}
