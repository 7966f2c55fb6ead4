//! Stand-ins for the platform, upstreams and callers.
//!
//! For tests and the demo only; nothing here is shipped. Each stand-in speaks
//! the published protocol of the component that it replaces and records the
//! requests that it receives.
//!
//! # Examples
//!
//! ```
//! use mustardtiller_standin::content;
//!
//! assert_eq!(content(7, 4), content(7, 4));
//! assert_ne!(content(7, 64), content(8, 64));
//! ```

mod capacity;
mod client;
mod lab;
mod load;
mod pipe;
mod platform;
mod runner;
mod upstream;

pub use capacity::FleetSize;
pub use capacity::Slopes;
pub use capacity::capacity_table;
pub use client::HttpAnswer;
pub use client::HttpCall;
pub use client::call_on;
pub use client::http_call;
pub use client::open_connection;
pub use lab::LabPolicy;
pub use lab::LabResult;
pub use lab::Scenario;
pub use lab::results_table;
pub use lab::run_scenario;
pub use load::LoadPlan;
pub use load::LoadReport;
pub use load::run_load;
pub use pipe::Pipe;
pub use platform::RequestCounts;
pub use platform::StandinPlatform;
pub use runner::Runner;
pub use upstream::StandinUpstream;
pub use upstream::UpstreamPlan;
pub use upstream::UpstreamRecord;
pub use upstream::content;
