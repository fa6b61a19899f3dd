//! Authentication by bearer token, and authorization by role and tenant scope. No I/O.

use std::sync::Arc;

use relay_events::tenants::Scope;
use tenancy::registry::Actor;
use tenancy::secret::{Digest, MAX_SECRET_BYTES};

use crate::problem::Problem;
use crate::settings::{Role, Token};

/// The bearer tokens that are accepted now. Cloning is cheap.
#[derive(Clone, Debug, Default)]
pub struct Tokens(Arc<[Token]>);

impl Tokens {
    /// Accepts exactly these tokens.
    #[must_use]
    pub fn new(tokens: &[Token]) -> Self {
        Tokens(tokens.into())
    }

    /// Authenticates the bearer of the token in an `Authorization` header (RFC 6750, section 2.1).
    ///
    /// # Errors
    ///
    /// A [`Problem`] with status 401 if the header is missing or malformed, or its token is unknown.
    pub fn authenticate(&self, header: Option<&str>) -> Result<Principal, Problem> {
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
        Ok(Principal {
            name: found.name.clone(),
            role: found.role,
            scope: found.scope(),
        })
    }
}

/// The authenticated sender of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Principal {
    /// Name of the principal's token.
    pub name: String,
    /// Role of the token.
    pub role: Role,
    /// Tenants that the token may see and change.
    pub scope: Scope,
}

impl Principal {
    /// Checks that the principal has this role or a higher one.
    ///
    /// # Errors
    ///
    /// A [`Problem`] with status 403.
    pub fn require_role(&self, role: Role) -> Result<(), Problem> {
        if self.role >= role {
            return Ok(());
        }
        Err(Problem::forbidden(format!(
            "the role {} is needed, the token's is {}",
            role.name(),
            self.role.name()
        )))
    }

    /// Checks that the principal has this role or a higher one, and that the tenant is in its scope.
    ///
    /// # Errors
    ///
    /// A [`Problem`] with status 403.
    pub fn require_role_for(&self, role: Role, tenant: &str) -> Result<(), Problem> {
        self.require_role(role)?;
        if self.scope.covers(tenant) {
            return Ok(());
        }
        Err(Problem::forbidden("the tenant is not in the token's scope"))
    }

    /// The principal as the audit log records it.
    pub fn actor(&self) -> Actor {
        Actor {
            name: self.name.clone(),
            role: self.role.name().into(),
        }
    }
}

#[cfg(test)]
mod tests;
