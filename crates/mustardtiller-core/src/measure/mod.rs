//! The hard budget for measuring an upstream's load.

mod budget;

pub use budget::MeasureBudget;
