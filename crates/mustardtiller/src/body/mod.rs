//! Streamed bodies.

mod pieces;

pub use pieces::BodyCut;
pub use pieces::PieceSource;
pub use pieces::next_piece;
