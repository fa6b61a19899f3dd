//! The properties by which records are indexed and counted.

use crate::filter::Filter;
use crate::record::Record;

/// A property by which records are indexed and counted. Its discriminant is part of the keys of the index and the
/// counts, so the order of the variants is part of the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupBy {
    /// The destination's number, padded to five digits.
    Destination,
    /// The message's class.
    Class,
    /// The identifier of the reason why the message was given up.
    Reason,
    /// The tenant's name.
    Tenant,
    /// The identifier of the record's state.
    State,
}

impl GroupBy {
    /// All properties, in the order of their numbers.
    pub const ALL: [GroupBy; 5] = [
        GroupBy::Destination,
        GroupBy::Class,
        GroupBy::Reason,
        GroupBy::Tenant,
        GroupBy::State,
    ];

    /// The number in the keys of the index and the counts.
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

    /// The only group that a filter matches; none if it matches several.
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

/// Padded to a fixed length, so that groups are sorted by destination number.
fn destination_group(destination: u16) -> String {
    format!("{destination:05}")
}
