//! Error messages for invalid configurations, compared word for word with a golden file.
//!
//! The lines of a case change a valid configuration: `set POINTER JSON`, `remove POINTER`, `text TEXT` (the whole file),
//! `variable NAME VALUE`, `no-variable NAME`, `no-file`.

mod startup_errors;
mod support;

use std::fs;
use std::process::Command;

use serde_json::Value;
use startup_errors::Case;
use support::TestBed;

const FILE: &str = "config.json";

/// Sets a value, and adds the key if it is missing.
fn set(config: &mut Value, pointer: &str, value: Value) {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    match config.pointer_mut(parent).expect("a parent") {
        Value::Array(list) => list[key.parse::<usize>().expect("an index")] = value,
        parent => parent[key] = value,
    }
}

fn remove(config: &mut Value, pointer: &str) {
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    let parent = config.pointer_mut(parent).and_then(Value::as_object_mut);
    parent.expect("a parent").remove(key).expect("a key");
}

fn answer(test_bed: &TestBed, case: &Case) -> String {
    let mut command: Command = test_bed.command();
    command.current_dir(&test_bed.folder);
    command.env("BALANCER_CONFIG", FILE);
    command.env_remove("BALANCER_CONTROL");
    let mut config = test_bed.config.clone();
    let mut text = None;
    let path = test_bed.folder.join(FILE);
    let mut is_there = true;
    for line in &case.input {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let (first, second) = rest.split_once(' ').unwrap_or((rest, ""));
        match word {
            "set" => set(
                &mut config,
                first,
                serde_json::from_str(second).expect("JSON"),
            ),
            "remove" => remove(&mut config, first),
            "text" => text = Some(rest.to_string()),
            "variable" => drop(command.env(first, second)),
            "no-variable" => drop(command.env_remove(first)),
            "no-file" => is_there = false,
            _ => panic!("unknown instruction: {line}"),
        }
    }
    if is_there {
        fs::write(&path, text.unwrap_or_else(|| config.to_string())).expect("a file");
    } else {
        fs::remove_file(&path).expect("removed");
    }
    startup_errors::run(command)
}

#[test]
fn configuration_errors_match_golden_file() {
    let test_bed = TestBed::new(Vec::new());
    startup_errors::check("configuration-errors.txt", |case| answer(&test_bed, case));
}
