//! Detection of links whose peer has stopped responding.

mod watch;

pub use watch::SilenceEffect;
pub use watch::SilenceRule;
pub use watch::SilenceWatch;
