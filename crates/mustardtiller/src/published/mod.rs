//! Read-only access to the platform: configuration, host list and registrations.

mod hosts;
mod http;
mod source;

pub use hosts::ParsedHosts;
pub use hosts::parse_hosts;
pub use http::HttpPublishedSource;
pub use source::PublishedError;
pub use source::PublishedSource;
pub use source::PublishedValue;
pub use source::ReadExtent;
pub use source::ReadFuture;
pub use source::Registrations;
