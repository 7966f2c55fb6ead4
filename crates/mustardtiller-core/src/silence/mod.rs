//! Whether a link has gone silent.

mod watch;

pub use watch::SilenceEffect;
pub use watch::SilenceRule;
pub use watch::SilenceWatch;
