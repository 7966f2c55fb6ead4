//! Metrics and the endpoint that exposes them.

mod counters;
mod endpoint;

pub use counters::CallEnd;
pub use counters::Counted;
pub use counters::Metrics;
pub use endpoint::serve_metrics;
