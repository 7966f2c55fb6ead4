//! The front end: HTTP/1.1 from callers.

mod answer;
mod body;
mod ready;
mod refusal;
mod request;
mod serve;

pub use ready::serve_ready;
pub use serve::serve_callers;
