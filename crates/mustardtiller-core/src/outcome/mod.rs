//! Outcomes of requests that were not answered, as types.

mod attempt;
mod reason;

pub use attempt::Attempt;
pub use attempt::NotRun;
pub use attempt::Refusal;
pub use attempt::Sent;
pub use attempt::Unsent;
pub use attempt::Verdict;
pub use reason::NotRunReason;
pub use reason::UnknownReason;
