//! Parses the load reports that hosts attach to their answers.

use policy::types::ReportField;

/// The largest share of an allowance that is accepted; a little over 1 is possible while the allowance changes.
const MAX_ALLOWANCE_SHARE: f32 = 2.0;
/// The largest accepted value of any other field.
const MAX_VALUE: f32 = 1e6;

#[cfg(test)]
mod tests;

/// Returns the values of a report in the order of `wanted`, or `None` if any is missing, not a number or out of range.
///
/// A report is used completely or not at all: a missing value is not zero, and an implausible one would make the
/// policy change how it treats a destination.
pub(super) fn parse_load_report<'a>(
    wanted: impl Iterator<Item = (&'a String, &'a ReportField)>,
    text: &str,
) -> Option<Vec<f32>> {
    wanted
        .map(|(name, field)| parse_field(name, field, text))
        .collect()
}

fn parse_field(name: &str, field: &ReportField, text: &str) -> Option<f32> {
    let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| key.trim() == name)?;
    let max = match field {
        ReportField::AllowanceLeft => MAX_ALLOWANCE_SHARE,
        _ => MAX_VALUE,
    };
    let value: f32 = value.trim().parse().ok()?;
    (0.0..=max).contains(&value).then_some(value)
}
