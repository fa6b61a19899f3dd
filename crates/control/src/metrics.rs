//! The figures: what became of messages, counted where it happens. A process counts from 0.

use std::collections::BTreeMap;
use std::fmt::Write;

/// Classes that are listed at most. Names of classes that went stay, so that their counts do; past this, classes that
/// are in the settings no more are dropped, the ones with the fewest messages first.
pub const MOST_CLASSES: usize = 256;

/// How a message ended, or was not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// Delivered.
    Success,
    /// Refused at the door, or handed back.
    Overload,
    /// Failed.
    Error,
    /// Withdrawn, or over for a reason that is none of these; counted in no figure.
    Other,
}

/// Messages of one class by their end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    success: u64,
    overload: u64,
    error: u64,
    listed: bool,
}

impl Counts {
    fn all(&self) -> u64 {
        self.success + self.overload + self.error
    }
}

/// Hosts as the list and the module have them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostCounts {
    /// Hosts in the list, those that drain among them.
    pub listed: usize,
    /// Of these, the ones that the relay sends nothing to now.
    pub disabled: usize,
}

/// The figures of one process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    classes: BTreeMap<String, Counts>,
    taken: u64,
    ended: u64,
    reloads: [u64; 2],
}

impl Metrics {
    /// All classes of the settings at 0.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a String>) -> Self {
        let mut ledger = Metrics::default();
        ledger.set_classes(classes);
        ledger
    }

    /// The classes of the settings from now on; new ones start at 0, and those that went keep their counts.
    pub fn set_classes<'a>(&mut self, classes: impl IntoIterator<Item = &'a String>) {
        self.classes
            .values_mut()
            .for_each(|counts| counts.listed = false);
        for class in classes {
            self.classes.entry(class.clone()).or_default().listed = true;
        }
        while self.classes.len() > MOST_CLASSES {
            let gone = self.classes.iter().filter(|(_, counts)| !counts.listed);
            let Some(least) = gone
                .min_by_key(|(_, counts)| counts.all())
                .map(|(name, _)| name.clone())
            else {
                break;
            };
            self.classes.remove(&least);
        }
    }

    /// A message is taken on, or was by an earlier process and is owed its end by this one.
    pub fn record_accepted(&mut self) {
        self.taken += 1;
    }

    /// A message that was taken on has ended.
    pub fn record_end(&mut self, class: &str, end: MessageEnd) {
        self.ended += 1;
        debug_assert!(
            self.ended <= self.taken,
            "more messages ended than were taken"
        );
        self.count(class, end);
    }

    /// Another process owes all that this one owed.
    pub fn record_handover(&mut self) {
        self.ended = self.taken;
    }

    /// A message was not taken on. A class that the settings never had is not counted: names are the client's.
    pub fn record_rejected(&mut self, class: &str, end: MessageEnd) {
        self.count(class, end);
    }

    /// A configuration was read again, and taken or turned down.
    pub fn record_reload(&mut self, taken: bool) {
        self.reloads[usize::from(!taken)] += 1;
    }

    /// Messages that are taken and not ended.
    pub fn concurrent(&self) -> u64 {
        self.taken.saturating_sub(self.ended)
    }

    /// Messages taken, and those of them that have ended.
    pub fn accepted_and_ended(&self) -> (u64, u64) {
        (self.taken, self.ended)
    }

    fn count(&mut self, class: &str, end: MessageEnd) {
        let Some(counts) = self.classes.get_mut(class) else {
            return;
        };
        match end {
            MessageEnd::Success => counts.success += 1,
            MessageEnd::Overload => counts.overload += 1,
            MessageEnd::Error => counts.error += 1,
            MessageEnd::Other => {}
        }
    }

    /// The figures as the door shows them, one `name=value` a line.
    pub fn render(&self, dispatches: u64, targets: HostCounts) -> String {
        let mut text = String::new();
        // A text takes every line.
        for (class, counts) in &self.classes {
            let Counts {
                success,
                overload,
                error,
                ..
            } = counts;
            let _ = writeln!(text, "relay.success.{class}={success}");
            let _ = writeln!(text, "relay.overload.{class}={overload}");
            let _ = writeln!(text, "relay.error.{class}={error}");
        }
        let plain = [
            ("dispatches", dispatches),
            ("concurrent", self.concurrent()),
            ("targets", targets.listed as u64),
            ("targets_disabled", targets.disabled as u64),
            ("reload_success", self.reloads[0]),
            ("reload_failure", self.reloads[1]),
        ];
        for (figure, value) in plain {
            let _ = writeln!(text, "relay.{figure}={value}");
        }
        text
    }
}
