//! Numbered log events.

mod catalogue;
mod logger;

pub use catalogue::Event;
pub use catalogue::EventLevel;
pub use logger::start_logger;
