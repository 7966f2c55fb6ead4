//! Metrics and the endpoint that exposes them.

mod counters;
mod endpoint;

pub use counters::CallEnd;
pub use counters::CounterId;
pub use counters::Metrics;
pub use endpoint::serve_metrics;
