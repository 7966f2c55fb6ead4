//! Fakes of upstreams in given time, to measure the choice of an upstream.
//!
//! No clock, no thread, no network: a queue of events, and the daemon's own
//! choice and signals over it. The same seed gives the same work to every
//! policy.

mod fleet;
mod policy;
mod scenario;
mod tables;

pub use fleet::run_scenario;
pub use policy::LabPolicy;
pub use scenario::Scenario;
pub use tables::LabResult;
pub use tables::table;
