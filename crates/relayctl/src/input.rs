//! Validates and reads values given on the command line.

use std::io::Read;
use std::path::Path;

use clap::ValueEnum;

use crate::error::CommandError;

/// The path that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// The name of an enum value, which is the same on the command line and in the API.
pub fn choice_name(choice: impl ValueEnum) -> String {
    choice
        .to_possible_value()
        .map_or_else(String::new, |value| value.get_name().into())
}

/// Checks that a name can be used unescaped as a segment of a URL path.
///
/// # Errors
/// The name is empty or has characters that names of the API cannot have.
pub fn path_segment(name: &str) -> Result<&str, CommandError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if !name.is_empty() && name.bytes().all(is_allowed) {
        return Ok(name);
    }
    Err(CommandError::InvalidInput(format!(
        "{name:?} is not a valid name: only letters, digits, '.', '_' and '-' are allowed"
    )))
}

/// Reads the text of a file, or of standard input if the path is `-`.
///
/// # Errors
/// The file cannot be read, or is not UTF-8.
pub fn read_text(path: &Path) -> Result<String, CommandError> {
    let unreadable = |e: std::io::Error| {
        CommandError::InvalidInput(format!("cannot read {}: {e}", path.display()))
    };
    if path == Path::new(STANDARD_INPUT) {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(unreadable)?;
        return Ok(text);
    }
    std::fs::read_to_string(path).map_err(unreadable)
}
