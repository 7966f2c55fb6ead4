//! Settings of the daemon.

mod daemon;

pub use daemon::DiscoverySettings;
pub use daemon::PlatformKind;
pub use daemon::RetryBounds;
pub use daemon::Settings;
