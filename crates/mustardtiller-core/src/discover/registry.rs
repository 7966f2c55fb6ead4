//! The registered upstreams, as of one read of the platform.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::DataCentreName;
use crate::Instant;
use crate::Position;
use crate::ServiceName;
use crate::UpstreamName;

/// Whether a registered upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RegistrationState {
    /// It takes requests.
    Ready,
    /// It is leaving and takes no new request.
    Draining,
}

/// One registered upstream.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Registration {
    /// Its name; usually a new one for each incarnation.
    pub name: UpstreamName,
    /// Its service.
    pub service: ServiceName,
    /// The data centre that it runs in.
    pub data_centre: DataCentreName,
    /// The address on its own host where it serves HTTP.
    pub address: SocketAddr,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: RegistrationState,
    /// Unix time of its start, in milliseconds; distinguishes incarnations of one name.
    pub started_ms: u64,
    /// Whether it is in its cold start and still slow.
    pub cold: bool,
}

/// The difference between two registries.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RegistryDelta {
    /// Entries that are new or have changed.
    pub changed: Vec<Arc<Registration>>,
    /// Names that are no longer registered.
    pub removed: Vec<UpstreamName>,
}

/// A snapshot of every registered upstream.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<UpstreamName, Arc<Registration>>,
    /// Position of the platform at which it was read.
    ///
    /// Orders the reads of all daemons, whatever the delay of the message that
    /// brought them.
    pub position: Position,
    /// When it was read from the platform, in this process's time.
    pub read_at: Instant,
    /// Since when the platform has been read without a gap, in this process's time.
    pub unbroken_since: Instant,
}

impl Registry {
    /// Create a registry from entries that were read at `read_at`, at a position.
    #[must_use]
    pub fn new(
        entries: impl IntoIterator<Item = Registration>,
        position: impl Into<Position>,
        read_at: Instant,
    ) -> Self {
        let entries = entries
            .into_iter()
            .map(|entry| (entry.name.clone(), Arc::new(entry)))
            .collect();
        Self {
            entries,
            position: position.into(),
            read_at,
            unbroken_since: read_at,
        }
    }

    /// Return this registry with other entries.
    #[must_use]
    pub fn with_entries<'a>(
        &self,
        entries: impl IntoIterator<Item = &'a Arc<Registration>>,
    ) -> Self {
        let entries = entries
            .into_iter()
            .map(|entry| (entry.name.clone(), Arc::clone(entry)))
            .collect();
        Self { entries, ..*self }
    }

    /// Report whether a read at `position` and `read_at` is newer than this one.
    #[must_use]
    pub fn is_older_than(&self, position: Position, read_at: Instant) -> bool {
        (self.position, self.read_at) < (position, read_at)
    }

    /// Return every entry, in order of name.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<Registration>> {
        self.entries.values()
    }

    /// Find an entry by name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Registration>> {
        self.entries.get(name)
    }

    /// Return the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Report whether there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Return the newest incarnation registered at an address.
    #[must_use]
    pub fn at_address(&self, address: SocketAddr) -> Option<&Arc<Registration>> {
        self.entries()
            .filter(|entry| entry.address == address)
            .max_by_key(|entry| entry.started_ms)
    }

    /// Report whether no later incarnation is registered at the entry's address.
    #[must_use]
    pub fn is_newest(&self, entry: &Registration) -> bool {
        self.entries()
            .all(|other| other.address != entry.address || other.started_ms <= entry.started_ms)
    }

    /// Return a digest of the entries.
    ///
    /// Equal entries give the same digest in every process.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for entry in self.entries() {
            entry.hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Return the changes from `older` to this registry.
    #[must_use]
    pub fn delta_from(&self, older: &Self) -> RegistryDelta {
        let changed = self
            .entries()
            .filter(|entry| older.get(entry.name.as_str()) != Some(entry))
            .cloned()
            .collect();
        let removed = older
            .entries
            .keys()
            .filter(|name| !self.entries.contains_key(*name))
            .cloned()
            .collect();
        RegistryDelta { changed, removed }
    }

    /// Apply a delta, and return the result as read at `read_at`, at a position.
    #[must_use]
    pub fn with_delta(
        &self,
        delta: &RegistryDelta,
        position: impl Into<Position>,
        read_at: Instant,
    ) -> Self {
        let mut entries = self.entries.clone();
        for name in &delta.removed {
            entries.remove(name);
        }
        for entry in &delta.changed {
            entries.insert(entry.name.clone(), Arc::clone(entry));
        }
        Self {
            entries,
            position: position.into(),
            read_at,
            unbroken_since: self.unbroken_since,
        }
    }
}
