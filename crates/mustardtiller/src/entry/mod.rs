//! The entry: takes calls, chooses upstreams, and says what became of each call.

mod attempt;
mod call;
mod dispatch;
mod hedge;
mod pick;
mod token;
mod trace;

pub use call::Answer;
pub use call::AnswerChunks;
pub use call::Call;
pub use call::CallBody;
pub use call::Outcome;
pub use dispatch::dispatch;
pub use token::TokenText;
pub use token::mint_token;
