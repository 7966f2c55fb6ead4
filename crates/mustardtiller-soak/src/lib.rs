//! A randomised soak: real daemons as processes, faults from outside, promises checked.
//!
//! A [`Plan`] follows from its seed alone. [`play`] starts the daemons, the
//! store and the upstreams, lets callers call and faults strike, and returns
//! the [`History`] of what callers and upstreams saw; [`check`] finds the
//! promises that it breaks. Neither looks inside a daemon.
//!
//! # Examples
//!
//! ```
//! use mustardtiller_soak::Plan;
//! use mustardtiller_soak::Scale;
//!
//! let scale = Scale { hosts: 6, millis: 8_000, calls_per_s: 200 };
//! assert_eq!(Plan::draw(7, scale), Plan::draw(7, scale));
//! ```

mod address;
mod callers;
mod check;
mod daemons;
mod history;
mod plan;
mod play;
mod relay;
mod world;

pub use check::Breach;
pub use check::check;
pub use history::Call;
pub use history::Ending;
pub use history::History;
pub use history::Run;
pub use history::Span;
pub use plan::Fault;
pub use plan::FaultKind;
pub use plan::Plan;
pub use plan::Scale;
pub use plan::Way;
pub use play::play;
