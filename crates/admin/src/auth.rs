//! Who asks, and what they may do. Decided without I/O.

use std::sync::Arc;

use relay_events::tenants::Scope;
use tenancy::registry::Actor;
use tenancy::secret::{Digest, MAX_SECRET_BYTES};

use crate::problem::Problem;
use crate::settings::{Role, Token};

/// The tokens that are in force.
#[derive(Clone, Debug, Default)]
pub struct Tokens(Arc<[Token]>);

impl Tokens {
    /// These tokens.
    #[must_use]
    pub fn new(tokens: &[Token]) -> Self {
        Tokens(tokens.into())
    }

    /// Whose token an `Authorization` header bears (RFC 6750, section 2.1).
    ///
    /// # Errors
    ///
    /// A [`Problem`] with status 401 if the header is missing, malformed or names no known token.
    pub fn who(&self, header: Option<&str>) -> Result<Caller, Problem> {
        let header = header.ok_or_else(|| Problem::unauthorized("a bearer token is needed"))?;
        let (scheme, token) = header.split_once(' ').unwrap_or((header, ""));
        let token = token.trim();
        if !scheme.eq_ignore_ascii_case("bearer")
            || token.is_empty()
            || token.len() > MAX_SECRET_BYTES
        {
            return Err(Problem::unauthorized(
                "the authorization is no bearer token",
            ));
        }
        let digest = Digest::of(token.as_bytes());
        let found = self
            .0
            .iter()
            .find(|known| known.sha256.constant_time_eq(&digest));
        let found = found.ok_or_else(|| Problem::unauthorized("the token is not known"))?;
        Ok(Caller {
            name: found.name.clone(),
            role: found.role,
            scope: found.scope(),
        })
    }
}

/// Who asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Name of the token.
    pub name: String,
    /// Its role.
    pub role: Role,
    /// Its tenants.
    pub scope: Scope,
}

impl Caller {
    /// Whether the caller has a role, or a higher one.
    pub fn may(&self, role: Role) -> Result<(), Problem> {
        if self.role >= role {
            return Ok(());
        }
        Err(Problem::forbidden(format!(
            "the role {} is needed, the token's is {}",
            role.name(),
            self.role.name()
        )))
    }

    /// The same for one tenant.
    pub fn may_for(&self, role: Role, tenant: &str) -> Result<(), Problem> {
        self.may(role)?;
        if self.scope.covers(tenant) {
            return Ok(());
        }
        Err(Problem::forbidden("the tenant is not in the token's scope"))
    }

    /// As the audit log names the caller.
    pub fn actor(&self) -> Actor {
        Actor {
            name: self.name.clone(),
            role: self.role.name().into(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
    fn a_token_is_known_by_its_digest_alone() {
        let tokens = tokens();
        let who = |header: &str| tokens.who(Some(header)).map(|caller| caller.name);
        assert_eq!(who("Bearer see").as_deref(), Ok("vi"));
        assert_eq!(who("bearer  turn ").as_deref(), Ok("op"));
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
            assert_eq!(who(bad).expect_err(bad).status, 401, "{bad}");
        }
        assert_eq!(tokens.who(None).expect_err("none").status, 401);
    }

    #[test]
    fn roles_hold_what_lower_ones_do_and_scopes_bind_all() {
        let tokens = tokens();
        let who = |secret: &str| {
            tokens
                .who(Some(&format!("Bearer {secret}")))
                .expect("known")
        };
        let may = |secret: &str, role, tenant: &str| who(secret).may_for(role, tenant).is_ok();
        for role in [Role::Viewer, Role::Operator, Role::Admin] {
            assert!(may("all", role, "anything"));
            assert_eq!(may("turn", role, "team-a"), role <= Role::Operator);
            assert!(!may("turn", role, "acme"));
            assert_eq!(may("see", role, "acme"), role == Role::Viewer);
        }
    }
}
