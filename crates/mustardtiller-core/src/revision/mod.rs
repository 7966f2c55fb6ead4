//! The order of configurations.

mod version;

pub use version::Digest;
pub use version::Version;
