//! Cost of the control plane at a given fleet size, from measured unit costs.

mod page;
mod slopes;

pub use page::FleetSize;
pub use page::capacity_table;
pub use slopes::Slopes;
