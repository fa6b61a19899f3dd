//! Hosts announced as leaving, and the calls made to them.

use std::collections::BTreeMap;

use super::call_log::HostListing;

/// Hosts announced as leaving, and all calls to hosts.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// Time of the first announcement of a host as leaving in any relay's log, in milliseconds, by host name.
    announced_at: BTreeMap<String, u64>,
    /// Host names by host number, in the process whose lines are being read.
    names: BTreeMap<String, String>,
    calls: Vec<Call>,
}

#[derive(Debug)]
struct Call {
    time_ms: u64,
    host_name: String,
}

impl Departures {
    /// Starts the lines of another process, which has host numbers of its own.
    pub(super) fn process_started(&mut self) {
        self.names.clear();
    }

    /// Records a host's name, and whether it is leaving. Listings without number or name are ignored.
    pub(super) fn host_listed(&mut self, time_ms: u64, listing: &HostListing<'_>) {
        let (Some(number), Some(name)) = (listing.number, listing.name) else {
            return;
        };
        self.names.insert(number.into(), name.into());
        if listing.is_leaving {
            let first = self.announced_at.entry(name.into()).or_insert(time_ms);
            *first = time_ms.min(*first);
        }
    }

    /// Records a call to the host with this number, if its name is known.
    pub(super) fn attempt_sent(&mut self, time_ms: u64, host: Option<&str>) {
        if let Some(name) = host.and_then(|number| self.names.get(number)) {
            self.calls.push(Call {
                time_ms,
                host_name: name.clone(),
            });
        }
    }

    /// Number of hosts that were announced as leaving.
    pub(super) fn announced_hosts(&self) -> usize {
        self.announced_at.len()
    }

    /// The delays of calls to hosts that had been announced as leaving: milliseconds since the announcement, longest first.
    pub(super) fn late_calls(&self) -> Vec<u64> {
        let delay = |call: &Call| {
            let announced_at = self.announced_at.get(&call.host_name)?;
            call.time_ms.checked_sub(*announced_at)
        };
        let mut delays: Vec<u64> = self.calls.iter().filter_map(delay).collect();
        delays.sort_unstable_by(|a, b| b.cmp(a));
        delays
    }
}
