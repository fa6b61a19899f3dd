//! HTTP client that queries a partner whether a message took effect.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use runtime::{connect_despite_shortage, Runtime, Stream, Task};
use undeliverable::record::ExecutionClaim;

use super::settings::Partner;

/// Maximum size of an answer's body, in bytes. A longer answer is invalid.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// A query whether a message took effect.
pub struct PartnerQuery {
    path: String,
    partner: Partner,
}

impl PartnerQuery {
    /// Creates the query for the message with this name and idempotency key.
    pub fn new(partner: &Partner, name: &str, key: Option<&str>) -> Self {
        let path = partner
            .path
            .replace("{id}", &percent_encode(name))
            .replace("{key}", &percent_encode(key.unwrap_or("")));
        PartnerQuery {
            path,
            partner: partner.clone(),
        }
    }

    /// Sends the query. Returns the partner's claim; none if there was no valid answer in time.
    pub async fn run<R: Runtime>(self, runtime: R) -> Option<ExecutionClaim> {
        let answer = self.request_claim(&runtime);
        let timeout = self.partner.timeout();
        runtime.timeout(timeout, answer).await.ok().flatten()
    }

    async fn request_claim<R: Runtime>(&self, runtime: &R) -> Option<ExecutionClaim> {
        let address = self.partner.address;
        let stream = connect_despite_shortage(runtime, address).await.ok()?;
        stream.set_nodelay().ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let mut task = runtime.spawn(async move { drop(connection.await) });
        let claim = self.exchange(&mut sender).await;
        task.abort();
        task.join().await;
        claim
    }

    async fn exchange(
        &self,
        sender: &mut http1::SendRequest<Empty<Bytes>>,
    ) -> Option<ExecutionClaim> {
        let request = Request::get(&self.path)
            .header(HOST, self.partner.address.to_string())
            .body(Empty::new())
            .ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        parse_answer(&self.partner, status, &body)
    }
}

/// The claim of an answer; none if the answer has no meaning by the partner's settings.
fn parse_answer(partner: &Partner, status: StatusCode, body: &[u8]) -> Option<ExecutionClaim> {
    if status == StatusCode::NOT_FOUND {
        return partner.absent_is_404.then_some(ExecutionClaim::NotApplied);
    }
    if status != StatusCode::OK {
        return None;
    }
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    let state = value.get(&partner.field)?.as_str()?;
    let is_among = |values: &[String]| values.iter().any(|value| value == state);
    Some(
        match (is_among(&partner.applied), is_among(&partner.not_applied)) {
            (true, _) => ExecutionClaim::Applied,
            (_, true) => ExecutionClaim::NotApplied,
            _ => ExecutionClaim::Unknown,
        },
    )
}

/// Percent-encodes all characters except the unreserved ones (RFC 3986, section 2.3).
fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded += &format!("%{byte:02X}");
        }
    }
    encoded
}

#[cfg(test)]
mod tests;
