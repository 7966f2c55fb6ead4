//! Reads the registered upstreams from the platform and spreads them among daemons.

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
use crate::daemon::contained;
use crate::events::Event;
use crate::gossip::GossipSocket;
use crate::gossip::RegistryMessage;
use crate::link::fetch_registry;
use crate::metrics::CounterId;
use crate::published::PublishedError;
use crate::published::PublishedSource;
use crate::published::ReadExtent;
use crate::published::Registrations;
use mustardtiller_core::DataCentreName;
use mustardtiller_core::Deadline;
use mustardtiller_core::HostList;
use mustardtiller_core::Instant;
use mustardtiller_core::Member;
use mustardtiller_core::MemberState;
use mustardtiller_core::Rank;
use mustardtiller_core::ReadOutcome;
use mustardtiller_core::ReadSchedule;
use mustardtiller_core::Registration;
use mustardtiller_core::RegistrationState;
use mustardtiller_core::Registry;
use mustardtiller_core::RegistryDelta;
use mustardtiller_wire::RegistryUpdate;

/// Timeout of one read of the platform, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_000;

/// Timeout of one fetch from a peer, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 500;

/// Age at which the registry held is stale, in milliseconds.
///
/// The registry of a peer is then requested, preferably of one in another data centre.
const STALE_MS: u64 = 1_600;

/// Age at which a daemon whose upstream is not registered requests it, in milliseconds.
///
/// The readers don't know such a daemon, so they send it no updates.
const UNLISTED_STALE_MS: u64 = 700;

/// Time between two requests for a peer's registry, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 400;

/// Time between two requests to neighbours while no registry is held, in milliseconds.
const NEIGHBOUR_INTERVAL_MS: u64 = 50;

/// Time after which a second fetch may begin beside one that has not ended, in milliseconds.
const FETCH_HEDGE_MS: u64 = 100;

/// Daemons of the first page that are asked for the registry.
const MAX_ASKED: usize = 4;

/// Daemons that are told of the first registry that this one has read.
const MAX_TOLD_AT_START: usize = 32;

/// Malformed entries that are remembered, so that each is logged only once.
const MAX_REMEMBERED_MALFORMED: usize = 256;

/// An input of the controller's loop.
enum Input {
    Read {
        began: Instant,
        extent: ReadExtent,
        registrations: Option<Registrations>,
    },
    Fetched {
        peer: SocketAddr,
        registry: Option<Registry>,
    },
    Gossip(SocketAddr, RegistryMessage),
    Neighbour,
    Wanted,
    Tick,
}

/// The state of the controller, owned by its loop.
struct Controller {
    node: Arc<Node>,
    gossip: Arc<GossipSocket>,
    platform: Arc<dyn PublishedSource>,
    read_schedule: ReadSchedule,
    held: Registry,
    /// This daemon's rank in the order of readers, by the registry held.
    rank: Rank,
    has_registry: bool,
    reading: bool,
    /// When another fetch from a peer may begin.
    next_fetch: Deadline,
    /// Daemons that the first page named, if only that was read so far.
    acquaintances: Vec<SocketAddr>,
    next_request: Deadline,
    /// When a neighbour may be asked again.
    next_neighbour: Deadline,
    malformed: HashSet<String>,
    input_tx: Sender<Input>,
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
    let (input_tx, input_rx) = unbounded();
    let now = node.clock.now();
    let mut rng = node.rng();
    let read_schedule = ReadSchedule::new(discovery.read_schedule, now, &mut rng);
    let controller = Controller {
        gossip,
        platform,
        read_schedule,
        held: Registry::default(),
        rank: Rank::default(),
        has_registry: false,
        reading: false,
        next_fetch: Deadline::at(now),
        acquaintances: Vec::new(),
        next_request: Deadline::at(now),
        next_neighbour: Deadline::at(now),
        malformed: HashSet::new(),
        input_tx,
        rng,
        node,
    };
    controller.run(input_rx).await;
}

