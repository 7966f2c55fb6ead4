//! Upstreams that come and go: what is known of them, and who reads for whom.

mod read_schedule;
mod registry;

pub use read_schedule::Rank;
pub use read_schedule::ReadOutcome;
pub use read_schedule::ReadSchedule;
pub use read_schedule::ReadScheduleRule;
pub use registry::Registration;
pub use registry::RegistrationState;
pub use registry::Registry;
pub use registry::RegistryDelta;
