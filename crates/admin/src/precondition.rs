//! Preconditions of requests: `If-Match` and `If-None-Match` (RFC 9110, section 13.1).

use axum::http::header::{IF_MATCH, IF_NONE_MATCH};
use axum::http::{HeaderMap, HeaderName};
use tenancy::registry::Precondition;

use crate::entity_tag::{opaque_tag, EntityTags};
use crate::headers;
use crate::problem::Problem;

#[cfg(test)]
mod tests;

/// The versions that `If-None-Match` names; none if the header is absent.
///
/// # Errors
///
/// A [`Problem`] with status 400 if the header is malformed.
pub fn if_none_match(headers: &HeaderMap) -> Result<Option<EntityTags>, Problem> {
    entity_tags(headers, &IF_NONE_MATCH)
}

/// The versions of a tenant to which `If-Match` permits a change.
///
/// # Errors
///
/// A [`Problem`] with status 428 if the header is absent, and 400 if it is malformed.
pub fn if_match(headers: &HeaderMap) -> Result<Precondition, Problem> {
    match entity_tags(headers, &IF_MATCH)? {
        None => Err(Problem::precondition_required()),
        Some(EntityTags::Any) => Ok(Precondition::Any),
        Some(EntityTags::Versions(versions)) => Ok(Precondition::OneOf(versions)),
    }
}

/// The version that `If-Match` names, for a resource whose versions are plain numbers; none for `*` (any version).
///
/// # Errors
///
/// A [`Problem`] with status 428 if the header is absent, and 400 if it is malformed.
pub fn if_match_number(headers: &HeaderMap) -> Result<Option<u32>, Problem> {
    let Some(tag) = headers::text(headers, &IF_MATCH)? else {
        return Err(Problem::precondition_required());
    };
    let tag = tag.trim();
    if tag == "*" {
        return Ok(None);
    }
    opaque_tag(tag)
        .and_then(|number| number.parse().ok())
        .map(Some)
        .ok_or_else(|| Problem::malformed("if-match is not one entity tag of this resource"))
}

/// Whether the request creates the resource: `If-None-Match: *` without an `If-Match`.
///
/// # Errors
///
/// A [`Problem`] with status 400 if `If-None-Match` is malformed.
pub fn is_create_only(headers: &HeaderMap) -> Result<bool, Problem> {
    let tags = if_none_match(headers)?;
    Ok(tags == Some(EntityTags::Any) && !headers.contains_key(IF_MATCH))
}

fn entity_tags(headers: &HeaderMap, name: &HeaderName) -> Result<Option<EntityTags>, Problem> {
    let Some(list) = headers::text(headers, name)? else {
        return Ok(None);
    };
    EntityTags::parse(list)
        .map(Some)
        .map_err(|_| Problem::malformed(format!("{name} is no list of entity tags")))
}
