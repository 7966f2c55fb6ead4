//! Assembles and runs a daemon.

mod node;
mod run;

pub use node::Node;
pub use node::NodeParts;
pub use run::Daemon;
pub use run::StartError;
