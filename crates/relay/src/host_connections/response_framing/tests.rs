use super::*;

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const BUSY: &[u8] = b"HTTP/1.1 503 Busy\r\nX-Egress-Full: 1\r\nContent-Length: 0\r\n\r\n";

/// Pushes bytes in pieces of each size, and returns how many belong to the response and how it ended.
fn push_in_pieces(bytes: &[u8], size: usize) -> (usize, ResponseFraming) {
    let mut framing = ResponseFraming::default();
    let used = bytes.chunks(size).map(|piece| framing.push(piece)).sum();
    (used, framing)
}

#[test]
fn end_of_a_response_is_found_at_any_split() {
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n1\r\n!\r\n0\r\nA: b\r\n\r\n";
    let informational = [b"HTTP/1.1 103 Early\r\nA: b\r\n\r\n", OK].concat();
    let no_content = b"HTTP/1.1 204 No Content\r\n\r\n";
    for response in [OK, BUSY, chunked, &informational, no_content] {
        let followed = [response, BUSY].concat();
        for size in 1..=followed.len() {
            let (used, framing) = push_in_pieces(&followed, size);
            assert_eq!(used, response.len(), "pieces of {size}");
            assert!(framing.is_complete());
        }
    }
}

#[test]
fn head_is_available_with_its_headers() {
    let (_, framing) = push_in_pieces(BUSY, 7);
    let head = framing.head().expect("complete head");
    assert_eq!(head.status(), 503);
    assert_eq!(head.headers()["x-egress-full"], "1");
}

#[test]
fn response_without_a_certain_length_lasts_until_the_end() {
    for response in [
        &b"HTTP/1.1 200 OK\r\n\r\n"[..],
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\n",
        b"HTTP/1.1 500 Oh\r\nContent-Length: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        b"\x01\x02\xff\r\n\r\nnoise",
    ] {
        let followed = [response, BUSY].concat();
        let (used, framing) = push_in_pieces(&followed, 3);
        assert_eq!(used, followed.len());
        assert!(framing.is_unbounded() && !framing.is_complete());
    }
}

#[test]
fn endless_head_and_endless_chunk_line_are_bounded() {
    for start in [
        &b"HTTP/1.1 200 OK\r\nA: "[..],
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    ] {
        let mut framing = ResponseFraming::default();
        framing.push(start);
        for _ in 0..HEAD_MAX_BYTES / 16 + 1 {
            framing.push(&[b'x'; 16]);
        }
        assert!(framing.is_unbounded());
        assert!(framing.line.is_empty());
    }
}
