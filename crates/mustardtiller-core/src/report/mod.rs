//! Which decisions are told in full when there are too many.

mod lines;

pub use lines::LogLineBudget;
