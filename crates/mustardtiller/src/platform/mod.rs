//! The platform's configuration service and host list, read only.

mod hosts;
mod http;
mod source;

pub use hosts::parse_hosts;
pub use http::HttpPlatform;
pub use source::PlatformError;
pub use source::PlatformSource;
pub use source::PlatformValue;
