//! How callers and upstreams write what the daemon decides about.

mod dialect;

pub use dialect::DeadlineForm;
pub use dialect::Dialect;
pub use dialect::Proof;
pub use dialect::UpstreamLoad;
