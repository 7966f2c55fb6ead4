//! The rate limit for measurements and load probes of an upstream.

mod budget;

pub use budget::MeasurementBudget;
