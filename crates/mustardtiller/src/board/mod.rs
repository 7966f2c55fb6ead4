//! The blackboard: state that controllers write and every request reads.
//!
//! Sections that change rarely are immutable snapshots, replaced as a whole.
//! Sections that change with every request are atomics, some of them inside
//! those snapshots. The documentation of each section names its writers.

mod announcement;
mod blackboard;
mod call_sources;
mod callers;
mod candidate;
mod connection;
mod gate;
mod held_bytes;
mod longest;
mod miss;
mod phase;
mod placement;
mod routes;
mod shed_state;
mod signals;
mod slowdown;
mod snapshot;

pub use announcement::Announcement;
pub use blackboard::Board;
pub use blackboard::Identity;
pub use call_sources::SourceCounts;
pub use callers::CallerTable;
pub use callers::CallerUsage;
pub use candidate::Candidate;
pub use connection::CallerConnection;
pub use gate::ColdState;
pub use gate::GateState;
pub use gate::ReadingStart;
pub use gate::StartConditions;
pub use held_bytes::HeldBytes;
pub use held_bytes::HeldGuard;
pub use held_bytes::Holder;
pub use longest::LongestTimes;
pub use miss::Doubt;
pub use phase::Phase;
pub use phase::PhaseCell;
pub use placement::Placement;
pub use routes::ActiveRoute;
pub use routes::RouteMatch;
pub use routes::Routes;
pub use routes::ServiceRoutes;
pub use shed_state::ShedState;
pub use signals::Signals;
pub use slowdown::SlowdownState;
pub use snapshot::Snapshot;
