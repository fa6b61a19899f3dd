//! Tests of the input buffer: its size, and requests of any length.

use bytes::BufMut;

use super::{Input, InputBuffer};
use crate::client_connections::framing::MAX_SHORT_REQUEST_BYTES;

fn request(body_bytes: usize) -> Vec<u8> {
    let mut request = format!("*2\r\n$4\r\nPING\r\n${body_bytes}\r\n").into_bytes();
    request.extend(vec![b'x'; body_bytes]);
    request.extend(b"\r\n");
    request
}

/// Reads as a connection does: never more than the free capacity. Returns the number of bytes read.
fn read(buffer: &mut InputBuffer, input: &[u8]) -> usize {
    let bytes = buffer.prepare_read();
    let count = input.len().min(bytes.capacity() - bytes.len());
    bytes.put_slice(&input[..count]);
    count
}

#[test]
fn long_request_needs_space_before_it_is_read_beyond_its_head() {
    let text = request(60_000);
    let mut buffer = InputBuffer::default();
    let read_first = read(&mut buffer, &text);
    assert!(read_first <= MAX_SHORT_REQUEST_BYTES, "{read_first}");
    let length = text.len();
    assert_eq!(buffer.next(), Ok(Input::NeedsSpace { length }));
    assert_eq!(buffer.next(), Ok(Input::NeedsSpace { length }));
}

#[test]
fn buffer_for_a_long_request_ends_with_it() {
    let text = request(60_000);
    let mut input = text.clone();
    input.extend(request(10));
    let mut buffer = InputBuffer::default();
    let mut position = read(&mut buffer, &input);
    buffer.reserve_long_request(text.len());
    assert_eq!(buffer.next(), Ok(Input::Incomplete));
    position += read(&mut buffer, &input[position..]);
    assert_eq!(position, text.len());
    let Ok(Input::Request(request)) = buffer.next() else {
        panic!("no request");
    };
    assert_eq!(request.length, text.len());
    read(&mut buffer, &input[position..]);
    assert!(matches!(buffer.next(), Ok(Input::Request(_))));
    assert!(buffer.is_empty());
}

#[test]
fn capacity_stays_short_over_many_short_requests_and_skipped_bodies() {
    let mut input = Vec::new();
    for number in 0..200 {
        input.extend(request(number * 10));
    }
    input.extend(request(1_000_000));
    input.extend(request(5));
    let mut buffer = InputBuffer::default();
    let (mut position, mut requests, mut skipped) = (0, 0, 0);
    while position < input.len() || !buffer.is_empty() {
        position += read(&mut buffer, &input[position..]);
        assert!(buffer.bytes.capacity() <= MAX_SHORT_REQUEST_BYTES);
        loop {
            match buffer.next().expect("valid") {
                Input::Request(_) => requests += 1,
                Input::BodyTooLong => skipped += 1,
                Input::Incomplete => break,
                Input::NeedsSpace { length } => panic!("a request of {length} bytes"),
            }
        }
    }
    assert_eq!((requests, skipped), (201, 1));
}
