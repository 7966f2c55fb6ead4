//! The entry: accepts calls, chooses upstreams and reports the outcome of each call.

mod attempt;
mod bound;
mod call;
mod dispatch;
mod hedge;
mod link_wait;
mod offers;
mod pick;
mod race;
mod room;
mod token;
mod trace;
mod view_wait;

pub use call::Answer;
pub use call::AnswerChunks;
pub use call::Call;
pub use call::CallBody;
pub use call::Outcome;
pub use dispatch::dispatch;
pub use dispatch::refuse_unsent;
pub use race::RaceEnd;
pub use race::first_answer;
pub use token::TokenText;
pub use token::mint_token;
