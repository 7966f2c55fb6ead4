//! Whether a refused request may be tried again.

mod budget;
mod rule;

pub use budget::RetryBudget;
pub use rule::RetryContext;
pub use rule::RetryReason;
pub use rule::reached_upstream;
pub use rule::retry_reason;
