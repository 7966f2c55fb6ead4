//! The rate limit for measurements of an upstream's load.

mod budget;

pub use budget::MeasureBudget;
