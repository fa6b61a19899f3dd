use super::*;

const CHUNK_SIZES: [usize; 3] = [1, 3, 1000];

fn parse_in_chunks(text: &str, chunk_size: usize) -> Option<u16> {
    let mut parser = StatusLineParser::default();
    text.as_bytes()
        .chunks(chunk_size)
        .for_each(|chunk| parser.push(chunk));
    parser.status()
}

#[test]
fn status_is_found_after_informational_responses_for_any_chunk_size() {
    for chunk_size in CHUNK_SIZES {
        let status = |text: &str| parse_in_chunks(text, chunk_size);
        assert_eq!(status("HTTP/1.1 200 OK\r\nX: \u{1}"), Some(200));
        assert_eq!(status("HTTP/1.1 200\r\n"), Some(200));
        assert_eq!(
            status("HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 500 Bad\r\n"),
            Some(500)
        );
        assert_eq!(status("HTTP/1.1 200 OK"), None);
        assert_eq!(status("HTTP/1.1 2000 OK\r\n"), Some(0));
        assert_eq!(status("noise 200\r\nHTTP/1.1 200 OK\r\n"), Some(0));
        assert_eq!(status(&"x".repeat(2000)), Some(0));
    }
}

#[test]
fn final_response_has_started_only_after_informational_responses() {
    let mut parser = StatusLineParser::default();
    assert!(!parser.has_started());
    parser.push(b"HTTP/1.1 103 Early\r\nA: b\r\n");
    assert!(!parser.has_started());
    parser.push(b"\r\n");
    assert!(!parser.has_started());
    parser.push(b"H");
    assert!(parser.has_started());
    assert_eq!(parser.bytes_read(), 29);
}
