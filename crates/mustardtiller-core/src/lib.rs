//! The load balancer's decisions.
//!
//! Everything here is a function of state, event and time. There is no I/O, no
//! clock and no random source: the calling code passes the current [`Instant`]
//! and a seeded generator, so every decision can be replayed from its inputs.
//!
//! # Examples
//!
//! ```
//! use mustardtiller_core::Instant;
//! use mustardtiller_core::MeasurementBudget;
//!
//! let mut budget = MeasurementBudget::new(2_000, Instant::from_micros(0));
//! assert!(!budget.try_take(Instant::from_micros(10)));
//! assert!(budget.try_take(Instant::from_micros(500_000)));
//! ```

mod admit;
mod discover;
mod fence;
mod measure;
mod names;
mod outcome;
mod report;
mod retry;
mod revision;
mod route;
mod silence;
mod spread;
mod stop;
mod time;

pub use admit::*;
pub use discover::*;
pub use fence::*;
pub use measure::*;
pub use names::*;
pub use outcome::*;
pub use report::*;
pub use retry::*;
pub use revision::*;
pub use route::*;
pub use silence::*;
pub use spread::*;
pub use stop::*;
pub use time::*;
