//! Bodies that arrive in pieces.

mod chunks;

pub use chunks::BodyCut;
pub use chunks::ChunkSource;
pub use chunks::next_chunk;
