//! Streamed bodies, and bodies in memory.

mod chunks;
mod held;

pub use chunks::BodyCut;
pub use chunks::ChunkSource;
pub use chunks::next_chunk;
pub use held::HeldBuffer;
pub use held::hold;
