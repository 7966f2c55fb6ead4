//! Planned stops: until when new work is taken, and by when it has to end.

mod longest;
mod schedule;

pub use longest::LongestTime;
pub use schedule::LateWork;
pub use schedule::StopRule;
pub use schedule::StopSchedule;
