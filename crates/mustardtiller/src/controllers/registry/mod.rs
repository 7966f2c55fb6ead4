//! Reads the registered upstreams from the platform and spreads them among daemons.

mod peers;
mod reads;
mod updates;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::unbounded;
use smol::future;

use crate::daemon::Node;
use crate::events::Event;
use crate::gossip::GossipSocket;
use crate::gossip::RegistryMessage;
use crate::metrics::CounterId;
use crate::published::PublishedSource;
use crate::published::ReadExtent;
use crate::published::Registrations;
use mustardtiller_config::Configuration;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::Rank;
use mustardtiller_core::ReadOutcome;
use mustardtiller_core::ReadSchedule;
use mustardtiller_core::Registry;
use mustardtiller_core::RegistryDelta;
use mustardtiller_core::RegistryView;
use mustardtiller_wire::RegistryUpdate;

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
    Configured,
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
    view: RegistryView,
    /// The entries of the view that are used, as published on the board.
    usable: Registry,
    /// The configuration whose services were last used, as published on the board.
    configuration: Arc<Option<Arc<Configuration>>>,
    /// This daemon's rank in the order of readers, by the entries used.
    rank: Rank,
    reading: bool,
    /// Whether the registry held was read by this daemon, out of turn.
    read_out_of_turn: bool,
    /// When a fetch has taken so long that another peer is asked; `None` if there is none.
    hedge_at: Option<Deadline>,
    /// When another fetch from a peer may begin.
    next_fetch: Deadline,
    /// Whether a first page was read alone; the next read is complete.
    has_first_page: bool,
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
        view: RegistryView::new(discovery.view),
        usable: Registry::default(),
        configuration: node.board.configuration.share(),
        rank: Rank::default(),
        reading: false,
        read_out_of_turn: false,
        hedge_at: None,
        next_fetch: Deadline::at(now),
        has_first_page: false,
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
            let configured = self.node.board.configuration.listen();
            self.follow_configuration();
            let configured = async {
                configured.await;
                Input::Configured
            };
            let has_registry = self.has_registry();
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
            let gossiped = future::or(gossiped, configured);
            let input = future::or(task_done, future::or(gossiped, ticked)).await;
            self.view.note_run(clock.now());
            match input {
                Input::Tick => self.tick().await,
                Input::Read {
                    began,
                    extent,
                    registrations,
                } => self.handle_read(began, extent, registrations).await,
                Input::Fetched { peer, registry } => self.handle_fetched(peer, registry).await,
                Input::Gossip(peer, message) => self.handle_message(peer, message).await,
                Input::Configured => self.publish_usable(),
                Input::Neighbour => self.ask_neighbour().await,
                Input::Wanted => self.read_schedule.record_demand(clock.now()),
            }
        }
    }

    /// Use the services of a configuration that was published while an input was handled.
    ///
    /// Its notice is lost, since the loop listens anew in each round.
    fn follow_configuration(&mut self) {
        let published = self.node.board.configuration.share();
        if !Arc::ptr_eq(&published, &self.configuration) {
            self.publish_usable();
        }
    }

    const fn has_registry(&self) -> bool {
        self.view.listed().is_some()
    }

    /// Return when the registry held was read; `None` if none is held.
    fn read_at(&self) -> Option<Instant> {
        Some(self.view.listed()?.read_at)
    }

    fn next_tick(&self) -> Deadline {
        let mut request_at = self.read_at().map_or(self.next_request, |read_at| {
            Deadline::in_millis(read_at, self.stale_ms()).max(self.next_request)
        });
        if self.view.keep_until().is_some() {
            request_at = self.next_request;
        }
        if let Some(expires_at) = self.view.expires_at() {
            request_at = request_at.min(expires_at);
        }
        request_at = self.hedge_at.map_or(request_at, |at| request_at.min(at));
        if self.reading {
            return request_at;
        }
        request_at.min(self.read_schedule.next_read(self.read_at(), self.rank))
    }

    /// Read the platform if due; if the registry held is stale, request a peer's.
    async fn tick(&mut self) {
        let now = self.node.clock.now();
        if self.view.expire(now) {
            self.publish_usable();
        }
        let next_read = self.read_schedule.next_read(self.read_at(), self.rank);
        if !self.reading && next_read.has_passed(now) {
            self.reading = true;
            if !self.has_registry() && self.read_schedule.has_demand() {
                self.node.board.start_read.notify(1);
            }
            self.read(now, self.read_extent());
        }
        let stale = self
            .read_at()
            .is_none_or(|at| now.micros_since(at) >= self.stale_ms() * 1_000);
        // A peer's reads may show that the entries kept have left.
        let keeps = self.view.keep_until().is_some();
        let is_slow = self.hedge_at.take_if(|at| at.has_passed(now)).is_some();
        if is_slow || (stale || keeps) && self.next_request.has_passed(now) {
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
            if !self.has_registry() {
                self.has_first_page = true;
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
        self.view.note_own_read(began);
        let registry = Registry::new(registrations.entries, registrations.position, began);
        let is_first = !self.has_registry();
        if self.view.supersedes(&registry) {
            Event::RevisionFell.log(format_args!("the platform is at {}", registry.position));
            self.view.forget();
        }
        let Some(update) = self.install(registry) else {
            // A peer's later read came first.
            return;
        };
        let out_of_turn = !is_first && rank != Rank::default();
        if std::mem::replace(&mut self.read_out_of_turn, out_of_turn) && out_of_turn {
            self.node.board.read_for_others.notify(1);
        }
        if is_first {
            // Others have started too, and the first in rank of a data centre may not be up.
            let peers = self.some_peers(MAX_TOLD_AT_START);
            self.send_to(peers, &update).await;
        }
        self.send_to(self.peers_in_data_centre(), &update).await;
        self.send_to(self.first_ranked_elsewhere(), &update).await;
    }

    /// Replace the registry held by a newer one, and publish what changes.
    ///
    /// Returns the update for peers; `None` if the registry is not newer.
    fn install(&mut self, registry: Registry) -> Option<RegistryUpdate> {
        let none = Registry::default();
        let held = self.view.listed().unwrap_or(&none);
        let (base_digest, delta) = (held.digest(), registry.delta_from(held));
        let kept = self.view.expires_at();
        let era = held.position.era;
        if !self.view.accept(registry, self.node.clock.now()) {
            return None;
        }
        let listed = self.view.listed()?;
        if era > 0 && listed.position.era > era {
            Event::PlatformReturned.log(format_args!("the platform is at {}", listed.position));
        }
        let is_changed = delta != RegistryDelta::default();
        if is_changed {
            self.node.board.listed.publish(Arc::new(listed.clone()));
        }
        if is_changed || self.view.expires_at() != kept || self.usable.is_empty() {
            self.publish_usable();
        }
        self.update_since(base_digest, &delta)
    }

    /// Publish the entries to use, if they have changed.
    ///
    /// Without a configuration, nobody can tell which services it names.
    fn publish_usable(&mut self) {
        self.configuration = self.node.board.configuration.share();
        let configuration = self.configuration.as_ref().as_ref();
        let usable = self
            .view
            .usable(|service| configuration.is_none_or(|c| c.service(service).is_some()));
        let delta = usable.delta_from(&self.usable);
        let is_first = self.has_registry() && self.node.board.hosts.read().members.is_empty();
        if delta == RegistryDelta::default() && !is_first {
            return;
        }
        self.usable = usable;
        self.rank = self.compute_rank();
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
        let registered = i64::try_from(self.usable.len()).unwrap_or(i64::MAX);
        self.node.metrics.gauges.registered.set(registered);
        let board = &self.node.board;
        board.registry.publish(Arc::new(self.usable.clone()));
        board.hosts.publish(Arc::new(hosts));
    }
}
