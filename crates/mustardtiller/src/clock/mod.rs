//! Monotonic clock of the process.

mod monotonic;

pub use monotonic::Clock;
