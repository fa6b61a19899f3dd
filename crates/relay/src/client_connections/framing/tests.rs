//! Tests of request framing: lengths, limits and malformed input.

use bytes::BytesMut;

use super::{
    decode_request, find_frame, Frame, ProtocolError, MAX_BODY_BYTES, MAX_BYTES_BEFORE_BODY,
    MAX_REQUEST_PARTS,
};

fn encode(parts: &[&[u8]]) -> Vec<u8> {
    let mut request = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        request.extend(format!("${}\r\n", part.len()).bytes());
        request.extend(*part);
        request.extend(b"\r\n");
    }
    request
}

#[test]
fn complete_request_ends_before_the_next_one() {
    let request = encode(&[b"ENQUEUE", b"0", b"", b"a\r\n$9"]);
    let mut input = request.clone();
    input.extend(b"*1\r\n$4\r\nPING\r\n");
    let expected = Frame::Complete {
        length: request.len(),
    };
    assert_eq!(find_frame(&input), Ok(expected));
}

#[test]
fn every_prefix_of_a_request_is_incomplete() {
    let request = encode(&[
        b"ENQUEUE",
        b"0000000000000000",
        b"m-1",
        b"c=update",
        b"body",
    ]);
    for length in 0..request.len() {
        let frame = find_frame(&request[..length]);
        assert_eq!(frame, Ok(Frame::Incomplete), "prefix of {length} bytes");
    }
}

#[test]
fn malformed_input_is_rejected_with_the_matching_error() {
    for (input, expected) in [
        ("PING\r\n", ProtocolError::NotAnArrayOfBulkStrings),
        ("*1\r\n:4\r\n", ProtocolError::NotAnArrayOfBulkStrings),
        ("*1\r\n*1\r\n", ProtocolError::NotAnArrayOfBulkStrings),
        ("*0\r\n", ProtocolError::InvalidPartCount),
        ("*17\r\n", ProtocolError::InvalidPartCount),
        ("*-1\r\n", ProtocolError::InvalidLength),
        ("*\r\n", ProtocolError::InvalidLength),
        ("*1\n", ProtocolError::InvalidLength),
        ("*1\rx", ProtocolError::InvalidLength),
        ("*1\r\n$x\r\n", ProtocolError::InvalidLength),
        ("*1\r\n$-1\r\n", ProtocolError::InvalidLength),
        ("*1\r\n$4\r\nPINGS\r\n", ProtocolError::PartLengthMismatch),
        ("*2\r\n$65537\r\n", ProtocolError::PartTooLong),
    ] {
        assert_eq!(find_frame(input.as_bytes()), Err(expected), "{input:?}");
    }
}

#[test]
fn malformed_line_is_rejected_before_its_end_has_arrived() {
    for (input, expected) in [
        ("*", Ok(Frame::Incomplete)),
        ("*1", Ok(Frame::Incomplete)),
        ("*1\r", Ok(Frame::Incomplete)),
        ("*999999999999", Ok(Frame::Incomplete)),
        ("*9999999999999", Err(ProtocolError::InvalidLength)),
        ("*x", Err(ProtocolError::InvalidLength)),
        ("*1x", Err(ProtocolError::InvalidLength)),
    ] {
        assert_eq!(find_frame(input.as_bytes()), expected, "{input:?}");
    }
}

#[test]
fn part_count_is_limited() {
    let parts = vec![&b"x"[..]; MAX_REQUEST_PARTS];
    let request = encode(&parts);
    let expected = Frame::Complete {
        length: request.len(),
    };
    assert_eq!(find_frame(&request), Ok(expected));

    let parts = vec![&b"x"[..]; MAX_REQUEST_PARTS + 1];
    assert_eq!(
        find_frame(&encode(&parts)),
        Err(ProtocolError::InvalidPartCount)
    );
}

#[test]
fn body_of_maximum_size_is_accepted_and_a_longer_one_is_skipped() {
    let body = vec![b'x'; MAX_BODY_BYTES];
    let request = encode(&[b"ENQUEUE", &body]);
    let length = request.len();
    assert_eq!(find_frame(&request), Ok(Frame::Complete { length }));

    let body = vec![b'x'; MAX_BODY_BYTES + 1];
    let request = encode(&[b"ENQUEUE", &body]);
    let length = request.len();
    assert_eq!(find_frame(&request), Ok(Frame::BodyTooLong { length }));
}

#[test]
fn oversized_body_is_detected_from_its_length_line() {
    let header = b"*2\r\n$7\r\nENQUEUE\r\n$65537\r\n";
    let length = header.len() + 65_537 + 2;
    assert_eq!(find_frame(header), Ok(Frame::BodyTooLong { length }));
}

#[test]
fn parts_before_the_body_are_limited() {
    // All bytes before the body except the content of the first part.
    let framing_bytes = "*2\r\n$4079\r\n\r\n$0\r\n".len();
    let longest = vec![b'x'; MAX_BYTES_BEFORE_BODY - framing_bytes];
    assert_eq!(longest.len(), 4079);
    let request = encode(&[&longest, b""]);
    let length = request.len();
    assert_eq!(find_frame(&request), Ok(Frame::Complete { length }));

    let too_long = vec![b'x'; longest.len() + 1];
    let request = encode(&[&too_long, b""]);
    assert_eq!(find_frame(&request), Err(ProtocolError::PartTooLong));
}

#[test]
fn limit_before_the_body_is_enforced_before_the_part_has_arrived() {
    assert_eq!(
        find_frame(b"*2\r\n$4096\r\n"),
        Err(ProtocolError::PartTooLong)
    );
}

#[test]
fn complete_request_is_decoded_into_its_parts() {
    let request = encode(&[b"ENQUEUE", b"", b"a\r\nb"]);
    let parts = decode_request(BytesMut::from(&request[..])).expect("valid request");
    assert_eq!(parts, [&b"ENQUEUE"[..], b"", b"a\r\nb"]);
}

#[test]
fn input_that_is_not_an_array_is_not_decoded() {
    let decoded = decode_request(BytesMut::from(&b"$4\r\nPING\r\n"[..]));
    assert_eq!(decoded, Err(ProtocolError::NotARequest));
}
