//! The front end: the HTTP/1.1 listeners for callers and the platform.

mod answer;
mod body;
mod caller_http;
mod closing;
mod connections;
mod limits;
mod linger;
mod position;
mod read_body;
mod ready;
mod refusal;
mod request;
mod serve;
mod socket;
mod watch;

pub use ready::serve_ready;
pub use serve::serve_callers;
