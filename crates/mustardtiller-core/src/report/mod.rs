//! Rate limiting of the log lines about requests.

mod lines;

pub use lines::LogLineBudget;
