//! At-most-once execution: tokens bound to one gate incarnation, and its ledger.

mod ledger;
mod token;

pub use ledger::Ledger;
pub use ledger::LedgerLimits;
pub use ledger::Presented;
pub use token::Incarnation;
pub use token::Token;
pub use token::TokenId;
