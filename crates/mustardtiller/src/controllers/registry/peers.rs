//! Which daemons the registry names, and this daemon's rank among them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use super::Controller;
use crate::controllers::routes::link_of;
use mustardtiller_core::DataCentreName;
use mustardtiller_core::HostList;
use mustardtiller_core::Member;
use mustardtiller_core::MemberState;
use mustardtiller_core::Rank;
use mustardtiller_core::RegistrationState;

impl Controller {
    /// Report whether the upstream beside this daemon is registered.
    pub(super) fn is_listed(&self) -> bool {
        let own = self.node.settings.link;
        let mut entries = self.usable.entries();
        entries.any(|entry| link_of(&self.node, entry.address) == own)
    }

    /// Compute this daemon's rank in the order of readers.
    pub(super) fn compute_rank(&self) -> Rank {
        let here = &self.node.board.identity.data_centre;
        let own = rank_hash(self.node.settings.link);
        let peers = self
            .usable
            .entries()
            .filter(|entry| entry.data_centre == *here);
        let within_data_centre = peers
            .map(|entry| rank_hash(link_of(&self.node, entry.address)))
            .filter(|other| *other < own)
            .count();
        let data_centres: HashSet<&DataCentreName> = self
            .usable
            .entries()
            .map(|entry| &entry.data_centre)
            .collect();
        let before = data_centres
            .iter()
            .filter(|data_centre| rank_hash(data_centre) < rank_hash(here));
        let data_centre = before.count();
        if !self.is_listed() {
            return Rank::unlisted(data_centre);
        }
        Rank {
            within_data_centre,
            data_centre,
        }
    }

    /// Return the link address of the first-ranked daemon in each other data centre.
    pub(super) fn first_ranked_elsewhere(&self) -> Vec<SocketAddr> {
        let here = &self.node.board.identity.data_centre;
        let mut firsts: HashMap<&DataCentreName, (u64, SocketAddr)> = HashMap::new();
        for entry in self
            .usable
            .entries()
            .filter(|entry| entry.data_centre != *here)
        {
            let link = link_of(&self.node, entry.address);
            let candidate = (rank_hash(link), link);
            let first = firsts.entry(&entry.data_centre).or_insert(candidate);
            *first = candidate.min(*first);
        }
        firsts.into_values().map(|(_, link)| link).collect()
    }

    /// Return the link addresses of the other daemons in this data centre.
    pub(super) fn peers_in_data_centre(&self) -> Vec<SocketAddr> {
        let here = &self.node.board.identity.data_centre;
        let own = self.node.settings.link;
        let entries = self
            .usable
            .entries()
            .filter(|entry| entry.data_centre == *here);
        entries
            .map(|entry| link_of(&self.node, entry.address))
            .filter(|link| *link != own)
            .collect()
    }

    /// Return the link addresses of up to `count` random other daemons.
    pub(super) fn some_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let own = self.node.settings.link;
        let links = self.usable.entries();
        let links = links.map(|entry| link_of(&self.node, entry.address));
        let mut links: Vec<SocketAddr> = links.filter(|link| *link != own).collect();
        self.rng.shuffle(&mut links);
        links.truncate(count);
        links
    }

    /// Choose a random peer, in another data centre if there is one.
    pub(super) fn random_peer(&mut self) -> Option<SocketAddr> {
        let here = self.node.board.identity.data_centre.clone();
        let own = self.node.settings.link;
        let links = |elsewhere: bool| -> Vec<SocketAddr> {
            self.usable
                .entries()
                .filter(|entry| !elsewhere || entry.data_centre != here)
                .map(|entry| link_of(&self.node, entry.address))
                .filter(|link| *link != own)
                .collect()
        };
        let mut candidates = links(true);
        if candidates.is_empty() {
            candidates = links(false);
        }
        self.rng.choice(candidates)
    }

    /// Derive the host list of daemons, one beside each upstream.
    pub(super) fn hosts(&self) -> HostList {
        let members = self.usable.entries().map(|entry| {
            let link = link_of(&self.node, entry.address);
            Member {
                name: link.to_string().as_str().into(),
                data_centre: entry.data_centre.clone(),
                link,
                state: match entry.state {
                    RegistrationState::Ready => MemberState::Live,
                    RegistrationState::Draining => MemberState::Leaving,
                },
            }
        });
        HostList {
            members: members.collect(),
        }
    }
}

/// Return a hash from which all daemons compute the same ranks.
fn rank_hash(item: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    item.hash(&mut hasher);
    hasher.finish()
}
