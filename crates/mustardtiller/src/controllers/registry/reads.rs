//! Reads of the platform and requests to peers, beside the controller's loop.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Controller;
use super::Input;
use super::updates::RegistryAge;
use crate::controllers::routes::link_of;
use crate::daemon::contained;
use crate::events::Event;
use crate::link::fetch_registry;
use crate::metrics::CounterId;
use crate::published::PublishedError;
use crate::published::ReadExtent;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::Position;
use mustardtiller_core::Registration;
use mustardtiller_core::Registry;
use mustardtiller_core::ServiceName;

/// Timeout of one read of the platform, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_000;

/// Timeout of one fetch from a peer, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 500;

/// Time between two requests to neighbours while no registry is held, in milliseconds.
const NEIGHBOUR_INTERVAL_MS: u64 = 50;

/// Daemons of the first page that are asked for the registry.
const MAX_ASKED: usize = 4;

/// Time after which a second fetch may begin beside one that has not ended, in milliseconds.
pub(super) const FETCH_HEDGE_MS: u64 = 100;

impl Controller {
    /// Return how much to read.
    ///
    /// In a large fleet, a few daemons read everything at a start; the others learn
    /// from the first page whom to ask. That page may name nobody.
    pub(super) fn read_extent(&self) -> ReadExtent {
        if self.has_registry() || self.has_first_page || self.read_schedule.is_starter() {
            ReadExtent::All
        } else {
            ReadExtent::FirstPage
        }
    }

    /// Start reading the registered upstreams from the platform.
    pub(super) fn read(&self, began: Instant, extent: ReadExtent) {
        let node = Arc::clone(&self.node);
        let platform = Arc::clone(&self.platform);
        let input_tx = self.input_tx.clone();
        self.node.spawn(async move {
            let deadline = Deadline::in_millis(began, READ_TIMEOUT_MS);
            let read = contained(platform.registrations(extent));
            let read = node.clock.within(deadline, read).await;
            let read =
                read.map(|read| read.unwrap_or_else(|cause| Err(PublishedError::Call { cause })));
            let calls = match &read {
                Some(Ok(registrations)) => registrations.calls.into(),
                // The call that failed; how many came before it is not known.
                Some(Err(_)) | None => 1,
            };
            node.count_platform_calls(CounterId::RegistryReads, calls);
            let registrations = match read {
                Some(Ok(registrations)) => Some(registrations),
                Some(Err(e)) => {
                    Event::RegistryFailed.log(e);
                    None
                }
                None => {
                    Event::RegistryFailed.log("platform did not answer in time");
                    None
                }
            };
            let _ = input_tx.try_send(Input::Read {
                began,
                extent,
                registrations,
            });
        });
    }

    /// Start fetching a peer's registry, which it announced with a position and a digest.
    ///
    /// The snapshot itself may name an earlier position: that of its last change. It gets the
    /// later one only if it is what was announced, since a peer that has restarted meanwhile
    /// may hold an older one.
    pub(super) fn fetch(&self, peer: SocketAddr, announced: (Position, u64), age: RegistryAge) {
        let (position, digest) = announced;
        let node = Arc::clone(&self.node);
        let input_tx = self.input_tx.clone();
        self.node.spawn(async move {
            node.metrics.count(CounterId::PeerFetches);
            let deadline = Deadline::in_millis(node.clock.now(), FETCH_TIMEOUT_MS);
            let fetched = contained(fetch_registry(&node, peer, deadline)).await;
            let snapshot = fetched.unwrap_or_else(|cause| {
                Event::TaskPanicked.log(cause);
                None
            });
            if snapshot.is_none() {
                node.metrics.count(CounterId::PeerFetchesFailed);
            }
            let registry = snapshot.map(|snapshot| {
                let entries = snapshot.entries.iter().map(Registration::from);
                let at = Position {
                    era: snapshot.era,
                    revision: snapshot.revision,
                };
                let mut registry = Registry::new(entries, at, age.read_at);
                if registry.digest() == digest {
                    registry.position = at.max(position);
                }
                registry.unbroken_since = age.unbroken_since;
                registry
            });
            let _ = input_tx.try_send(Input::Fetched { peer, registry });
        });
    }

    /// Ask the daemon that last opened a link to this one, while no registry is held.
    pub(super) async fn ask_neighbour(&mut self) {
        let now = self.node.clock.now();
        if self.has_registry() || !self.next_neighbour.has_passed(now) {
            return;
        }
        self.next_neighbour = Deadline::in_millis(now, NEIGHBOUR_INTERVAL_MS);
        let neighbour = *self.node.board.neighbour.share();
        if let Some(neighbour) = neighbour {
            self.gossip.request_registry(neighbour).await;
        }
    }

    /// Ask some of the daemons that the first page names for the registry.
    pub(super) async fn ask_acquaintances(&mut self, entries: &[Registration]) {
        let own = self.node.settings.link;
        let mut entries: Vec<&Registration> = entries.iter().collect();
        self.rng.shuffle(&mut entries);
        // Entries of a service that no configuration names may be many: one of each in turn.
        let mut seen: HashMap<&ServiceName, usize> = HashMap::new();
        let mut by_turn: Vec<(usize, SocketAddr)> = Vec::with_capacity(entries.len());
        for entry in entries {
            let turn = seen.entry(&entry.service).or_default();
            by_turn.push((*turn, link_of(&self.node, entry.address)));
            *turn += 1;
        }
        by_turn.sort_by_key(|(turn, _)| *turn);
        let links = by_turn.into_iter().map(|(_, link)| link);
        for link in links.filter(|link| *link != own).take(MAX_ASKED) {
            self.gossip.request_registry(link).await;
        }
    }
}
