//! Discrete-event simulation of a fleet, to compare policies that choose an upstream.
//!
//! It uses virtual time and an event queue, without clock, threads or network,
//! and runs the daemon's own choice and signals. With the same seed, every
//! policy gets the same requests.

mod fleet;
mod policy;
mod scenario;
mod tables;

pub use fleet::run_scenario;
pub use policy::LabPolicy;
pub use scenario::Scenario;
pub use tables::LabResult;
pub use tables::results_table;
