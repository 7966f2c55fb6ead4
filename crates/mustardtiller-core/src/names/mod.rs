//! Names as shared immutable strings.

mod host;
mod name;

pub use host::normal_host;
pub use name::CallerName;
pub use name::DataCentreName;
pub use name::KindName;
pub use name::RegionName;
pub use name::RouteName;
pub use name::ServiceName;
pub use name::UpstreamName;
