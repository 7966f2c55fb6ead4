//! A small HTTP client: one call, one connection.

mod call;

pub use call::HttpAnswer;
pub use call::HttpCall;
pub use call::call_on;
pub use call::http_call;
pub use call::open_connection;
