//! Entity tags (RFC 9110, section 8.8.3): a resource's version in quotes.

use std::fmt::Display;

use axum::http::HeaderValue;
use tenancy::registry::Version;

/// Maximum number of versions in a list of entity tags; further ones are ignored.
const MAX_LISTED_VERSIONS: usize = 16;

/// The value of an `If-Match` or `If-None-Match` header (RFC 9110, section 13.1).
#[derive(Debug, PartialEq, Eq)]
pub enum EntityTags {
    /// `*`: any version.
    Any,
    /// One of these versions. Weak tags, and tags that are not versions, match no version.
    Versions(Vec<Version>),
}

/// The text is not a list of entity tags.
#[derive(Debug, PartialEq, Eq)]
pub struct MalformedEntityTags;

impl EntityTags {
    /// Parses the value of a header.
    pub fn parse(list: &str) -> Result<Self, MalformedEntityTags> {
        if list.trim() == "*" {
            return Ok(EntityTags::Any);
        }
        let mut versions = Vec::new();
        for tag in list.split(',').map(str::trim) {
            match opaque_tag(tag) {
                Some(tag) => versions.extend(tag.parse::<Version>().ok()),
                None if tag.starts_with("W/\"") => {}
                None => return Err(MalformedEntityTags),
            }
        }
        versions.truncate(MAX_LISTED_VERSIONS);
        Ok(EntityTags::Versions(versions))
    }

    /// Whether the list names this version.
    pub fn matches(&self, version: Version) -> bool {
        match self {
            EntityTags::Any => true,
            EntityTags::Versions(versions) => versions.contains(&version),
        }
    }
}

/// The text between the quotes of a strong entity tag; none if `tag` is not a strong entity tag.
pub fn opaque_tag(tag: &str) -> Option<&str> {
    tag.strip_prefix('"')?.strip_suffix('"')
}

/// The value of the `ETag` header for a version.
pub fn entity_tag_value(version: impl Display) -> HeaderValue {
    // Versions consist of digits and points, which are valid in a header.
    HeaderValue::from_str(&format!("\"{version}\""))
        .unwrap_or_else(|_| HeaderValue::from_static("\"\""))
}
