//! Versions of the configuration and their order.

mod version;

pub use version::Digest;
pub use version::Version;
