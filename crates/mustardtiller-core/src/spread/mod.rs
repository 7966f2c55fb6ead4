//! Distribution of configurations over the fleet by gossip and reads of the platform.

mod currency;
mod fetch;
mod host_reads;
mod hosts;
mod message;
mod rule;
mod state;

pub use host_reads::HostReads;
pub use hosts::HostList;
pub use hosts::Member;
pub use hosts::MemberState;
pub use message::SpreadEffect;
pub use message::SpreadEffects;
pub use message::SpreadEvent;
pub use rule::SpreadRule;
pub use state::Spread;
