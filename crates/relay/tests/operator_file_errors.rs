//! Error messages for invalid operator files, compared word for word with a golden file.
//!
//! The lines of a case are the lines of the file, except those that begin with `%`: `%none` (there is no file),
//! `%folder` (a folder of that name), `%bytes HEX` (these bytes), and `%repeat COUNT TEXT` (the text COUNT times, where
//! `{n}` is the number of the repetition and `\n` the end of a line).

mod startup_errors;
mod support;

use std::fs;
use std::path::Path;

use support::TestBed;

const FILE: &str = "operator.toml";

fn write_input(path: &Path, input: &[String]) {
    let mut bytes = Vec::new();
    for line in input {
        match line.split_once(' ').unwrap_or((line, "")) {
            ("%none", _) => return,
            ("%folder", _) => return fs::create_dir(path).expect("a folder"),
            ("%bytes", hex) => bytes.extend(hex.split(' ').map(byte)),
            ("%repeat", rest) => bytes.extend(repeated(rest).bytes()),
            _ => bytes.extend(format!("{line}\n").bytes()),
        }
    }
    fs::write(path, bytes).expect("a file");
}

fn byte(hex: &str) -> u8 {
    u8::from_str_radix(hex, 16).expect("a byte")
}

fn repeated(rest: &str) -> String {
    let (count, text) = rest.split_once(' ').expect("a count and a text");
    let count: u32 = count.parse().expect("a count");
    let text = text.replace("\\n", "\n");
    let one = |number: u32| text.replace("{n}", &number.to_string());
    (0..count).map(one).collect()
}

#[test]
fn operator_file_errors_match_golden_file() {
    let test_bed = TestBed::new(Vec::new());
    let path = test_bed.folder.join(FILE);
    startup_errors::check("operator-file-errors.txt", |case| {
        drop(fs::remove_file(&path));
        drop(fs::remove_dir(&path));
        write_input(&path, &case.input);
        let mut command = test_bed.command();
        command.current_dir(&test_bed.folder);
        command.args(["--operator", FILE]);
        startup_errors::run(command)
    });
}
