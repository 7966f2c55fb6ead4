//! The process's monotonic clock.

mod monotonic;

pub use monotonic::Clock;
