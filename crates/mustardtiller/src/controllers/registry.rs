//! Keeps the registered upstreams on the board: reads, and tells of what was read.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::unbounded;
use smol::future;

use super::routes::link_of;
use crate::daemon::Node;
use crate::events::Event;
use crate::gossip::GossipSocket;
use crate::gossip::RegistryHeard;
use crate::link::fetch_registry;
use crate::metrics::CounterId;
use crate::published::PublishedSource;
use crate::published::Registrations;
use mustardtiller_core::Deadline;
use mustardtiller_core::HostList;
use mustardtiller_core::Instant;
use mustardtiller_core::Member;
use mustardtiller_core::MemberState;
use mustardtiller_core::PlaceName;
use mustardtiller_core::Rank;
use mustardtiller_core::ReadOutcome;
use mustardtiller_core::ReadSchedule;
use mustardtiller_core::Registration;
use mustardtiller_core::RegistrationState;
use mustardtiller_core::Registry;
use mustardtiller_core::RegistryDelta;
use mustardtiller_wire::RegistryUpdate;

/// Time for one read of the platform, in milliseconds.
const READ_MS: u64 = 1_000;

/// Time to fetch a registry from a peer, in milliseconds.
const FETCH_MS: u64 = 500;

/// Age of the registry from which other places are asked, in milliseconds.
const ASK_FROM_MS: u64 = 1_600;

/// Time between two questions to other places, in milliseconds.
const ASK_PAUSE_MS: u64 = 400;

/// Malformed entries that are remembered, so that each is logged once.
const REMEMBERED_MALFORMED: usize = 256;

/// What a task of the controller brought.
enum Brought {
    Read {
        began: Instant,
        registrations: Option<Registrations>,
    },
    Fetched {
        peer: SocketAddr,
        registry: Option<Registry>,
    },
    Heard(SocketAddr, RegistryHeard),
    Tick,
}

struct Controller {
    node: Arc<Node>,
    gossip: Arc<GossipSocket>,
    platform: Arc<dyn PublishedSource>,
    read_schedule: ReadSchedule,
    held: Registry,
    /// The own place in the order in which daemons read, by the registry held.
    rank: Rank,
    known: bool,
    reading: bool,
    fetching: bool,
    next_ask: Deadline,
    malformed: HashSet<String>,
    brought: Sender<Brought>,
    rng: fastrand::Rng,
}

/// Keep the registered upstreams on the board.
pub async fn control_registry(
    node: Arc<Node>,
    gossip: Arc<GossipSocket>,
    platform: Arc<dyn PublishedSource>,
) {
    let Some(discovery) = node.settings.discovery.clone() else {
        return;
    };
    let (brought, inbox) = unbounded();
    let now = node.clock.now();
    let rng = node.rng();
    let controller = Controller {
        gossip,
        platform,
        read_schedule: ReadSchedule::new(discovery.read_schedule, now),
        held: Registry::default(),
        rank: Rank::default(),
        known: false,
        reading: false,
        fetching: false,
        next_ask: Deadline::at(now),
        malformed: HashSet::new(),
        brought,
        rng,
        node,
    };
    controller.run(inbox).await;
}

impl Controller {
    async fn run(mut self, inbox: Receiver<Brought>) {
        loop {
            let due = self.next_tick();
            let clock = self.node.clock;
            let gossip = Arc::clone(&self.gossip);
            let brought = async {
                match inbox.recv().await {
                    Ok(brought) => brought,
                    Err(_) => future::pending().await,
                }
            };
            let heard = async {
                let (peer, heard) = gossip.hear_registry().await;
                Brought::Heard(peer, heard)
            };
            let ticked = async {
                clock.sleep_until(due).await;
                Brought::Tick
            };
            match future::or(brought, future::or(heard, ticked)).await {
                Brought::Tick => self.tick().await,
                Brought::Read {
                    began,
                    registrations,
                } => self.take_read(began, registrations).await,
                Brought::Fetched { peer, registry } => self.take_fetched(peer, registry).await,
                Brought::Heard(peer, heard) => self.take_heard(peer, heard).await,
            }
        }
    }

    fn read_at(&self) -> Option<Instant> {
        self.known.then_some(self.held.read_at)
    }

    fn next_tick(&self) -> Deadline {
        let ask = self.read_at().map_or(self.next_ask, |read_at| {
            Deadline::in_millis(read_at, ASK_FROM_MS).max(self.next_ask)
        });
        if self.reading {
            return ask;
        }
        ask.min(self.read_schedule.next_read(self.read_at(), self.rank))
    }

