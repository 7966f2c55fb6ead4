//! Service discovery: the registered upstreams, and which daemon reads them when.

mod earlier;
mod read_schedule;
mod registry;
mod view;

pub use read_schedule::Rank;
pub use read_schedule::ReadOutcome;
pub use read_schedule::ReadSchedule;
pub use read_schedule::ReadScheduleRule;
pub use registry::Registration;
pub use registry::RegistrationState;
pub use registry::Registry;
pub use registry::RegistryDelta;
pub use view::RegistryView;
pub use view::RegistryViewRule;
