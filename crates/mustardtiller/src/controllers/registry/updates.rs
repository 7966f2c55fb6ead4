//! Updates of the registry from peers and to them.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Controller;
use super::reads::FETCH_HEDGE_MS;
use crate::gossip::RegistryMessage;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::Position;
use mustardtiller_core::Registry;
use mustardtiller_core::RegistryDelta;
use mustardtiller_wire::RegistryUpdate;

/// When a peer's registry was read, in this process's time.
#[derive(Clone, Copy, Debug)]
pub(super) struct RegistryAge {
    /// When it was read from the platform.
    pub read_at: Instant,
    /// Since when the platform has been read without a gap.
    pub unbroken_since: Instant,
}

impl Controller {
    pub(super) async fn handle_fetched(&mut self, peer: SocketAddr, registry: Option<Registry>) {
        self.next_fetch = Deadline::at(self.node.clock.now());
        if registry.is_some() {
            self.hedge_at = None;
        }
        if let Some(update) = registry.and_then(|registry| self.install(registry)) {
            self.read_out_of_turn = false;
            self.forward(peer, &update).await;
        }
    }

    pub(super) async fn handle_message(&mut self, peer: SocketAddr, message: RegistryMessage) {
        match message {
            RegistryMessage::Requested => {
                let digest = self.view.listed().map(Registry::digest);
                let unchanged = RegistryDelta::default();
                let update = digest.and_then(|digest| self.update_since(digest, &unchanged));
                if let Some(update) = update {
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
        let unbroken_since = now.minus_micros(u64::from(update.unbroken_ms) * 1_000);
        let age = RegistryAge {
            read_at,
            unbroken_since: self.view.covered_since(unbroken_since, read_at),
        };
        let position = Position {
            era: update.era,
            revision: update.revision,
        };
        let ended = self
            .view
            .hear_of_reads(position, age.unbroken_since, read_at);
        if ended {
            self.publish_usable();
        }
        if !self.view.is_news(position, age.read_at) {
            return;
        }
        if let Some(mut registry) = self.apply(update, position, age.read_at) {
            registry.unbroken_since = age.unbroken_since;
            if let Some(update) = self.install(registry) {
                self.read_out_of_turn = false;
                self.forward(peer, &update).await;
            }
        } else if self.next_fetch.has_passed(now) {
            self.next_fetch = Deadline::in_millis(now, FETCH_HEDGE_MS);
            self.hedge_at = Some(self.next_fetch);
            self.fetch(peer, (position, update.digest), age);
        }
    }

    /// Return the peer's registry, if the update leads there from the one held.
    fn apply(
        &self,
        update: &RegistryUpdate,
        position: Position,
        read_at: Instant,
    ) -> Option<Registry> {
        let listed = self.view.listed()?;
        let digest = listed.digest();
        let delta = if digest == update.digest {
            RegistryDelta::default()
        } else if digest == update.base_digest {
            delta_of(update)
        } else {
            return None;
        };
        let registry = listed.with_delta(&delta, position, read_at);
        (registry.digest() == update.digest).then_some(registry)
    }

    /// Forward a peer's update to this daemon's data centre.
    ///
    /// Only the first in rank of a data centre does so, and only with updates from other data centres.
    pub(super) async fn forward(&self, peer: SocketAddr, update: &RegistryUpdate) {
        let peers_in_data_centre = self.peers_in_data_centre();
        if self.rank.is_first_of_data_centre() && !peers_in_data_centre.contains(&peer) {
            self.send_to(peers_in_data_centre, update).await;
        }
    }

    pub(super) async fn send_to(&self, links: Vec<SocketAddr>, update: &RegistryUpdate) {
        for link in links {
            self.gossip.send_registry(link, update).await;
        }
    }

    /// Build an update from the registry with `base_digest` to the one held.
    ///
    /// Returns `None` if none is held.
    pub(super) fn update_since(
        &self,
        base_digest: u64,
        delta: &RegistryDelta,
    ) -> Option<RegistryUpdate> {
        let now = self.node.clock.now();
        let millis_since = |at| u32::try_from(now.micros_since(at) / 1_000).unwrap_or(u32::MAX);
        let listed = self.view.listed()?;
        Some(RegistryUpdate {
            age_ms: millis_since(listed.read_at),
            unbroken_ms: millis_since(listed.unbroken_since),
            era: listed.position.era,
            revision: listed.position.revision,
            base_digest,
            digest: listed.digest(),
            changed: delta
                .changed
                .iter()
                .map(|entry| entry.as_ref().into())
                .collect(),
            removed: delta.removed.iter().map(ToString::to_string).collect(),
        })
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
