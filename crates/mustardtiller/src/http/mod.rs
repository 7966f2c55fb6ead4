//! Header conventions of callers and upstreams, and their sockets.

mod chunk_framing;
mod dialect;
mod fair_socket;

pub use chunk_framing::ChunkFraming;
pub use dialect::DeadlineForm;
pub use dialect::Dialect;
pub use dialect::Proof;
pub use dialect::UpstreamLoad;
pub use fair_socket::FairSocket;
