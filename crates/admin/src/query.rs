//! Query parameters of requests.

use std::convert::Infallible;

use axum::extract::rejection::QueryRejection;
use axum::extract::{FromRequestParts, Query};
use axum::http::request::Parts;
use serde::de::DeserializeOwned;

use crate::problem::Problem;

/// The query parameters of a request, or the error of parsing them.
///
/// The error is not the extractor's rejection, so that a handler can authorize the principal before it reports
/// the error.
pub struct QueryParameters<T>(Result<Query<T>, QueryRejection>);

impl<T> QueryParameters<T> {
    /// The parameters.
    ///
    /// # Errors
    ///
    /// A [`Problem`] with status 400 if they cannot be parsed.
    pub fn parsed(self) -> Result<T, Problem> {
        match self.0 {
            Ok(Query(parameters)) => Ok(parameters),
            Err(rejection) => Err(Problem::malformed(rejection.body_text())),
        }
    }
}

impl<T: DeserializeOwned, S: Send + Sync> FromRequestParts<S> for QueryParameters<T> {
    type Rejection = Infallible;

    async fn from_request_parts(parts: &mut Parts, state: &S) -> Result<Self, Infallible> {
        Ok(QueryParameters(
            Query::from_request_parts(parts, state).await,
        ))
    }
}
