//! HTTP client for the upstream beside this daemon.

mod body;
mod check;
mod exchange;
mod headers;
mod interim;
mod measure;
mod pool;
mod probe;
mod temperature;

pub use body::UpstreamBody;
pub use exchange::end_to_end_headers;
pub use exchange::exchange;
pub use headers::DEPTH_HEADER;
pub use headers::RETRIED_HEADER;
pub use measure::LoadMeasurement;
pub use measure::UpstreamState;
pub use measure::measure_load;
pub use pool::UpstreamPool;
pub use probe::LoadProbe;
pub use probe::ProbeReport;
pub use probe::probe;
pub use temperature::doubt_temperature;
pub use temperature::note_temperature;
