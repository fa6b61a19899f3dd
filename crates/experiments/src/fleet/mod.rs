//! Statistics of all relays of a fleet, counted from their call logs.

mod call_log;
mod counts;
mod departures;
mod report;
#[cfg(test)]
mod tests;

use std::fs;
use std::path::Path;

use crate::error::Error;
use counts::FleetCounts;
pub use report::ReportDetail;

/// Reads all files in a folder whose names end in `.log`, and reports the counts by intervals of `interval_ms`
/// milliseconds.
///
/// # Errors
///
/// [`Error::File`] if the folder or a log cannot be read, [`Error::NoCallLog`] if no log has a line about a destination.
pub fn run(folder: &Path, interval_ms: u64, detail: ReportDetail) -> Result<String, Error> {
    let logs = read_logs(folder)?;
    let lines = || logs.iter().flat_map(|log| log.lines());
    let mut counts = FleetCounts::new(interval_ms);
    // The intervals of all relays begin with the earliest line of all logs.
    counts.start_ms = lines().filter_map(call_log::parse_time_ms).min();
    lines().for_each(|line| counts.record_line(line));
    if counts.destinations.is_empty() {
        return Err(Error::NoCallLog {
            folder: folder.into(),
        });
    }
    Ok(report::render(&counts, detail))
}

fn read_logs(folder: &Path) -> Result<Vec<String>, Error> {
    let file_error = |path: &Path| {
        let path = path.to_path_buf();
        move |error| Error::File { path, error }
    };
    let mut logs = Vec::new();
    for entry in fs::read_dir(folder).map_err(file_error(folder))? {
        let path = entry.map_err(file_error(folder))?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            let bytes = fs::read(&path).map_err(file_error(&path))?;
            logs.push(String::from_utf8_lossy(&bytes).into_owned());
        }
    }
    Ok(logs)
}
