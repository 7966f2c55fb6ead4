//! Stand-in for the configuration service and the host list.

mod service;

pub use service::RequestCounts;
pub use service::StandinPlatform;
