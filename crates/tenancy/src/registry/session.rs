//! A client's authenticated session.

/// The tenant that a client authenticated as, and the secret that it used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Session {
    /// The tenant's name.
    pub tenant: String,
    /// The tenant's generation.
    pub generation: u32,
    /// Name of the secret that the client authenticated with.
    pub secret: String,
}
