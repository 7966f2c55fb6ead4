//! Gossip messages between daemons.

use serde::Deserialize;
use serde::Serialize;

use super::registration::WireRegistration;

/// Version of the configuration that a daemon holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Advert {
    /// Operators' number of the document; zero if the revision is their number.
    pub serial: u64,
    /// The platform's era at the newest change; zero if it counts none.
    pub era: u64,
    /// The revision; zero if no configuration is held.
    pub revision: u64,
    /// The digest of the manifest.
    pub digest: [u8; 16],
}

/// Change of the sender's registry, from one digest to another.
///
/// If the change does not fit a datagram, both lists are left empty and the receiver
/// fetches the registry over a link.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RegistryUpdate {
    /// Time since this registry was read from the platform, in milliseconds.
    pub age_ms: u32,
    /// Time since when the platform has been read without a gap, in milliseconds.
    pub unbroken_ms: u32,
    /// Era of the platform at which it was read; zero if it counts none.
    pub era: u64,
    /// Revision of the platform at which it was read.
    pub revision: u64,
    /// Digest of the sender's registry before the change.
    pub base_digest: u64,
    /// Digest of the sender's registry after the change.
    pub digest: u64,
    /// Registrations added or changed since `base_digest`.
    pub changed: Vec<WireRegistration>,
    /// Names of registrations removed since `base_digest`.
    pub removed: Vec<String>,
}

/// A gossip message, sent in one datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Datagram {
    /// Announces the version that the sender holds; no answer is expected.
    Advertise {
        /// The version that the sender holds.
        advert: Advert,
    },
    /// Announces the sender's version and requests the receiver's in return.
    Query {
        /// The version that the sender holds.
        advert: Advert,
    },
    /// Sends a change of the registry of upstreams.
    Registry {
        /// The change.
        update: RegistryUpdate,
    },
    /// Requests a `Registry` datagram with the digest of the receiver's registry.
    RequestRegistry,
    /// Delegates a read of the platform to the receiver, because the sender's own failed.
    RequestPlatformRead {
        /// Further delegations that are allowed if the receiver fails too.
        hops: u8,
    },
}
