//! Lists as they come: one JSON object after another, in pieces, on one line or indented over many.

use bytes::{Buf, BytesMut};
use relay_events::HostList;

/// Bytes of a list at most: some twenty thousand hosts.
pub const LONGEST: usize = 4 << 20;

/// What a feed holds next.
#[derive(Debug, PartialEq)]
pub enum Item {
    /// A list, or what changed of it.
    List(HostList),
    /// An empty line: nothing has changed.
    Beat,
}

/// Cuts a stream into lists; each byte is looked at once.
#[derive(Default)]
pub struct ListDecoder {
    text: BytesMut,
    /// So much of it was looked at.
    seen: usize,
    /// Open brackets and braces there.
    depth: usize,
    /// Within a string, and behind a backslash in it.
    string: bool,
    escaped: bool,
    /// The last bytes were a line's end.
    line_ended: bool,
}

impl ListDecoder {
    /// More of the stream.
    pub fn extend(&mut self, text: &[u8]) {
        self.text.extend_from_slice(text);
    }

    /// Half of a list has come.
    pub fn is_open(&self) -> bool {
        self.depth > 0
    }

    /// What is whole by now, if anything is. After an error the stream is of no further use.
    pub fn next(&mut self) -> Result<Option<Item>, String> {
        while let Some(byte) = self.text.get(self.seen).copied() {
            self.seen += 1;
            if self.seen > LONGEST {
                return Err("a list is too long".into());
            }
            let line_ended = std::mem::take(&mut self.line_ended);
            match byte {
                // No string goes over a line's end: the rest of a list that was cut off does not come.
                b'\n' if self.string => return Err("a list was cut off".into()),
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' if self.string => self.escaped = true,
                b'"' if self.depth > 0 => self.string = !self.string,
                _ if self.string => {}
                b'{' | b'[' if self.depth > 0 || byte == b'{' => self.depth += 1,
                b'}' | b']' if self.depth > 1 => self.depth -= 1,
                b'}' if self.depth == 1 => {
                    let text = self.text.split_to(self.seen);
                    (self.seen, self.depth) = (0, 0);
                    return match serde_json::from_slice(&text) {
                        Ok(list) => Ok(Some(Item::List(list))),
                        Err(error) => Err(error.to_string()),
                    };
                }
                // Nobody indents with empty lines.
                b'\n' if self.depth > 0 && line_ended => return Err("a list was cut off".into()),
                b'\n' if self.depth > 0 => self.line_ended = true,
                b'\n' => {
                    self.text.advance(std::mem::take(&mut self.seen));
                    return Ok(Some(Item::Beat));
                }
                b' ' | b'\t' | b'\r' => self.line_ended = line_ended,
                _ if self.depth > 0 => {}
                _ => return Err("a line is no list".into()),
            }
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use policy::types::HostState;

    const LINE: &str = r#"{"seq":43,"whole":false,"hosts":[{"host":"a\"}","dial":"10.1.0.1:80","block":3,"health":"draining"}]}"#;
    const INDENTED: &str = "{\n  \"seq\": 43,\n  \"whole\": false,\n  \"hosts\": [\r\n    {\n      \"host\": \"a\\\"}\",\n      \"dial\": \"10.1.0.1:80\",\n      \"block\": 3,\n      \"health\": \"draining\"\n    }\n  ]\n}\n";

    fn items(text: &str, cut: usize) -> Vec<Result<Item, String>> {
        let (mut feed, mut items) = (ListDecoder::default(), Vec::new());
        for part in text.as_bytes().chunks(cut) {
            feed.extend(part);
            loop {
                match feed.next() {
                    Ok(Some(item)) => items.push(Ok(item)),
                    Ok(None) => break,
                    Err(error) => {
                        items.push(Err(error));
                        return items;
                    }
                }
            }
        }
        items
    }

    #[test]
    fn a_list_is_the_same_on_one_line_indented_and_in_pieces() {
        for cut in [1, 2, 7, 1000] {
            for text in [LINE, INDENTED] {
                let found = items(&format!("\n{text}\n \n"), cut);
                let lists: Vec<_> = found
                    .iter()
                    .filter(|item| !matches!(item, Ok(Item::Beat)))
                    .collect();
                let [Ok(Item::List(list))] = &lists[..] else {
                    panic!("{found:?}")
                };
                assert_eq!((list.version, &*list.hosts[0].name), (43, "a\"}"));
                assert_eq!(list.hosts[0].state, HostState::Draining);
            }
        }
    }

    #[test]
    fn a_list_that_is_cut_off_is_told_from_one_that_is_to_come() {
        // Behind a value, and within a string.
        for (half, cut) in [45, 60]
            .into_iter()
            .flat_map(|at| [1, 1000].map(|cut| (&LINE[..at], cut)))
        {
            // The next empty line, or the next list, shows that its rest is not to come.
            assert!(items(&format!("{half}\n\n"), cut)
                .last()
                .expect("an item")
                .is_err());
            let with_next = format!("{half}\n{LINE}\n\n");
            assert!(
                items(&with_next, cut)
                    .iter()
                    .all(|item| !matches!(item, Ok(Item::List(_)))),
                "{cut}"
            );
            assert!(items(&with_next, cut).last().expect("an item").is_err());
        }
        let mut feed = ListDecoder::default();
        feed.extend(&LINE.as_bytes()[..60]);
        assert_eq!((feed.next(), feed.is_open()), (Ok(None), true));
    }

    #[test]
    fn what_is_no_list_is_an_error_and_a_list_without_end_too() {
        for text in [
            "noise\n",
            "[1]\n",
            "}\n",
            "{\"seq\":true}\n",
            "{\"hosts\":[{}]}\n",
            "\"a\"\n",
        ] {
            assert!(items(text, 3).last().expect("an item").is_err(), "{text}");
        }
        let mut feed = ListDecoder::default();
        feed.extend(b"{\"a\":[");
        feed.extend(&vec![b'1'; LONGEST]);
        assert!(feed.next().is_err());
    }

    #[test]
    fn a_health_that_is_not_known_is_not_taken_for_up() {
        for health in [
            r#""health":"leaving""#,
            r#""health":null"#,
            r#""health":7"#,
            r#""share":1.0"#,
        ] {
            let text = LINE.replace(r#""health":"draining""#, health);
            let [Ok(Item::List(list))] = &items(&text, 1000)[..] else {
                panic!("{text}")
            };
            assert_eq!(list.hosts[0].state, HostState::Draining, "{text}");
        }
    }
}
