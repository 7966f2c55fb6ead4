//! Gossip messages, and the registry as daemons exchange it.

mod datagram;
mod registration;

pub use datagram::Advert;
pub use datagram::Datagram;
pub use datagram::RegistryUpdate;
pub use registration::RegistrySnapshot;
pub use registration::WireRegistration;
