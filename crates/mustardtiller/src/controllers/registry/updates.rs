//! Updates of the registry from peers and to them.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Controller;
use super::reads::FETCH_HEDGE_MS;
use crate::gossip::RegistryMessage;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::Registry;
use mustardtiller_core::RegistryDelta;
use mustardtiller_wire::RegistryUpdate;

impl Controller {
    pub(super) async fn handle_fetched(&mut self, peer: SocketAddr, registry: Option<Registry>) {
        self.next_fetch = Deadline::at(self.node.clock.now());
        if let Some(registry) = registry.filter(|r| self.is_newer(r.revision, r.read_at)) {
            let base_digest = self.held.digest();
            let delta = registry.delta_from(&self.held);
            self.install(registry, &delta);
            self.forward(peer, base_digest, &delta).await;
        }
    }

    pub(super) async fn handle_message(&mut self, peer: SocketAddr, message: RegistryMessage) {
        match message {
            RegistryMessage::Requested => {
                if self.has_registry {
                    let update = self.update_since(self.held.digest(), &RegistryDelta::default());
                    self.gossip.send_registry(peer, &update).await;
                }
            }
            RegistryMessage::Update(update) => self.handle_update(peer, &update).await,
        }
    }

    /// Apply a peer's update if it is newer.
    ///
    /// The whole registry is fetched from the peer if the update does not lead
    /// from the registry held to the peer's.
    pub(super) async fn handle_update(&mut self, peer: SocketAddr, update: &RegistryUpdate) {
        let now = self.node.clock.now();
        let read_at = now.minus_micros(u64::from(update.age_ms) * 1_000);
        if !self.is_newer(update.revision, read_at) {
            return;
        }
        let held = self.held.digest();
        if self.has_registry && held == update.digest {
            self.held.revision = update.revision;
            self.held.read_at = read_at;
            self.forward(peer, held, &RegistryDelta::default()).await;
            return;
        }
        let delta = delta_of(update);
        if self.has_registry && held == update.base_digest {
            let registry = self.held.with_delta(&delta, update.revision, read_at);
            if registry.digest() == update.digest {
                self.install(registry, &delta);
                self.forward(peer, held, &delta).await;
                return;
            }
        }
        if self.next_fetch.has_passed(now) {
            self.next_fetch = Deadline::in_millis(now, FETCH_HEDGE_MS);
            self.fetch(peer, update.revision, read_at);
        }
    }

    /// Forward a peer's update to this daemon's data centre.
    ///
    /// Only the first in rank of a data centre does so, and only with updates from other data centres.
    pub(super) async fn forward(&self, peer: SocketAddr, base_digest: u64, delta: &RegistryDelta) {
        let peers_in_data_centre = self.peers_in_data_centre();
        if self.rank.is_first_of_data_centre() && !peers_in_data_centre.contains(&peer) {
            self.send_to(peers_in_data_centre, &self.update_since(base_digest, delta))
                .await;
        }
    }

    /// Report whether a peer's registry is newer than the one held.
    ///
    /// A message that was delayed gives too late a time, so the revision decides first.
    pub(super) fn is_newer(&self, revision: u64, read_at: Instant) -> bool {
        !self.has_registry || self.held.is_older_than(revision, read_at)
    }

    pub(super) async fn send_to(&self, links: Vec<SocketAddr>, update: &RegistryUpdate) {
        for link in links {
            self.gossip.send_registry(link, update).await;
        }
    }

    /// Build an update from the registry with `base_digest` to the one held.
    pub(super) fn update_since(&self, base_digest: u64, delta: &RegistryDelta) -> RegistryUpdate {
        let age = self.node.clock.now().micros_since(self.held.read_at) / 1_000;
        RegistryUpdate {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            revision: self.held.revision,
            base_digest,
            digest: self.held.digest(),
            changed: delta
                .changed
                .iter()
                .map(|entry| entry.as_ref().into())
                .collect(),
            removed: delta.removed.iter().map(ToString::to_string).collect(),
        }
    }
}

fn delta_of(update: &RegistryUpdate) -> RegistryDelta {
    RegistryDelta {
        changed: update
            .changed
            .iter()
            .map(|entry| Arc::new(entry.into()))
            .collect(),
        removed: update
            .removed
            .iter()
            .map(|name| name.as_str().into())
            .collect(),
    }
}
