//! The gate: admission control for the upstream beside this daemon.
//!
//! No request reaches the upstream by another way.

mod admission;
mod ledger;
mod load_probes;
mod request;
mod run;

pub use admission::AdmissionHandle;
pub use admission::Permit;
pub use admission::control_admission;
pub use ledger::KeptAnswer;
pub use ledger::LedgerHandle;
pub use ledger::control_ledger;
pub use load_probes::LoadProbeHandle;
pub use load_probes::control_load_probes;
pub use request::GateAnswer;
pub use request::GateBody;
pub use request::GateRequest;
pub use run::run_request;
