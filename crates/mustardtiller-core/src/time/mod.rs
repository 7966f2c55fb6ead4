//! Monotonic time, deadlines and the offset between two clocks.

mod instant;
mod offset;

pub use instant::Deadline;
pub use instant::Instant;
pub use offset::ClockOffset;
pub use offset::ClockSample;
