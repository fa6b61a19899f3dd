//! Addresses of listeners.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// The address of a listener: `127.0.0.1:8700`, `[::1]:8700` or `unix:/run/madderpitch.sock`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Address {
    /// A TCP port.
    Tcp(SocketAddr),
    /// A Unix stream socket, by its absolute path.
    Unix(PathBuf),
}

/// Why a text cannot be parsed as an [`Address`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AddressError {
    /// The path of a Unix socket is empty or relative.
    #[error("{0:?} is not the absolute path of a socket")]
    RelativePath(String),
    /// The text is not an IP address with a port.
    #[error("{0:?} is not an IP address with a port")]
    InvalidSocketAddress(String),
}

impl Address {
    /// Whether the address is reachable from this machine only.
    pub fn is_local(&self) -> bool {
        match self {
            Address::Tcp(address) => address.ip().is_loopback(),
            Address::Unix(_) => true,
        }
    }
}

impl From<SocketAddr> for Address {
    fn from(address: SocketAddr) -> Self {
        Address::Tcp(address)
    }
}

impl FromStr for Address {
    type Err = AddressError;

    fn from_str(text: &str) -> Result<Self, AddressError> {
        match text.strip_prefix("unix:") {
            Some(path) if path.starts_with('/') => Ok(Address::Unix(path.into())),
            Some(path) => Err(AddressError::RelativePath(path.into())),
            None => text
                .parse()
                .map(Address::Tcp)
                .map_err(|_| AddressError::InvalidSocketAddress(text.into())),
        }
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Address::Tcp(address) => write!(f, "{address}"),
            Address::Unix(path) => write!(f, "unix:{}", path.display()),
        }
    }
}