impl Controller {
    async fn run(mut self, input_rx: Receiver<Input>) {
        loop {
            let next_tick = self.next_tick();
            let clock = self.node.clock;
            let gossip = Arc::clone(&self.gossip);
            let task_done = async {
                match input_rx.recv().await {
                    Ok(input) => input,
                    Err(_) => future::pending().await,
                }
            };
            let gossiped = async {
                let (peer, message) = gossip.recv_registry().await;
                Input::Gossip(peer, message)
            };
            let connected = self.node.board.neighbour.listen();
            let wanted = self.node.board.hosts_wanted.listen();
            let has_registry = self.has_registry;
            let connected = async {
                if has_registry {
                    future::pending::<()>().await;
                }
                connected.await;
                Input::Neighbour
            };
            let wanted = async {
                if has_registry {
                    future::pending::<()>().await;
                }
                wanted.await;
                Input::Wanted
            };
            let ticked = async {
                clock.sleep_until(next_tick).await;
                Input::Tick
            };
            let gossiped = future::or(gossiped, future::or(connected, wanted));
            match future::or(task_done, future::or(gossiped, ticked)).await {
                Input::Tick => self.tick().await,
                Input::Read {
                    began,
                    extent,
                    registrations,
                } => self.handle_read(began, extent, registrations).await,
                Input::Fetched { peer, registry } => self.handle_fetched(peer, registry).await,
                Input::Gossip(peer, message) => self.handle_message(peer, message).await,
                Input::Neighbour => self.ask_neighbour().await,
                Input::Wanted => self.read_schedule.record_demand(clock.now()),
            }
        }
    }

    /// Return when the registry held was read; `None` if none is held.
    fn read_at(&self) -> Option<Instant> {
        self.has_registry.then_some(self.held.read_at)
    }

    fn next_tick(&self) -> Deadline {
        let request_at = self.read_at().map_or(self.next_request, |read_at| {
            Deadline::in_millis(read_at, self.stale_ms()).max(self.next_request)
        });
        if self.reading {
            return request_at;
        }
        request_at.min(self.read_schedule.next_read(self.read_at(), self.rank))
    }

    /// Read the platform if due; if the registry held is stale, request a peer's.
    async fn tick(&mut self) {
        let now = self.node.clock.now();
        let next_read = self.read_schedule.next_read(self.read_at(), self.rank);
        if !self.reading && next_read.has_passed(now) {
            self.reading = true;
            if !self.has_registry && self.read_schedule.has_demand() {
                self.node.board.start_read.notify(1);
            }
            self.read(now, self.read_extent());
        }
        let stale = self
            .read_at()
            .is_none_or(|at| now.micros_since(at) >= self.stale_ms() * 1_000);
        if stale && self.next_request.has_passed(now) {
            self.next_request = Deadline::in_millis(now, REQUEST_INTERVAL_MS);
            if let Some(peer) = self.random_peer() {
                self.gossip.request_registry(peer).await;
            }
        }
    }

    /// Return the age at which the registry held is stale, in milliseconds.
    const fn stale_ms(&self) -> u64 {
        if self.rank.is_listed() {
            STALE_MS
        } else {
            UNLISTED_STALE_MS
        }
    }

    /// Ask the daemon that last opened a link to this one, while no registry is held.
    async fn ask_neighbour(&mut self) {
        let now = self.node.clock.now();
        if self.has_registry || !self.next_neighbour.has_passed(now) {
            return;
        }
        self.next_neighbour = Deadline::in_millis(now, NEIGHBOUR_INTERVAL_MS);
        let neighbour = *self.node.board.neighbour.share();
        if let Some(neighbour) = neighbour {
            self.gossip.request_registry(neighbour).await;
        }
    }

    /// Report whether the upstream beside this daemon is registered.
    fn is_listed(&self) -> bool {
        let own = self.node.settings.link;
        let mut entries = self.held.entries();
        entries.any(|entry| link_of(&self.node, entry.address) == own)
    }

