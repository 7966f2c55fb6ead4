//! The rate limit for load probes of an upstream.

mod budget;

pub use budget::MeasureBudget;
