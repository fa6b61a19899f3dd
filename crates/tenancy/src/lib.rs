//! Tenants of a relay: what each is entitled to, and who comes before whom. It does no I/O.

mod meter;
mod shares;

pub use shares::{Shares, MOST_CLOCKS};