    /// Compute this daemon's rank in the order of readers.
    fn compute_rank(&self) -> Rank {
        let here = &self.node.board.identity.data_centre;
        let own = rank_hash(self.node.settings.link);
        let peers = self
            .held
            .entries()
            .filter(|entry| entry.data_centre == *here);
        let within_data_centre = peers
            .map(|entry| rank_hash(link_of(&self.node, entry.address)))
            .filter(|other| *other < own)
            .count();
        let data_centres: HashSet<&DataCentreName> = self
            .held
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
    fn first_ranked_elsewhere(&self) -> Vec<SocketAddr> {
        let here = &self.node.board.identity.data_centre;
        let mut firsts: HashMap<&DataCentreName, (u64, SocketAddr)> = HashMap::new();
        for entry in self
            .held
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

    /// Return how much to read.
    ///
    /// In a large fleet, a few daemons read everything at a start; the others learn
    /// from the first page whom to ask.
    fn read_extent(&self) -> ReadExtent {
        let acquainted = !self.acquaintances.is_empty();
        if self.has_registry || acquainted || self.read_schedule.is_starter() {
            ReadExtent::All
        } else {
            ReadExtent::FirstPage
        }
    }

    /// Ask some of the daemons that the first page names for the registry.
    async fn ask_acquaintances(&mut self, entries: &[Registration]) {
        let own = self.node.settings.link;
        let links = entries
            .iter()
            .map(|entry| link_of(&self.node, entry.address));
        self.acquaintances = links.filter(|link| *link != own).collect();
        self.rng.shuffle(&mut self.acquaintances);
        for link in self.acquaintances.iter().take(MAX_ASKED) {
            self.gossip.request_registry(*link).await;
        }
    }

    /// Start reading the registered upstreams from the platform.
    fn read(&self, began: Instant, extent: ReadExtent) {
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

    /// Install what was read and send the change to peers.
    ///
    /// It goes to all daemons of this data centre and to the first in rank of each other data centre.
    async fn handle_read(
        &mut self,
        began: Instant,
        extent: ReadExtent,
        registrations: Option<Registrations>,
    ) {
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
        if extent == ReadExtent::FirstPage && registrations.has_more {
            if !self.has_registry {
                self.read_schedule.record_first_page(now);
                self.ask_acquaintances(&registrations.entries).await;
            }
            return;
        }
        for entry in registrations.malformed {
            if self.malformed.len() < MAX_REMEMBERED_MALFORMED && !self.malformed.contains(&entry) {
                Event::RegistrationMalformed.log(&entry);
                self.malformed.insert(entry);
            }
        }
        if self.has_registry
            && self.held.read_at > began
            && self.held.revision > registrations.revision
        {
            // A peer's later read came first.
            return;
        }
        let keep_missing = self.read_schedule.keeps_missing(self.read_at(), began);
        let mut registry = Registry::new(registrations.entries, registrations.revision, began);
        if keep_missing {
            registry = registry.with_missing_from(&self.held);
        }
        let base_digest = self.held.digest();
        let delta = registry.delta_from(&self.held);
        let is_first = !self.has_registry;
        self.install(registry, &delta);
        let update = self.update_since(base_digest, &delta);
        if is_first {
            // Others have started too, and the first in rank of a data centre may not be up.
            let peers = self.some_peers(MAX_TOLD_AT_START);
            self.send_to(peers, &update).await;
        }
        self.send_to(self.peers_in_data_centre(), &update).await;
        self.send_to(self.first_ranked_elsewhere(), &update).await;
    }

    async fn handle_fetched(&mut self, peer: SocketAddr, registry: Option<Registry>) {
        self.next_fetch = Deadline::at(self.node.clock.now());
        if let Some(registry) = registry.filter(|r| self.is_newer(r.revision, r.read_at)) {
            let base_digest = self.held.digest();
            let delta = registry.delta_from(&self.held);
            self.install(registry, &delta);
            self.forward(peer, base_digest, &delta).await;
        }
    }

    /// Forward a peer's update to this daemon's data centre.
    ///
    /// Only the first in rank of a data centre does so, and only with updates from other data centres.
    async fn forward(&self, peer: SocketAddr, base_digest: u64, delta: &RegistryDelta) {
        let peers_in_data_centre = self.peers_in_data_centre();
        if self.rank.is_first_of_data_centre() && !peers_in_data_centre.contains(&peer) {
            self.send_to(peers_in_data_centre, &self.update_since(base_digest, delta))
                .await;
        }
    }

    async fn handle_message(&mut self, peer: SocketAddr, message: RegistryMessage) {
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
    async fn handle_update(&mut self, peer: SocketAddr, update: &RegistryUpdate) {
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
            self.fetch(peer, read_at);
        }
    }

    /// Start fetching a peer's registry, read from the platform at `read_at`.
    fn fetch(&self, peer: SocketAddr, read_at: Instant) {
        let node = Arc::clone(&self.node);
        let input_tx = self.input_tx.clone();
        self.node.spawn(async move {
            node.metrics.count(CounterId::PeerFetches);
            let deadline = Deadline::in_millis(node.clock.now(), FETCH_TIMEOUT_MS);
            let fetched = contained(fetch_registry(&node, peer, deadline)).await;
            let snapshot = fetched.ok().flatten();
            if snapshot.is_none() {
                node.metrics.count(CounterId::PeerFetchesFailed);
            }
            let registry = snapshot.map(|snapshot| {
                let entries = snapshot.entries.iter().map(Registration::from);
                Registry::new(entries, snapshot.revision, read_at)
            });
            let _ = input_tx.try_send(Input::Fetched { peer, registry });
        });
    }

    /// Report whether a peer's registry is newer than the one held.
    ///
    /// A message that was delayed gives too late a time, so the revision decides first.
    fn is_newer(&self, revision: u64, read_at: Instant) -> bool {
        !self.has_registry || self.held.is_older_than(revision, read_at)
    }

    /// Replace the registry held by a newer one, and publish it if it changed.
    fn install(&mut self, registry: Registry, delta: &RegistryDelta) {
        self.held = registry;
        self.rank = self.compute_rank();
        let first = !std::mem::replace(&mut self.has_registry, true);
        if !first && delta.changed.is_empty() && delta.removed.is_empty() {
            return;
        }
        for entry in &delta.changed {
            Event::UpstreamRegistered.log(format_args!(
                "{} of {} at {}: {:?}",
                entry.name, entry.service, entry.data_centre, entry.state
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

    /// Derive the host list of daemons, one beside each upstream.
    fn hosts(&self) -> HostList {
        let members = self.held.entries().map(|entry| {
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

    /// Return the link addresses of the other daemons in this data centre.
    fn peers_in_data_centre(&self) -> Vec<SocketAddr> {
        let here = &self.node.board.identity.data_centre;
        let own = self.node.settings.link;
        let entries = self
            .held
            .entries()
            .filter(|entry| entry.data_centre == *here);
        entries
            .map(|entry| link_of(&self.node, entry.address))
            .filter(|link| *link != own)
            .collect()
    }

    /// Return the link addresses of up to `count` random other daemons.
    fn some_peers(&mut self, count: usize) -> Vec<SocketAddr> {
        let own = self.node.settings.link;
        let links = self.held.entries();
        let links = links.map(|entry| link_of(&self.node, entry.address));
        let mut links: Vec<SocketAddr> = links.filter(|link| *link != own).collect();
        self.rng.shuffle(&mut links);
        links.truncate(count);
        links
    }

    async fn send_to(&self, links: Vec<SocketAddr>, update: &RegistryUpdate) {
        for link in links {
            self.gossip.send_registry(link, update).await;
        }
    }

    /// Build an update from the registry with `base_digest` to the one held.
    fn update_since(&self, base_digest: u64, delta: &RegistryDelta) -> RegistryUpdate {
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

    /// Choose a random peer, in another data centre if there is one.
    fn random_peer(&mut self) -> Option<SocketAddr> {
        let here = self.node.board.identity.data_centre.clone();
        let own = self.node.settings.link;
        let links = |elsewhere: bool| -> Vec<SocketAddr> {
            self.held
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

/// Return a hash from which all daemons compute the same ranks.
fn rank_hash(item: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    item.hash(&mut hasher);
    hasher.finish()
}
