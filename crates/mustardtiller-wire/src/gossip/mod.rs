//! What daemons tell one another about configurations.

mod datagram;

pub use datagram::Advert;
pub use datagram::Datagram;
