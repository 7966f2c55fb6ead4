//! The configuration model of daemons, with shared names and resolved references.

mod configuration;
mod types;

pub use configuration::Configuration;
pub use types::Caller;
pub use types::CallerLimits;
pub use types::DataCentre;
pub use types::Fleet;
pub use types::Kind;
pub use types::Path;
pub use types::Route;
pub use types::RoutePart;
pub use types::Service;
pub use types::TokenRule;
pub use types::Upstream;
