//! The platform's configuration service and host list, read only.

mod hosts;
mod http;
mod source;

pub use hosts::parse_hosts;
pub use http::HttpPublishedSource;
pub use source::PublishedError;
pub use source::PublishedSource;
pub use source::PublishedValue;
pub use source::ReadFuture;
pub use source::Registrations;
