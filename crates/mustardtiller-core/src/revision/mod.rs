//! Versions of the configuration and their order.

mod read;
mod version;

pub use read::PlatformRead;
pub use read::ReadVersion;
pub use version::Digest;
pub use version::Version;
