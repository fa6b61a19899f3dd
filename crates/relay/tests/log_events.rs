//! Every event that the sources log is listed in the table of events in `docs/operations.md`, and every event of the table
//! is logged somewhere.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Packages whose sources write the relay's log.
const LOGGING_PACKAGES: [&str; 2] = ["admin", "relay"];
/// Events of the call log, whose log line in the sources has the placeholder `{event}`.
const CALL_LOG_EVENTS: [&str; 5] = [
    "message_arrived",
    "message_restored",
    "attempt_sent",
    "message_rejected",
    "message_failed",
];

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn rust_sources(folder: &Path, sources: &mut Vec<String>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            rust_sources(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(fs::read_to_string(&path).expect("a source"));
        }
    }
}

/// The text of each `log!` call in a source: the text between the first pair of quotation marks.
fn logged_texts(source: &str) -> Vec<&str> {
    source
        .split("log!(")
        .skip(1)
        .map(|call| call.split('"').nth(1).expect("a log line is a literal"))
        .collect()
}

fn is_word(text: &str) -> bool {
    text.starts_with(|first: char| first.is_ascii_lowercase())
        && text
            .chars()
            .all(|letter| letter.is_ascii_lowercase() || letter.is_ascii_digit() || letter == '_')
}

/// Returns `component: event` of a log line, and checks that only `key=value` fields follow.
fn event_of(text: &str) -> String {
    let (component, rest) = text.split_once(": ").unwrap_or_else(|| panic!("{text}"));
    let mut words = rest.split_whitespace();
    let event = words.next().unwrap_or_else(|| panic!("{text}"));
    assert!(is_word(component), "{text}");
    assert!(is_word(event) || event == "{event}", "{text}");
    for field in words.filter(|word| !word.starts_with('\\')) {
        let key = field.split_once('=').map(|(key, _)| key);
        assert!(
            key.is_some_and(is_word) || field.starts_with('{'),
            "{field} in {text}"
        );
    }
    format!("{component}: {event}")
}

fn logged_events() -> BTreeSet<String> {
    let mut sources = Vec::new();
    for package in LOGGING_PACKAGES {
        rust_sources(
            &repository().join("crates").join(package).join("src"),
            &mut sources,
        );
    }
    let mut events: BTreeSet<String> = sources
        .iter()
        .flat_map(|source| logged_texts(source))
        .map(event_of)
        .collect();
    assert!(
        events.remove("call_log: {event}"),
        "the call log has no line with {{event}}"
    );
    events.extend(CALL_LOG_EVENTS.map(|event| format!("call_log: {event}")));
    events
}

/// The events of the table: the first code span of each row that begins with one.
fn documented_events() -> BTreeSet<String> {
    let page = fs::read_to_string(repository().join("docs/operations.md")).expect("the page");
    let (_, section) = page
        .split_once("## Log events")
        .expect("a section on log events");
    let section = section.split("\n## ").next().unwrap_or_default();
    let rows = section
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|row| row.split('`').next());
    let events: Vec<String> = rows
        .map(|row| row.split_whitespace().take(2).collect::<Vec<_>>().join(" "))
        .collect();
    let distinct: BTreeSet<String> = events.iter().cloned().collect();
    assert_eq!(distinct.len(), events.len(), "an event has several rows");
    distinct
}

#[test]
fn logged_events_match_documented_events() {
    let (logged, documented) = (logged_events(), documented_events());
    let missing: Vec<&String> = logged.difference(&documented).collect();
    let stale: Vec<&String> = documented.difference(&logged).collect();
    assert!(missing.is_empty(), "not in docs/operations.md: {missing:?}");
    assert!(stale.is_empty(), "documented but not logged: {stale:?}");
    assert!(logged.len() > 40, "{}", logged.len());
}
