//! The metrics of one process: counters of how messages ended, and gauges. All counters start at 0 with the process.

use std::collections::BTreeMap;
use std::fmt;

/// Maximum number of classes that are listed. A class that is removed from the settings stays in the list, so that its
/// counters are kept; above this maximum the removed classes with the fewest messages are dropped.
pub const MAX_CLASSES: usize = 256;

/// How a message ended, or why it was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// Delivered.
    Success,
    /// Rejected by admission, or deferred to the client.
    Overload,
    /// Failed.
    Error,
    /// Cancelled, or ended for a reason that no counter covers.
    Other,
}

/// Numbers of messages of one class, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ClassCounters {
    success: u64,
    overload: u64,
    error: u64,
    /// The class is in the settings.
    is_configured: bool,
}

impl ClassCounters {
    fn total(&self) -> u64 {
        self.success + self.overload + self.error
    }
}

/// Numbers of hosts according to the host list and the delivery policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostCounts {
    /// Hosts in the list, including those that drain.
    pub listed: usize,
    /// Listed hosts to which the relay currently sends nothing.
    pub disabled: usize,
}

/// Messages that a process has accepted, and those of them that have ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageTotals {
    /// Messages accepted.
    pub accepted: u64,
    /// Of these, the messages that have ended.
    pub ended: u64,
}

/// The metrics of one process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    classes: BTreeMap<String, ClassCounters>,
    messages: MessageTotals,
    successful_reloads: u64,
    failed_reloads: u64,
}

impl Metrics {
    /// Creates the metrics of a process that starts, with the counters of all classes of the settings at 0.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a String>) -> Self {
        let mut metrics = Metrics::default();
        metrics.set_classes(classes);
        metrics
    }

    /// Sets the classes of the settings. New ones start at 0, and removed ones keep their counters.
    pub fn set_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a String>) {
        for counters in self.classes.values_mut() {
            counters.is_configured = false;
        }
        for class in classes {
            let counters = self.classes.entry(class.clone()).or_default();
            counters.is_configured = true;
        }
        while self.classes.len() > MAX_CLASSES {
            let Some(name) = self.smallest_removed_class() else {
                break;
            };
            self.classes.remove(&name);
        }
    }

    fn smallest_removed_class(&self) -> Option<String> {
        self.classes
            .iter()
            .filter(|(_, counters)| !counters.is_configured)
            .min_by_key(|(_, counters)| counters.total())
            .map(|(name, _)| name.clone())
    }

    /// Records a message that this process accepted, or restored from an earlier process.
    pub fn record_accepted(&mut self) {
        self.messages.accepted += 1;
    }

    /// Records the end of an accepted message.
    pub fn record_end(&mut self, class: &str, end: MessageEnd) {
        self.messages.ended += 1;
        debug_assert!(
            self.messages.ended <= self.messages.accepted,
            "more messages ended than were accepted"
        );
        self.count(class, end);
    }

    /// Records that another process has taken over all messages that have not ended.
    pub fn record_handover(&mut self) {
        self.messages.ended = self.messages.accepted;
    }

    /// Records a message that was not accepted. A class that was never in the settings is not counted, because its
    /// name was chosen by the client.
    pub fn record_rejected(&mut self, class: &str, end: MessageEnd) {
        self.count(class, end);
    }

    /// Records that the configuration was read again, and whether it was applied.
    pub fn record_reload(&mut self, is_applied: bool) {
        if is_applied {
            self.successful_reloads += 1;
        } else {
            self.failed_reloads += 1;
        }
    }

    /// The number of accepted messages that have not ended.
    #[must_use]
    pub fn concurrent(&self) -> u64 {
        self.messages.accepted.saturating_sub(self.messages.ended)
    }

    /// The numbers of accepted and ended messages.
    #[must_use]
    pub fn message_totals(&self) -> MessageTotals {
        self.messages
    }

    fn count(&mut self, class: &str, end: MessageEnd) {
        let Some(counters) = self.classes.get_mut(class) else {
            return;
        };
        match end {
            MessageEnd::Success => counters.success += 1,
            MessageEnd::Overload => counters.overload += 1,
            MessageEnd::Error => counters.error += 1,
            MessageEnd::Other => {}
        }
    }

    /// Formats the metrics for the control socket, one `relay.name=value` per line. Dispatches and hosts are counted
    /// elsewhere and passed in.
    #[must_use]
    pub fn render(&self, dispatches: u64, hosts: HostCounts) -> String {
        let mut text = String::new();
        for (class, counters) in &self.classes {
            push_metric(&mut text, format_args!("success.{class}"), counters.success);
            push_metric(
                &mut text,
                format_args!("overload.{class}"),
                counters.overload,
            );
            push_metric(&mut text, format_args!("error.{class}"), counters.error);
        }
        let totals = [
            ("dispatches", dispatches),
            ("concurrent", self.concurrent()),
            ("targets", hosts.listed as u64),
            ("targets_disabled", hosts.disabled as u64),
            ("reload_success", self.successful_reloads),
            ("reload_failure", self.failed_reloads),
        ];
        for (name, value) in totals {
            push_metric(&mut text, format_args!("{name}"), value);
        }
        text
    }
}

fn push_metric(text: &mut String, name: fmt::Arguments<'_>, value: u64) {
    text.push_str(&format!("relay.{name}={value}\n"));
}
