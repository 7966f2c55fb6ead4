//! Versions of the configuration and their order.

mod position;
mod read;
mod version;

pub use position::Position;
pub use read::PlatformRead;
pub use read::ReadVersion;
pub use version::Digest;
pub use version::Version;
