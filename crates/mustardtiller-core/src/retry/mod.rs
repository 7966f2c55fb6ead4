//! Retries: which refusals may be retried, and the budget that limits them.

mod budget;
mod rule;

pub use budget::RetryBudget;
pub use rule::RetryContext;
pub use rule::RetryReason;
pub use rule::is_misplaced;
pub use rule::reached_upstream;
pub use rule::retry_reason;
