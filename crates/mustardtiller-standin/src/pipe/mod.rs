//! A TCP proxy that injects network faults.

mod faults;

pub use faults::Pipe;
