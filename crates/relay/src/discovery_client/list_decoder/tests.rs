use super::*;

use policy::types::HostState;

const MAX_LIST_BYTES: usize = 4 << 20;
const ONE_LINE: &str = r#"{"seq":43,"whole":false,"hosts":[{"host":"a\"}","dial":"10.1.0.1:80","block":3,"health":"draining"}]}"#;
const INDENTED: &str = "{\n  \"seq\": 43,\n  \"whole\": false,\n  \"hosts\": [\r\n    {\n      \"host\": \"a\\\"}\",\n      \"dial\": \"10.1.0.1:80\",\n      \"block\": 3,\n      \"health\": \"draining\"\n    }\n  ]\n}\n";

/// Positions in [`ONE_LINE`] after a value and within a string.
const TRUNCATED_LENGTHS: [usize; 2] = [45, 60];

type DecodedItem = Result<StreamItem, InvalidListError>;

/// Decodes a text that arrives in chunks, up to the first error.
fn decode_in_chunks(text: &str, chunk_size: usize) -> Vec<DecodedItem> {
    let mut decoder = ListDecoder::new(MAX_LIST_BYTES);
    let mut items = Vec::new();
    for chunk in text.as_bytes().chunks(chunk_size) {
        decoder.extend(chunk);
        while let Some(item) = decoder.next_item().transpose() {
            let is_error = item.is_err();
            items.push(item);
            if is_error {
                return items;
            }
        }
    }
    items
}

fn ends_with_error(items: &[DecodedItem]) -> bool {
    items.last().expect("at least one item").is_err()
}

#[test]
fn list_is_decoded_on_one_line_or_indented_for_any_chunk_size() {
    for chunk_size in [1, 2, 7, 1000] {
        for text in [ONE_LINE, INDENTED] {
            let items = decode_in_chunks(&format!("\n{text}\n \n"), chunk_size);
            let lists: Vec<_> = items
                .iter()
                .filter(|item| !matches!(item, Ok(StreamItem::Heartbeat)))
                .collect();
            let [Ok(StreamItem::List(list))] = &lists[..] else {
                panic!("{items:?}")
            };
            assert_eq!((list.version, &*list.hosts[0].name), (43, "a\"}"));
            assert_eq!(list.hosts[0].state, HostState::Draining);
        }
    }
}

#[test]
fn truncated_list_is_an_error_at_the_next_line_end() {
    for length in TRUNCATED_LENGTHS {
        let truncated = &ONE_LINE[..length];
        for chunk_size in [1, 1000] {
            let before_heartbeat = decode_in_chunks(&format!("{truncated}\n\n"), chunk_size);
            assert!(ends_with_error(&before_heartbeat));
            let before_list = decode_in_chunks(&format!("{truncated}\n{ONE_LINE}\n\n"), chunk_size);
            assert!(
                before_list
                    .iter()
                    .all(|item| !matches!(item, Ok(StreamItem::List(_)))),
                "{chunk_size}"
            );
            assert!(ends_with_error(&before_list));
        }
    }
}

#[test]
fn incomplete_list_is_not_an_error() {
    let mut decoder = ListDecoder::new(MAX_LIST_BYTES);
    decoder.extend(&ONE_LINE.as_bytes()[..TRUNCATED_LENGTHS[1]]);
    assert!(matches!(decoder.next_item(), Ok(None)));
    assert!(decoder.is_in_list());
}

#[test]
fn input_that_is_not_a_list_is_an_error() {
    for text in [
        "noise\n",
        "[1]\n",
        "}\n",
        "{\"seq\":true}\n",
        "{\"hosts\":[{}]}\n",
        "\"a\"\n",
    ] {
        assert!(ends_with_error(&decode_in_chunks(text, 3)), "{text}");
    }
}

#[test]
fn list_over_the_size_limit_is_an_error() {
    let mut decoder = ListDecoder::new(MAX_LIST_BYTES);
    decoder.extend(b"{\"a\":[");
    decoder.extend(&vec![b'1'; MAX_LIST_BYTES]);
    assert!(decoder.next_item().is_err());
}

#[test]
fn host_in_an_unknown_state_counts_as_draining() {
    for health in [
        r#""health":"leaving""#,
        r#""health":null"#,
        r#""health":7"#,
        r#""share":1.0"#,
    ] {
        let text = ONE_LINE.replace(r#""health":"draining""#, health);
        let [Ok(StreamItem::List(list))] = &decode_in_chunks(&text, 1000)[..] else {
            panic!("{text}")
        };
        assert_eq!(list.hosts[0].state, HostState::Draining, "{text}");
    }
}
