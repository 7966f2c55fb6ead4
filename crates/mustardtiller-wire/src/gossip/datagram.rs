//! Datagrams between daemons.

use serde::Deserialize;
use serde::Serialize;

use super::registration::RegistrationForm;

/// The version of a configuration that a daemon holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Advert {
    /// The revision; zero for none.
    pub revision: u64,
    /// The digest of the manifest.
    pub digest: [u8; 16],
}

/// What the sender knows of the registered upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RegistryUpdate {
    /// Milliseconds since the platform was read for it.
    pub age_ms: u32,
    /// The digest of the sender's registry before the change.
    pub before: u64,
    /// The digest of the sender's registry.
    pub digest: u64,
    /// Entries that are new or different since `before`.
    pub changed: Vec<RegistrationForm>,
    /// Names that are gone since `before`.
    pub removed: Vec<String>,
}

/// A message in one datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Datagram {
    /// The sender holds this version and asks for nothing.
    Advertise {
        /// What it holds.
        advert: Advert,
    },
    /// The sender holds this version and asks what the receiver holds.
    Query {
        /// What it holds.
        advert: Advert,
    },
    /// What the sender knows of the registered upstreams.
    Registry {
        /// The news.
        update: RegistryUpdate,
    },
    /// The sender asks for the receiver's registry.
    RequestRegistry,
    /// The sender can't read the platform and asks the receiver to read for it.
    RequestPlatformRead {
        /// Hosts that the receiver may ask in turn.
        hops: u8,
    },
}
