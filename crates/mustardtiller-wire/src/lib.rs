//! Messages between daemons and their framing.
//!
//! A link multiplexes many requests over one TCP connection as length-prefixed
//! frames; gossip messages are single UDP datagrams. This crate holds only plain
//! data types with derived codecs and takes no decisions.
//!
//! # Examples
//!
//! ```
//! use mustardtiller_wire::Frame;
//! use mustardtiller_wire::FrameReader;
//! use mustardtiller_wire::encode_frame;
//!
//! let mut buf = Vec::new();
//! encode_frame(&Frame::Cancel { stream: 7 }, &mut buf).unwrap();
//! let mut reader = FrameReader::default();
//! reader.extend(&buf);
//! assert_eq!(reader.next_frame().unwrap(), Some(Frame::Cancel { stream: 7 }));
//! ```

mod codec;
mod frame;
mod gossip;

pub use codec::FrameReader;
pub use codec::MAX_DATAGRAM_BYTES;
pub use codec::MAX_FRAME_BYTES;
pub use codec::WireError;
pub use codec::WireErrorKind;
pub use codec::decode_datagram;
pub use codec::encode_datagram;
pub use codec::encode_frame;
pub use frame::AnswerHead;
pub use frame::BodyFraming;
pub use frame::Frame;
pub use frame::Header;
pub use frame::Hello;
pub use frame::LoadReport;
pub use frame::PROTOCOL_VERSION;
pub use frame::ReadStreams;
pub use frame::RequestHead;
pub use frame::UpstreamNotice;
pub use frame::Welcome;
pub use frame::WireToken;
pub use frame::WireVerdict;
pub use gossip::Advert;
pub use gossip::Datagram;
pub use gossip::RegistrySnapshot;
pub use gossip::RegistryUpdate;
pub use gossip::WireRegistration;
