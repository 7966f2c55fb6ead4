//! The gate: the only way into the upstream beside this daemon.

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
