//! A minimal HTTP/1 client.

mod call;

pub use call::HttpAnswer;
pub use call::HttpCall;
pub use call::call_on;
pub use call::http_call;
pub use call::open_connection;
