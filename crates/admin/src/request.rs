//! What a request says beside its path: who asks, for which state, under which key, and its body.

use axum::body::Bytes;
use axum::extract::{FromRequest, FromRequestParts, OriginalUri, Request};
use axum::http::header::{AUTHORIZATION, CONTENT_TYPE, IF_MATCH, IF_NONE_MATCH};
use axum::http::request::Parts;
use axum::http::{HeaderMap, StatusCode};
use serde::de::DeserializeOwned;
use tenancy::registry::{Change, Command, Precondition, Version};
use tenancy::secret::Digest;

use crate::api::Api;
use crate::auth::Caller;
use crate::problem::Problem;

/// The longest idempotency key and request id, in characters.
const LONGEST_NAME: usize = 128;
/// Versions that one `If-Match` may name.
const MOST_VERSIONS: usize = 16;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_| Problem::malformed(format!("{name} is no text")))
}

/// A short text of printable characters.
fn name<'a>(headers: &'a HeaderMap, header: &str) -> Result<Option<&'a str>, Problem> {
    match text(headers, header)? {
        Some(name) if name.is_empty() || name.len() > LONGEST_NAME => Err(Problem::malformed(
            format!("{header} is not 1 to {LONGEST_NAME} characters"),
        )),
        name => Ok(name),
    }
}

impl FromRequestParts<Api> for Caller {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, api: &Api) -> Result<Self, Problem> {
        let header = parts
            .headers
            .get(AUTHORIZATION)
            .map(|value| value.to_str().unwrap_or(""));
        api.who(header)
    }
}

/// The tags of an `If-Match` or `If-None-Match` header (RFC 9110, section 13.1).
#[derive(Debug, PartialEq, Eq)]
pub enum Tags {
    /// `*`: any state there is.
    Any,
    /// One of these; weak ones match nothing.
    These(Vec<Version>),
}

/// The tags of a header, if it is there.
pub fn tags(headers: &HeaderMap, header: &str) -> Result<Option<Tags>, Problem> {
    let Some(list) = text(headers, header)? else {
        return Ok(None);
    };
    if list.trim() == "*" {
        return Ok(Some(Tags::Any));
    }
    let mut versions = Vec::new();
    for tag in list.split(',').map(str::trim) {
        let strong = tag.strip_prefix('"').and_then(|tag| tag.strip_suffix('"'));
        match strong {
            // A tag that is none of ours is that of no state.
            Some(tag) => versions.extend(tag.parse::<Version>().ok()),
            None if tag.starts_with("W/\"") => {}
            None => {
                return Err(Problem::malformed(format!(
                    "{header} is no list of entity tags"
                )))
            }
        }
    }
    versions.truncate(MOST_VERSIONS);
    Ok(Some(Tags::These(versions)))
}

/// A request for a change.
pub struct Asked {
    /// Who asks.
    pub caller: Caller,
    headers: HeaderMap,
    /// Digest of all that is asked.
    digest: Digest,
    request: String,
    body: Bytes,
}

impl FromRequest<Api> for Asked {
    type Rejection = Problem;

    async fn from_request(request: Request, api: &Api) -> Result<Self, Problem> {
        let (mut parts, body) = request.into_parts();
        let caller = Caller::from_request_parts(&mut parts, api).await?;
        let uri = OriginalUri::from_request_parts(&mut parts, api)
            .await
            .map(|OriginalUri(uri)| uri);
        let uri = uri.unwrap_or_else(|never| match never {});
        let method = parts.method.clone();
        let headers = parts.headers.clone();
        let request = Request::from_parts(parts, body);
        let body = Bytes::from_request(request, api)
            .await
            .map_err(|rejection| {
                Problem::new(rejection.status(), "unreadable-body", rejection.body_text())
            })?;
        let header = |name| headers.get(name).map_or(&b""[..], |value| value.as_bytes());
        let target = uri.path_and_query().map_or("", |target| target.as_str());
        let parts = [
            method.as_str().as_bytes(),
            target.as_bytes(),
            header(IF_MATCH),
            header(IF_NONE_MATCH),
            &body,
        ];
        let digest = Digest::of_parts(parts);
        let request =
            name(&headers, "x-request-id")?.map_or_else(|| api.request_id(), String::from);
        Ok(Asked {
            caller,
            headers,
            digest,
            request,
            body,
        })
    }
}

