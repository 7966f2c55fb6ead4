//! Names as shared immutable strings.

mod name;

pub use name::CallerName;
pub use name::DataCentreName;
pub use name::KindName;
pub use name::RegionName;
pub use name::RouteName;
pub use name::ServiceName;
pub use name::UpstreamName;
