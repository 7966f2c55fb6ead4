//! Gossip between daemons: UDP datagrams about configurations and registered upstreams.

mod socket;

pub use socket::ConfigMessage;
pub use socket::GossipSocket;
pub use socket::RegistryMessage;
