//! Tests of bearer tokens, roles and scopes.

use super::{Tokens, MAX_SECRET_BYTES};
use crate::settings::{Role, Token};
use tenancy::secret::Digest;

fn tokens() -> Tokens {
    let token = |name: &str, role, secret: &[u8], tenants: &[&str]| Token {
        name: name.into(),
        role,
        sha256: Digest::of(secret),
        tenants: tenants.iter().map(|t| t.to_string()).collect(),
    };
    Tokens::new(&[
        token("vi", Role::Viewer, b"see", &["acme"]),
        token("op", Role::Operator, b"turn", &["team-*"]),
        token("ad", Role::Admin, b"all", &["*"]),
    ])
}

#[test]
fn token_is_found_by_the_digest_of_its_secret_only() {
    let tokens = tokens();
    let name_for = |header: &str| {
        tokens
            .authenticate(Some(header))
            .map(|principal| principal.name)
    };
    assert_eq!(name_for("Bearer see").as_deref(), Ok("vi"));
    assert_eq!(name_for("bearer  turn ").as_deref(), Ok("op"));
    let digest = Digest::of(b"all").to_string();
    let long = format!("Bearer {}", "x".repeat(MAX_SECRET_BYTES + 1));
    for bad in [
        "",
        "Bearer",
        "Bearer ",
        "Basic see",
        "see",
        "Bearer seen",
        &format!("Bearer {digest}"),
        &long,
    ] {
        assert_eq!(name_for(bad).expect_err(bad).status, 401, "{bad}");
    }
    assert_eq!(tokens.authenticate(None).expect_err("none").status, 401);
}

#[test]
fn role_includes_lower_roles_and_scope_limits_every_role() {
    let tokens = tokens();
    let principal = |secret: &str| {
        tokens
            .authenticate(Some(&format!("Bearer {secret}")))
            .expect("known")
    };
    let is_allowed =
        |secret: &str, role, tenant: &str| principal(secret).require_role_for(role, tenant).is_ok();
    for role in [Role::Viewer, Role::Operator, Role::Admin] {
        assert!(is_allowed("all", role, "anything"));
        assert_eq!(is_allowed("turn", role, "team-a"), role <= Role::Operator);
        assert!(!is_allowed("turn", role, "acme"));
        assert_eq!(is_allowed("see", role, "acme"), role == Role::Viewer);
    }
}
