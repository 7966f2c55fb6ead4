//! Datagrams between daemons.

mod socket;

pub use socket::ConfigHeard;
pub use socket::GossipSocket;
pub use socket::RegistryHeard;
