//! Tests of the request path and of the interpretation of a partner's answer.

use hyper::StatusCode;
use undeliverable::record::ExecutionClaim;

use super::{parse_answer, PartnerQuery};
use crate::undeliverable_service::settings::Partner;

fn partner(absent_is_404: bool) -> Partner {
    let text = format!(
        "destination = 3\naddress = \"127.0.0.1:9\"\npath = \"/s/{{id}}?k={{key}}\"\napplied = [\"done\"]\n\
         not_applied = [\"none\"]\nabsent_is_404 = {absent_is_404}"
    );
    toml::from_str(&text).expect("valid partner settings")
}

#[test]
fn answer_is_a_claim_only_with_the_configured_values() {
    let claim = |status: u16, body: &str| {
        parse_answer(
            &partner(false),
            StatusCode::from_u16(status).expect("valid status code"),
            body.as_bytes(),
        )
    };
    assert_eq!(
        claim(200, r#"{"status":"done"}"#),
        Some(ExecutionClaim::Applied)
    );
    assert_eq!(
        claim(200, r#"{"status":"none"}"#),
        Some(ExecutionClaim::NotApplied)
    );
    assert_eq!(
        claim(200, r#"{"status":"queued"}"#),
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
        assert_eq!(claim(status, body), None, "{status} {body}");
    }
    assert_eq!(
        parse_answer(&partner(true), StatusCode::NOT_FOUND, b""),
        Some(ExecutionClaim::NotApplied)
    );
}

#[test]
fn name_and_key_are_percent_encoded_in_the_path() {
    let query = PartnerQuery::new(&partner(false), "a/b?c", Some("k 1"));
    assert_eq!(query.path, "/s/a%2Fb%3Fc?k=k%201");
}
