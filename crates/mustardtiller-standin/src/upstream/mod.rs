//! A stand-in for an upstream.

mod content;
mod plan;
mod record;
mod server;

pub use content::content;
pub use plan::UpstreamPlan;
pub use record::UpstreamRecord;
pub use server::StandinUpstream;
