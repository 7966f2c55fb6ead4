//! A randomised soak test: real daemon processes, injected faults, checked promises.
//!
//! A [`Plan`] is determined by its seed and scale. [`run_plan`] starts the
//! daemons, the store and the upstreams, sends calls, injects the faults, and
//! returns the [`History`] of what callers and upstreams observed; [`check`]
//! finds the promises that the history breaks. Neither looks inside a daemon.
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
mod fleet;
mod history;
mod hostile;
mod plan;
mod relay;
mod run_plan;

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
pub use run_plan::run_plan;
