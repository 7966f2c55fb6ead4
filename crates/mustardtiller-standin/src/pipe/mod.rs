//! A byte pipe that produces faults of the network.

mod faults;

pub use faults::Pipe;
