//! The blackboard: what controllers write and every request reads.
//!
//! Slow sections are immutable snapshots swapped whole; fast sections are
//! atomics inside snapshots. Each section names its one writer.

mod blackboard;
mod callers;
mod candidate;
mod gate;
mod phase;
mod routes;
mod signals;
mod slowdown;
mod snapshot;

pub use blackboard::Board;
pub use blackboard::Identity;
pub use callers::CallerUse;
pub use callers::CallerUses;
pub use candidate::Candidate;
pub use gate::GateState;
pub use gate::StartConditions;
pub use phase::Phase;
pub use phase::PhaseCell;
pub use routes::ActiveRoute;
pub use routes::RouteMatch;
pub use routes::Routes;
pub use routes::ServiceRoutes;
pub use signals::Signals;
pub use slowdown::SlowdownState;
pub use snapshot::Snapshot;
