//! How a configuration spreads over the fleet.

mod hosts;
mod state;

pub use hosts::HostList;
pub use hosts::Member;
pub use hosts::MemberState;
pub use state::Spread;
pub use state::SpreadEffect;
pub use state::SpreadEffects;
pub use state::SpreadEvent;
pub use state::SpreadRule;
