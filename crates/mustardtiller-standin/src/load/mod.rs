//! Load generator for browses, orders and uploads.

mod plan;
mod run;

pub use plan::LoadPlan;
pub use plan::LoadReport;
pub use run::run_load;
