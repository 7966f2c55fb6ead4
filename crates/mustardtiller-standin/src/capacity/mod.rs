//! What control costs at a given size, from measured slopes.

mod page;
mod slopes;

pub use page::Size;
pub use page::capacity_table;
pub use slopes::Slopes;