    async fn tick(&mut self) {
        let now = self.node.clock.now();
        let due = self.read_schedule.next_read(self.read_at(), self.rank);
        if !self.reading && due.has_passed(now) {
            self.reading = true;
            self.read(now);
        }
        let old = self
            .read_at()
            .is_none_or(|at| now.micros_since(at) >= ASK_FROM_MS * 1_000);
        if old && self.next_ask.has_passed(now) {
            self.next_ask = Deadline::in_millis(now, ASK_PAUSE_MS);
            if let Some(peer) = self.any_peer() {
                self.gossip.ask_registry(peer).await;
            }
        }
    }

    /// Find the own place in the order in which daemons read.
    fn find_rank(&self) -> Rank {
        let here = &self.node.board.identity.place;
        let own = weight(self.node.settings.link);
        let peers = self.held.entries().filter(|entry| entry.place == *here);
        let within = peers
            .map(|entry| weight(link_of(&self.node, entry.address)))
            .filter(|other| *other < own)
            .count();
        let places: HashSet<&PlaceName> = self.held.entries().map(|entry| &entry.place).collect();
        let before = places.iter().filter(|place| weight(place) < weight(here));
        Rank {
            within,
            place: before.count(),
        }
    }

    /// Return the first in rank of each other place.
    fn firsts_elsewhere(&self) -> Vec<SocketAddr> {
        let here = &self.node.board.identity.place;
        let mut firsts: HashMap<&PlaceName, (u64, SocketAddr)> = HashMap::new();
        for entry in self.held.entries().filter(|entry| entry.place != *here) {
            let link = link_of(&self.node, entry.address);
            let candidate = (weight(link), link);
            let first = firsts.entry(&entry.place).or_insert(candidate);
            *first = candidate.min(*first);
        }
        firsts.into_values().map(|(_, link)| link).collect()
    }

    fn read(&self, began: Instant) {
        let node = Arc::clone(&self.node);
        let platform = Arc::clone(&self.platform);
        let brought = self.brought.clone();
        self.node.spawn(async move {
            node.metrics.count(CounterId::PlatformReads);
            let deadline = Deadline::in_millis(began, READ_MS);
            let read = node.clock.within(deadline, platform.registrations());
            let registrations = match read.await {
                Some(Ok(registrations)) => Some(registrations),
                Some(Err(e)) => {
                    Event::RegistryFailed.log(e);
                    None
                }
                None => {
                    Event::RegistryFailed.log("no answer in time");
                    None
                }
            };
            let _ = brought.try_send(Brought::Read {
                began,
                registrations,
            });
        });
    }

    async fn take_read(&mut self, began: Instant, registrations: Option<Registrations>) {
        self.reading = false;
        let now = self.node.clock.now();
        let rank = self.rank;
        let Some(registrations) = registrations else {
            self.node.metrics.count(CounterId::PlatformFailures);
            self.read_schedule
                .record_outcome(ReadOutcome::Failed, rank, now, &mut self.rng);
            return;
        };
        self.read_schedule
            .record_outcome(ReadOutcome::Read, rank, now, &mut self.rng);
        for wrong in registrations.malformed {
            if self.malformed.len() < REMEMBERED_MALFORMED && !self.malformed.contains(&wrong) {
                Event::RegistrationMalformed.log(&wrong);
                self.malformed.insert(wrong);
            }
        }
        let keeps = self.read_schedule.keeps_missing(self.read_at(), began);
        let mut registry = Registry::new(registrations.entries, began);
        if keeps {
            registry = registry.keeping(&self.held);
        }
        let before = self.held.digest();
        let delta = registry.delta_from(&self.held);
        self.put(registry, &delta);
        let update = self.update(before, &delta);
        self.tell(self.own_place(), &update).await;
        self.tell(self.firsts_elsewhere(), &update).await;
    }

    async fn take_fetched(&mut self, peer: SocketAddr, registry: Option<Registry>) {
        self.fetching = false;
        if let Some(registry) = registry.filter(|r| self.is_newer(r.read_at)) {
            let before = self.held.digest();
            let delta = registry.delta_from(&self.held);
            self.put(registry, &delta);
            self.pass_on(peer, before, &delta).await;
        }
    }

    /// Tell the own place what was heard from another, if that is up to this daemon.
    async fn pass_on(&self, peer: SocketAddr, before: u64, delta: &RegistryDelta) {
        let own_place = self.own_place();
        if self.rank.is_first_of_place() && !own_place.contains(&peer) {
            self.tell(own_place, &self.update(before, delta)).await;
        }
    }

    async fn take_heard(&mut self, peer: SocketAddr, heard: RegistryHeard) {
        match heard {
            RegistryHeard::Asked => {
                if self.known {
                    let update = self.update(self.held.digest(), &RegistryDelta::default());
                    self.gossip.tell_registry(peer, &update).await;
                }
            }
            RegistryHeard::News(update) => self.take_news(peer, &update).await,
        }
    }

