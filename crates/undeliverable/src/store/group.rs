//! The properties by which records are indexed and counted.

use crate::filter::Filter;
use crate::record::Record;

/// A property by which records are indexed and counted. Its number is a key in the index and the counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupBy {
    /// The destination.
    Destination,
    /// The class.
    Class,
    /// The reason.
    Reason,
    /// The tenant.
    Tenant,
    /// The state.
    State,
}

impl GroupBy {
    /// All of them, in the order of their numbers.
    pub const ALL: [GroupBy; 5] = [
        GroupBy::Destination,
        GroupBy::Class,
        GroupBy::Reason,
        GroupBy::Tenant,
        GroupBy::State,
    ];

    /// Its number in the keys of the index and the counts.
    pub(super) fn key(self) -> u8 {
        self as u8
    }

    /// The group that a record belongs to.
    pub(super) fn group_of(self, record: &Record) -> String {
        match self {
            GroupBy::Destination => destination_group(record.origin.destination),
            GroupBy::Class => record.origin.class.clone(),
            GroupBy::Reason => record.reason.as_str().into(),
            GroupBy::Tenant => record.origin.tenant_name().into(),
            GroupBy::State => record.state.as_str().into(),
        }
    }

    /// The only group that a filter admits; none if it admits several.
    pub(super) fn group_in(self, filter: &Filter) -> Option<String> {
        match self {
            GroupBy::Destination => filter.destination.map(destination_group),
            GroupBy::Class => filter.class.clone(),
            GroupBy::Reason => filter.reason.map(|reason| reason.as_str().into()),
            GroupBy::Tenant => filter.tenant.clone(),
            GroupBy::State => filter.state.clone(),
        }
    }
}

/// Padded to one length, so that groups are in the order of the numbers.
fn destination_group(destination: u16) -> String {
    format!("{destination:05}")
}
