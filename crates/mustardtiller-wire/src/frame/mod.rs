//! Frames of the link protocol.

mod head;
mod message;

pub use head::AnswerHead;
pub use head::BodyFraming;
pub use head::Header;
pub use head::RequestHead;
pub use head::WireToken;
pub use message::Frame;
pub use message::Hello;
pub use message::LoadReport;
pub use message::PROTOCOL_VERSION;
pub use message::ReadStreams;
pub use message::UpstreamNotice;
pub use message::Welcome;
pub use message::WireVerdict;
