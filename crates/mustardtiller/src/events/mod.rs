//! Log events with stable numbers.

mod catalogue;
mod logger;
mod record;

pub use catalogue::Event;
pub use catalogue::EventLevel;
pub use logger::start_logger;
pub use record::AcceptedRecord;
pub use record::CallRecord;
pub use record::GateRecord;
pub use record::LinesDroppedRecord;
pub use record::MISSING_ID;
pub use record::MissRecord;
pub use record::OfferRecord;
pub use record::RejectionRecord;
