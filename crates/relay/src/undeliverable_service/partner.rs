//! Asks a partner whether a message took effect.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use runtime::{Runtime, Stream, Task};
use undeliverable::record::ExecutionClaim;

use super::settings::PartnerSettings;

/// A longer answer is not read.
const LONGEST: usize = 64 << 10;

/// What is to be asked.
pub struct Question {
    address: SocketAddr,
    path: String,
    timeout: Duration,
    partner: PartnerSettings,
}

impl Question {
    /// The question on a message of this name and key.
    pub fn new(partner: &PartnerSettings, name: &str, key: Option<&str>) -> Self {
        let path = partner
            .path
            .replace("{id}", &in_path(name))
            .replace("{key}", &in_path(key.unwrap_or("")));
        Question {
            address: partner.address,
            path,
            timeout: partner.timeout(),
            partner: partner.clone(),
        }
    }

    /// Asks; none if no answer that can be read came in time.
    pub async fn ask<R: Runtime>(self, runtime: R) -> Option<ExecutionClaim> {
        let asked = async {
            let stream = runtime.connect(self.address).await.ok()?;
            stream.set_nodelay().ok()?;
            let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
            let mut task = runtime.spawn(async move { drop(connection.await) });
            let request = Request::get(&self.path).header(HOST, self.address.to_string());
            let told = async {
                let answer = sender
                    .send_request(request.body(Empty::<Bytes>::new()).ok()?)
                    .await
                    .ok()?;
                let status = answer.status();
                let body = Limited::new(answer.into_body(), LONGEST)
                    .collect()
                    .await
                    .ok()?
                    .to_bytes();
                read(&self.partner, status, &body)
            };
            let told = told.await;
            task.abort();
            task.join().await;
            told
        };
        runtime.timeout(self.timeout, asked).await.ok().flatten()
    }
}

/// What an answer says; none for one that says nothing that was agreed on.
fn read(partner: &PartnerSettings, status: StatusCode, body: &[u8]) -> Option<ExecutionClaim> {
    if status == StatusCode::NOT_FOUND {
        return partner.absent_is_404.then_some(ExecutionClaim::NotApplied);
    }
    if status != StatusCode::OK {
        return None;
    }
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    let word = value.get(&partner.field)?.as_str()?;
    let among = |words: &[String]| words.iter().any(|known| known == word);
    Some(
        match (among(&partner.applied), among(&partner.not_applied)) {
            (true, _) => ExecutionClaim::Applied,
            (_, true) => ExecutionClaim::NotApplied,
            _ => ExecutionClaim::Unknown,
        },
    )
}

/// Text as it may stand in a path (RFC 3986, section 2.3).
fn in_path(text: &str) -> String {
    let mut out = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            out.push(char::from(byte));
        } else {
            out += &format!("%{byte:02X}");
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn partner(absent_is_404: bool) -> PartnerSettings {
        let text = format!(
            "destination = 3\naddress = \"127.0.0.1:9\"\npath = \"/s/{{id}}?k={{key}}\"\napplied = [\"done\"]\n\
             not_applied = [\"none\"]\nabsent_is_404 = {absent_is_404}"
        );
        toml::from_str(&text).expect("good")
    }

    #[test]
    fn an_answer_says_only_what_was_agreed_on() {
        let said = |status: u16, body: &str| {
            read(
                &partner(false),
                StatusCode::from_u16(status).expect("status"),
                body.as_bytes(),
            )
        };
        assert_eq!(
            said(200, r#"{"status":"done"}"#),
            Some(ExecutionClaim::Applied)
        );
        assert_eq!(
            said(200, r#"{"status":"none"}"#),
            Some(ExecutionClaim::NotApplied)
        );
        assert_eq!(
            said(200, r#"{"status":"queued"}"#),
            Some(ExecutionClaim::Unknown)
        );
        for (status, body) in [
            (200, "done"),
            (200, "{}"),
            (200, r#"{"status":7}"#),
            (404, "{}"),
            (500, r#"{"status":"none"}"#),
            (204, ""),
        ] {
            assert_eq!(said(status, body), None, "{status} {body}");
        }
        assert_eq!(
            read(&partner(true), StatusCode::NOT_FOUND, b""),
            Some(ExecutionClaim::NotApplied)
        );
    }

    #[test]
    fn names_are_escaped_in_the_path() {
        let question = Question::new(&partner(false), "a/b?c", Some("k 1"));
        assert_eq!(question.path, "/s/a%2Fb%3Fc?k=k%201");
    }
}
