//! Stand-in for an upstream server.

mod content;
mod plan;
mod record;
mod server;

pub use content::content;
pub use plan::UpstreamPlan;
pub use record::UpstreamRecord;
pub use server::StandinUpstream;
