//! Encoding and decoding of messages.

mod datagram;
mod error;
mod stream;

pub use datagram::MAX_DATAGRAM_BYTES;
pub use datagram::decode_datagram;
pub use datagram::encode_datagram;
pub use error::WireError;
pub use error::WireErrorKind;
pub use stream::FrameReader;
pub use stream::MAX_FRAME_BYTES;
pub use stream::encode_frame;
