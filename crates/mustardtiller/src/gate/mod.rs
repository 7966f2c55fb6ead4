//! The gate: admission control for the upstream beside this daemon.
//!
//! No request reaches the upstream by another way.

mod admission;
mod ledger;
mod request;
mod run;
mod speed;

pub use admission::AdmissionDesk;
pub use admission::Permit;
pub use admission::control_admission;
pub use ledger::KeptAnswer;
pub use ledger::LedgerDesk;
pub use ledger::control_ledger;
pub use request::GateAnswer;
pub use request::GateBody;
pub use request::GateRequest;
pub use run::run_request;
pub use speed::SpeedDesk;
pub use speed::control_speed;
