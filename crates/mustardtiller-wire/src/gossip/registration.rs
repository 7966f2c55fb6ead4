//! Registered upstreams as daemons tell them one another.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use mustardtiller_core::Registration;
use mustardtiller_core::RegistrationState;

/// One registered upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RegistrationForm {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// The place it stands in.
    pub place: String,
    /// Where it takes HTTP, on its own host.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// It is leaving.
    pub draining: bool,
    /// Unix time of its start, in milliseconds.
    pub started_ms: u64,
    /// It is still slow after its start.
    pub cold: bool,
}

impl From<&Registration> for RegistrationForm {
    fn from(entry: &Registration) -> Self {
        Self {
            name: entry.name.to_string(),
            service: entry.service.to_string(),
            place: entry.place.to_string(),
            address: entry.address,
            slots: entry.slots,
            draining: entry.state == RegistrationState::Draining,
            started_ms: entry.started_ms,
            cold: entry.cold,
        }
    }
}

impl From<&RegistrationForm> for Registration {
    fn from(form: &RegistrationForm) -> Self {
        let state = if form.draining {
            RegistrationState::Draining
        } else {
            RegistrationState::Ready
        };
        Self {
            name: form.name.as_str().into(),
            service: form.service.as_str().into(),
            place: form.place.as_str().into(),
            address: form.address,
            slots: form.slots,
            state,
            started_ms: form.started_ms,
            cold: form.cold,
        }
    }
}

/// A whole registry, as fetched over a link.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RegistrySnapshot {
    /// Its entries.
    pub entries: Vec<RegistrationForm>,
}
