//! Applies host lists from discovery, and tracks whether the list in force is confirmed.

use std::time::Instant;

use policy::types::Event;
use relay_events::HostList;
use runtime::{log, Runtime};

use super::EventLoop;
use crate::host_directory::Names;

/// Where a host list comes from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum HostListSource {
    /// From discovery.
    Discovery,
    /// From the configuration or the state directory; it may be out of date.
    Cache,
}

impl<R: Runtime> EventLoop<R> {
    /// Handles a list, or a change to it, that discovery has sent.
    pub(super) fn host_list_received(&mut self, list: HostList) {
        self.apply_host_list(list, HostListSource::Discovery);
        self.discovery_contacted();
    }

    /// Handles a contact with discovery, which shows that the list in force is the latest.
    pub(super) fn discovery_contacted(&mut self) {
        self.confirm_host_list();
        self.record_discovery_contact();
    }

    /// Ends the wait for a confirmed list: calls may start.
    fn confirm_host_list(&mut self) {
        let was_waiting = self.membership.borrow_mut().confirm();
        if was_waiting {
            self.pending_events.push(Event::HostsUnconfirmed(false));
        }
    }

    /// The time by which discovery has to confirm the list; `None` if nothing waits for the confirmation.
    pub fn confirmation_deadline(&self) -> Option<Instant> {
        self.membership.borrow().confirmation_deadline()
    }

    /// Whether the list waits for its confirmation without a time limit, as discovery has not been polled yet.
    pub fn awaits_first_poll(&self) -> bool {
        self.membership.borrow().awaits_first_poll()
    }

    /// Lets calls start under the cached list, as discovery has not answered in time.
    pub fn use_unconfirmed_host_list(&mut self) {
        log!(
            self.runtime,
            "discovery: no_contact_since_start host_list=cached"
        );
        self.confirm_host_list();
    }

    /// Puts a list in force, and closes idle connections to hosts that may not be called under it.
    pub(super) fn apply_host_list(&mut self, list: HostList, source: HostListSource) {
        let is_full = list.is_full;
        let names = Names {
            zones: &self.config.zones,
            kinds: &self.config.kinds,
            settings: &self.config.settings.kinds,
        };
        let changes = self.host_directory.apply_list(list, &names);
        for (host, is_ready) in changes.ready {
            if is_ready {
                self.membership.borrow_mut().set_ready(host);
            } else {
                self.membership.borrow_mut().set_unavailable(host);
                self.host_connections.close_idle(host);
            }
        }
        self.pending_events.push(Event::HostsUpdated {
            is_full,
            cached: source == HostListSource::Cache,
            entries: changes.entries,
        });
    }
}