    async fn take_news(&mut self, peer: SocketAddr, update: &RegistryUpdate) {
        let now = self.node.clock.now();
        let read_at = now.minus_micros(u64::from(update.age_ms) * 1_000);
        if !self.is_newer(read_at) {
            return;
        }
        let held = self.held.digest();
        if self.known && held == update.digest {
            self.held.read_at = read_at;
            self.pass_on(peer, held, &RegistryDelta::default()).await;
            return;
        }
        let delta = delta_of(update);
        if self.known && held == update.before {
            let registry = self.held.with(&delta, read_at);
            if registry.digest() == update.digest {
                self.put(registry, &delta);
                self.pass_on(peer, held, &delta).await;
                return;
            }
        }
        if !self.fetching {
            self.fetching = true;
            self.fetch(peer, read_at);
        }
    }

    fn fetch(&self, peer: SocketAddr, read_at: Instant) {
        let node = Arc::clone(&self.node);
        let brought = self.brought.clone();
        self.node.spawn(async move {
            node.metrics.count(CounterId::PeerFetches);
            let deadline = Deadline::in_millis(node.clock.now(), FETCH_MS);
            let form = fetch_registry(&node, peer, deadline).await;
            if form.is_none() {
                node.metrics.count(CounterId::PeerFetchesFailed);
            }
            let registry = form
                .map(|form| Registry::new(form.entries.iter().map(Registration::from), read_at));
            let _ = brought.try_send(Brought::Fetched { peer, registry });
        });
    }

    fn is_newer(&self, read_at: Instant) -> bool {
        self.read_at().is_none_or(|held| read_at > held)
    }

    /// Hold a newer registry and put what changed on the board.
    fn put(&mut self, registry: Registry, delta: &RegistryDelta) {
        self.held = registry;
        self.rank = self.find_rank();
        let first = !std::mem::replace(&mut self.known, true);
        if !first && delta.changed.is_empty() && delta.removed.is_empty() {
            return;
        }
        for entry in &delta.changed {
            Event::UpstreamRegistered.log(format_args!(
                "{} of {} at {}: {:?}",
                entry.name, entry.service, entry.place, entry.state
            ));
        }
        for name in &delta.removed {
            Event::UpstreamUnregistered.log(name);
        }
        let hosts = self.hosts();
        let registered = i64::try_from(self.held.len()).unwrap_or(i64::MAX);
        self.node.metrics.registered.set(registered);
        self.node
            .board
            .registry
            .publish(Arc::new(self.held.clone()));
        self.node.board.hosts.publish(Arc::new(hosts));
    }

    /// Derive the daemons' host list: one beside each upstream.
    fn hosts(&self) -> HostList {
        let members = self.held.entries().map(|entry| {
            let link = link_of(&self.node, entry.address);
            Member {
                name: link.to_string().as_str().into(),
                place: entry.place.clone(),
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

    /// Return the other daemons of the own place.
    fn own_place(&self) -> Vec<SocketAddr> {
        let here = &self.node.board.identity.place;
        let own = self.node.settings.link;
        let entries = self.held.entries().filter(|entry| entry.place == *here);
        entries
            .map(|entry| link_of(&self.node, entry.address))
            .filter(|link| *link != own)
            .collect()
    }

    async fn tell(&self, links: Vec<SocketAddr>, update: &RegistryUpdate) {
        for link in links {
            self.gossip.tell_registry(link, update).await;
        }
    }

    fn update(&self, before: u64, delta: &RegistryDelta) -> RegistryUpdate {
        let age = self.node.clock.now().micros_since(self.held.read_at) / 1_000;
        RegistryUpdate {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            before,
            digest: self.held.digest(),
            changed: delta
                .changed
                .iter()
                .map(|entry| entry.as_ref().into())
                .collect(),
            removed: delta.removed.iter().map(ToString::to_string).collect(),
        }
    }

    /// Draw a peer of another place, or of any if there is no other.
    fn any_peer(&mut self) -> Option<SocketAddr> {
        let here = self.node.board.identity.place.clone();
        let own = self.node.settings.link;
        let links = |elsewhere: bool| -> Vec<SocketAddr> {
            self.held
                .entries()
                .filter(|entry| !elsewhere || entry.place != here)
                .map(|entry| link_of(&self.node, entry.address))
                .filter(|link| *link != own)
                .collect()
        };
        let mut links_there = links(true);
        if links_there.is_empty() {
            links_there = links(false);
        }
        self.rng.choice(links_there)
    }
}

fn delta_of(update: &RegistryUpdate) -> RegistryDelta {
    RegistryDelta {
        changed: update
            .changed
            .iter()
            .map(|form| Arc::new(form.into()))
            .collect(),
        removed: update
            .removed
            .iter()
            .map(|name| name.as_str().into())
            .collect(),
    }
}

/// Return a value by which all daemons agree on an order.
fn weight(item: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    item.hash(&mut hasher);
    hasher.finish()
}
