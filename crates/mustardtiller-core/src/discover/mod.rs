//! Service discovery: the registered upstreams, and which daemon reads them when.

mod registry;
mod turn;

pub use registry::Registration;
pub use registry::RegistrationState;
pub use registry::Registry;
pub use registry::RegistryDelta;
pub use turn::Rank;
pub use turn::ReadOutcome;
pub use turn::ReadTurn;
pub use turn::TurnRule;
