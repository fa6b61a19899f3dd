//! Tests of the parsing of entity tags in preconditions.

use axum::http::header::IF_MATCH;
use axum::http::HeaderMap;
use tenancy::registry::Version;

use super::entity_tags;
use crate::entity_tag::EntityTags;

fn parse_if_match(value: &str) -> Result<Option<EntityTags>, u16> {
    let mut headers = HeaderMap::new();
    headers.insert(IF_MATCH, value.parse().expect("valid header value"));
    entity_tags(&headers, &IF_MATCH).map_err(|problem| problem.status.as_u16())
}

#[test]
fn entity_tags_are_parsed_by_rfc_9110() {
    let version = |generation, revision| Version {
        generation,
        revision,
    };
    let versions = |versions| Ok(Some(EntityTags::Versions(versions)));
    assert_eq!(entity_tags(&HeaderMap::new(), &IF_MATCH), Ok(None));
    assert_eq!(parse_if_match("*"), Ok(Some(EntityTags::Any)));
    assert_eq!(parse_if_match("\"1.7\""), versions(vec![version(1, 7)]));
    assert_eq!(
        parse_if_match("\"1.7\" , \"2.1\""),
        versions(vec![version(1, 7), version(2, 1)])
    );
    assert_eq!(parse_if_match("W/\"1.7\""), versions(Vec::new()));
    assert_eq!(parse_if_match("\"other\""), versions(Vec::new()));
    for malformed in ["1.7", "\"1.7", "", "\"1.7\", x"] {
        assert_eq!(parse_if_match(malformed), Err(400), "{malformed}");
    }
}
