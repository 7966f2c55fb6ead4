//! Assembles and runs a daemon.

mod contain;
mod late_work;
mod node;
mod run;

pub use contain::contained;
pub use node::Node;
pub use node::NodeParts;
pub use run::Daemon;
pub use run::StartError;
