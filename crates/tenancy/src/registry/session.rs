//! A client's authenticated session.

/// What a client authenticated as, with which secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The tenant's name.
    pub tenant: String,
    /// The tenant's generation.
    pub generation: u32,
    /// Name of the secret that the client authenticated with.
    pub secret: String,
}
