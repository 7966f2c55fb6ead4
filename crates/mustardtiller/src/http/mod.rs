//! Header conventions of callers and upstreams.

mod dialect;

pub use dialect::DeadlineForm;
pub use dialect::Dialect;
pub use dialect::Proof;
pub use dialect::UpstreamLoad;
