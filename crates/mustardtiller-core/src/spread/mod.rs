//! Distribution of configurations over the fleet by gossip and reads of the platform.

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
