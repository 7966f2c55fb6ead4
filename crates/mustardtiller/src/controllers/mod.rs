//! Controllers, which write the board; each of its sections names its writers.

mod choice;
mod configuration;
mod delays;
mod health;
mod hosts;
mod limiter;
mod links;
mod local;
mod measure;
mod placement;
mod registry;
mod routes;
mod stop;

pub use configuration::control_configuration;
pub use delays::control_delays;
pub use health::control_health;
pub use hosts::control_hosts;
pub use limiter::control_limiter;
pub use links::control_links;
pub use local::control_local;
pub use measure::control_measurements;
pub use registry::control_registry;
pub use routes::control_routes;
pub use stop::control_stop;
