//! Tests of request parsing: the commands, their arguments and the replies to invalid ones.

use bytes::Bytes;
use relay_events::EnqueueRequest;

use super::{parse_request, Authentication, Credentials, Request, RequestError};

const SENT_AT: u64 = 5_000_000;

fn parse(parts: &[&str]) -> Result<Request, RequestError> {
    parse_with(parts, Authentication::Required)
}

fn parse_with(parts: &[&str], authentication: Authentication) -> Result<Request, RequestError> {
    let parts: Vec<Bytes> = parts
        .iter()
        .map(|part| Bytes::copy_from_slice(part.as_bytes()))
        .collect();
    parse_request(&parts, SENT_AT, authentication)
}

fn parse_enqueue(
    ordering_key: &str,
    name: &str,
    fields: &str,
) -> Result<EnqueueRequest, RequestError> {
    match parse(&["ENQUEUE", ordering_key, name, fields, "body"])? {
        Request::Enqueue(request) => Ok(*request),
        _ => panic!("unexpected command"),
    }
}

fn enqueue_error(ordering_key: &str, name: &str, fields: &str) -> String {
    let error = parse_enqueue(ordering_key, name, fields).err();
    error.expect("invalid request").to_string()
}

fn parse_auth(arguments: &[&str]) -> Result<Option<Credentials>, RequestError> {
    match parse(&[&["AUTH"], arguments].concat())? {
        Request::Authenticate(credentials) => Ok(credentials),
        _ => panic!("unexpected command"),
    }
}

#[test]
fn command_name_is_case_insensitive() {
    for command in ["PING", "ping", "PiNg"] {
        assert!(matches!(parse(&[command]), Ok(Request::Ping)), "{command}");
    }
}

#[test]
fn unknown_or_missing_command_is_rejected() {
    for parts in [&["HELLO", "3"][..], &[""], &[]] {
        let error = parse(parts).err().expect("invalid request");
        assert_eq!(error.to_string(), "unknown command", "{parts:?}");
    }
}

#[test]
fn auth_is_an_unknown_command_without_authentication() {
    let parts = ["AUTH", "acme", "secret"];
    let error = parse_with(&parts, Authentication::Disabled).err();
    assert_eq!(error, Some(RequestError::UnknownCommand));
}

#[test]
fn credentials_are_parsed() {
    let expected = Credentials {
        name: "acme".into(),
        secret: b"a secret".to_vec(),
    };
    assert_eq!(parse_auth(&["acme", "a secret"]), Ok(Some(expected)));
}

#[test]
fn impossible_credentials_are_not_a_parse_error() {
    let longest_secret = "s".repeat(256);
    let too_long_secret = "s".repeat(257);
    assert!(matches!(
        parse_auth(&["acme", &longest_secret]),
        Ok(Some(_))
    ));
    assert_eq!(parse_auth(&["acme", &too_long_secret]), Ok(None));
    assert_eq!(parse_auth(&["a b", "secret"]), Ok(None));
    assert_eq!(parse_auth(&["", "secret"]), Ok(None));
    assert_eq!(parse_auth(&["\u{e4}", "secret"]), Ok(None));
}

#[test]
fn auth_with_wrong_number_of_arguments_is_rejected() {
    for arguments in [&["acme"][..], &[], &["acme", "secret", "more"]] {
        let error = parse_auth(arguments).expect_err("invalid request");
        assert_eq!(error.to_string(), "AUTH takes a name and a secret");
    }
}

#[test]
fn enqueue_fields_are_parsed() {
    let fields = "c=event,t=acme,d=2000,k=key-1,dest=7,r=1,new=x";
    let request = parse_enqueue("00000000000000ff", "m-1", fields).expect("valid request");
    assert_eq!(request.name, "m-1");
    assert_eq!(request.ordering_key, Some(255));
    assert_eq!(request.class, "event");
    assert_eq!(request.tenant, "acme");
    assert_eq!(request.destination, 7);
    assert_eq!(request.deadline, SENT_AT + 2_000_000);
    assert_eq!(request.idempotency_key.as_deref(), Some("key-1"));
    assert!(request.is_resubmitted);
    assert_eq!(request.body, "body");
    assert!(request.login.is_none() && request.reply.is_none());
}

#[test]
fn optional_enqueue_fields_may_be_missing() {
    let request = parse_enqueue("0", "m-1", "c=event,d=2000,dest=7").expect("valid request");
    assert_eq!(request.ordering_key, None);
    assert_eq!(request.tenant, "");
    assert_eq!(request.idempotency_key, None);
    assert!(!request.is_resubmitted);
}

#[test]
fn first_of_two_fields_with_the_same_name_applies() {
    let request = parse_enqueue("0", "m-1", "c=event,c=other,d=1,dest=7,dest=8");
    let request = request.expect("valid request");
    assert_eq!((request.class.as_str(), request.destination), ("event", 7));
}

#[test]
fn time_to_live_is_limited_to_one_day() {
    let request = parse_enqueue("0", "m-1", "c=event,d=18446744073709551615,dest=7");
    let deadline = request.expect("valid request").deadline;
    assert_eq!(deadline, SENT_AT + 86_400_000_000);
}

#[test]
fn enqueue_with_wrong_number_of_arguments_is_rejected() {
    for parts in [
        &["ENQUEUE"][..],
        &["ENQUEUE", "0", "m-1", "c=event,d=1,dest=7"],
        &["ENQUEUE", "0", "m-1", "c=event,d=1,dest=7", "body", "more"],
    ] {
        let error = parse(parts).err().expect("invalid request").to_string();
        assert_eq!(error, "ENQUEUE takes a key, an id, a list and a body");
    }
}

#[test]
fn missing_enqueue_field_is_named() {
    for (fields, expected) in [
        ("c=event,dest=7", "the list lacks d"),
        ("d=1,dest=7", "the list lacks c"),
        ("c=event,d=1", "the list lacks dest"),
        ("", "the list lacks d"),
    ] {
        assert_eq!(enqueue_error("0", "m-1", fields), expected, "{fields}");
    }
}

#[test]
fn invalid_enqueue_field_is_named() {
    for (fields, expected) in [
        ("c=event,d=soon,dest=7", "d is no number of milliseconds"),
        ("c=event,d=-1,dest=7", "d is no number of milliseconds"),
        (
            "c=event,d=1,dest=65536",
            "dest is no number of a destination",
        ),
        ("c=event,d=1,dest=7,k=", "k is not valid"),
        ("c=event,d=1,dest=7,k=a b", "k is not valid"),
        ("c=event,d=1,dest=7\n", "the list is not valid"),
    ] {
        assert_eq!(enqueue_error("0", "m-1", fields), expected, "{fields}");
    }
}

#[test]
fn arguments_are_checked_in_the_order_of_the_request() {
    assert_eq!(enqueue_error("zz", "a b", "\n"), "the key is not valid");
    assert_eq!(enqueue_error("0", "a b", "\n"), "the id is not valid");
    assert_eq!(enqueue_error("0", "m-1", "\n"), "the list is not valid");
}

#[test]
fn names_are_limited_in_length() {
    let longest = "n".repeat(128);
    let too_long = "n".repeat(129);
    assert!(parse_enqueue("0", &longest, "c=event,d=1,dest=7").is_ok());
    let error = enqueue_error("0", &too_long, "c=event,d=1,dest=7");
    assert_eq!(error, "the id is not valid");
    let error = enqueue_error("0", "m-1", &format!("c=event,d=1,dest=7,k={too_long}"));
    assert_eq!(error, "k is not valid");
}
