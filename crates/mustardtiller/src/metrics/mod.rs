//! Counters and the endpoint that shows them.

mod counters;
mod endpoint;

pub use counters::CallEnd;
pub use counters::CounterId;
pub use counters::Metrics;
pub use endpoint::serve_metrics;
