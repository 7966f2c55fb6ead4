//! Detection of links whose peer has stopped responding.

mod suspicion;
mod watch;

pub use suspicion::LinkPace;
pub use suspicion::Suspicion;
pub use suspicion::SuspicionEffect;
pub use suspicion::SuspicionRule;
pub use watch::SilenceEffect;
pub use watch::SilenceRule;
pub use watch::SilenceWatch;
