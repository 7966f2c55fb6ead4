//! Encoded form of registered upstreams.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use mustardtiller_core::Registration;
use mustardtiller_core::RegistrationState;

/// Encoded form of one registered upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WireRegistration {
    /// The upstream's name.
    pub name: String,
    /// The service it belongs to.
    pub service: String,
    /// The data centre it runs in.
    pub data_centre: String,
    /// Address on its own host where it accepts HTTP connections.
    pub address: SocketAddr,
    /// Largest number of requests it runs concurrently.
    pub slots: u32,
    /// Whether it is draining and gets no new requests.
    pub draining: bool,
    /// Unix time of its start, in milliseconds.
    pub started_ms: u64,
    /// Whether it is still slow after a cold start.
    pub cold: bool,
}

impl From<&Registration> for WireRegistration {
    fn from(entry: &Registration) -> Self {
        Self {
            name: entry.name.to_string(),
            service: entry.service.to_string(),
            data_centre: entry.data_centre.to_string(),
            address: entry.address,
            slots: entry.slots,
            draining: entry.state == RegistrationState::Draining,
            started_ms: entry.started_ms,
            cold: entry.cold,
        }
    }
}

impl From<&WireRegistration> for Registration {
    fn from(wire: &WireRegistration) -> Self {
        let state = if wire.draining {
            RegistrationState::Draining
        } else {
            RegistrationState::Ready
        };
        Self {
            name: wire.name.as_str().into(),
            service: wire.service.as_str().into(),
            data_centre: wire.data_centre.as_str().into(),
            address: wire.address,
            slots: wire.slots,
            state,
            started_ms: wire.started_ms,
            cold: wire.cold,
        }
    }
}

/// A complete registry, as fetched over a link.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RegistrySnapshot {
    /// Era of the platform at which it was read; zero if it counts none.
    pub era: u64,
    /// Revision of the platform at which it was read.
    pub revision: u64,
    /// The registered upstreams.
    pub entries: Vec<WireRegistration>,
}