impl Asked {
    /// The body as JSON of a type, which is an object.
    pub fn json<T: DeserializeOwned>(&self, types: &[&str]) -> Result<T, Problem> {
        let kind = text(&self.headers, CONTENT_TYPE.as_str())?.unwrap_or("");
        let kind = kind
            .split(';')
            .next()
            .unwrap_or("")
            .trim()
            .to_ascii_lowercase();
        if !types.contains(&kind.as_str()) {
            let detail = format!("the body is to be {}", types.join(" or "));
            return Err(Problem::new(
                StatusCode::UNSUPPORTED_MEDIA_TYPE,
                "unsupported-media-type",
                detail,
            ));
        }
        let value: serde_json::Value = serde_json::from_slice(&self.body)
            .map_err(|e| Problem::malformed(format!("the body is no JSON: {e}")))?;
        // An array would be read as an object whose fields stand in their order.
        if !value.is_object() {
            return Err(Problem::malformed("the body is no JSON object"));
        }
        let bad = |e: serde_json::Error| {
            Problem::new(
                StatusCode::UNPROCESSABLE_ENTITY,
                "invalid-value",
                e.to_string(),
            )
        };
        serde_json::from_value(value).map_err(bad)
    }

    /// Which state the change is meant for.
    pub fn expect(&self) -> Result<Precondition, Problem> {
        match tags(&self.headers, IF_MATCH.as_str())? {
            None => Err(Problem::precondition_required()),
            Some(Tags::Any) => Ok(Precondition::Any),
            Some(Tags::These(versions)) => Ok(Precondition::OneOf(versions)),
        }
    }

    /// Which version of something that has plain numbers for versions the change is meant for; none for any.
    pub fn expect_number(&self) -> Result<Option<u32>, Problem> {
        let Some(tag) = text(&self.headers, IF_MATCH.as_str())? else {
            return Err(Problem::precondition_required());
        };
        if tag.trim() == "*" {
            return Ok(None);
        }
        let number = tag
            .trim()
            .strip_prefix('"')
            .and_then(|tag| tag.strip_suffix('"'));
        let number = number.and_then(|number| number.parse().ok());
        number
            .map(Some)
            .ok_or_else(|| Problem::malformed("if-match is not one entity tag of this resource"))
    }

    /// Whether the tenant is to be made, and must not be there yet.
    pub fn makes(&self) -> Result<bool, Problem> {
        let none = tags(&self.headers, IF_NONE_MATCH.as_str())?;
        Ok(none == Some(Tags::Any) && !self.headers.contains_key(IF_MATCH))
    }

    /// The change as the registry takes it.
    pub fn command(
        &self,
        tenant: &str,
        expect: Precondition,
        change: Change,
    ) -> Result<Command, Problem> {
        let key = name(&self.headers, "idempotency-key")?;
        Ok(Command {
            actor: self.caller.actor(),
            request: self.request.clone(),
            key: key.map(|key| (key.to_string(), self.digest.clone())),
            name: tenant.into(),
            precondition: expect,
            change,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(value: &str) -> Result<Option<Tags>, u16> {
        let mut headers = HeaderMap::new();
        headers.insert(IF_MATCH, value.parse().expect("a value"));
        tags(&headers, "if-match").map_err(|problem| problem.status.as_u16())
    }

    #[test]
    fn entity_tags_are_read_as_the_rfc_has_them() {
        let version = |generation, revision| Version {
            generation,
            revision,
        };
        assert_eq!(tags(&HeaderMap::new(), "if-match"), Ok(None));
        assert_eq!(read("*"), Ok(Some(Tags::Any)));
        assert_eq!(read("\"1.7\""), Ok(Some(Tags::These(vec![version(1, 7)]))));
        assert_eq!(
            read("\"1.7\" , \"2.1\""),
            Ok(Some(Tags::These(vec![version(1, 7), version(2, 1)])))
        );
        assert_eq!(read("W/\"1.7\""), Ok(Some(Tags::These(Vec::new()))));
        assert_eq!(read("\"other\""), Ok(Some(Tags::These(Vec::new()))));
        for bad in ["1.7", "\"1.7", "", "\"1.7\", x"] {
            assert_eq!(read(bad), Err(400), "{bad}");
        }
    }
}
