//! Hosts that were announced as leaving, and the calls to them.

use std::collections::BTreeMap;

use super::call_log::HostListing;

/// Hosts that were announced as leaving, and all calls.
#[derive(Debug, Default)]
pub(super) struct Departures {
    /// When any relay's log first announced a host as leaving, by its name, in milliseconds.
    announced_at: BTreeMap<String, u64>,
    /// Host names by number, of the process whose lines are read.
    names: BTreeMap<String, String>,
    calls: Vec<Call>,
}

#[derive(Debug)]
struct Call {
    time_ms: u64,
    host_name: String,
}

impl Departures {
    /// Another process' lines follow, whose host numbers are its own.
    pub(super) fn process_started(&mut self) {
        self.names.clear();
    }

    /// Learns a host's name, and whether it is leaving. Listings without number or name are ignored.
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

    /// Records a call to the host of this number, if its name is known.
    pub(super) fn attempt_sent(&mut self, time_ms: u64, host: Option<&str>) {
        if let Some(name) = host.and_then(|number| self.names.get(number)) {
            self.calls.push(Call {
                time_ms,
                host_name: name.clone(),
            });
        }
    }

    /// How many hosts were announced as leaving.
    pub(super) fn announced_hosts(&self) -> usize {
        self.announced_at.len()
    }

    /// Calls to hosts that had been announced as leaving: the milliseconds since the announcement, longest first.
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
