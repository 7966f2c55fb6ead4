//! At most once: tokens bound to one gate incarnation, and its memory of them.

mod ledger;
mod token;

pub use ledger::Ledger;
pub use ledger::LedgerLimits;
pub use ledger::Presented;
pub use token::Incarnation;
pub use token::Token;
pub use token::TokenId;
