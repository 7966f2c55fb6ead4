//! The front end: HTTP/1.1 from callers.

mod answer;
mod body;
mod refusal;
mod request;
mod serve;

pub use serve::serve_callers;
