//! The daemon's own settings.

mod daemon;

pub use daemon::Settings;
