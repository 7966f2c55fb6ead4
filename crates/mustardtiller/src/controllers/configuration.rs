//! Takes configurations from the platform and from peers, whole or not at all.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::unbounded;
use smol::future;
use snafu::Snafu;

use crate::daemon::Node;
use crate::events::Event;
use crate::gossip::ConfigHeard;
use crate::gossip::GossipSocket;
use crate::link::fetch_values;
use crate::metrics::CounterId;
use crate::published::PublishedError;
use crate::published::PublishedSource;
use mustardtiller_config::Artefact;
use mustardtiller_config::ArtefactError;
use mustardtiller_config::Configuration;
use mustardtiller_core::Deadline;
use mustardtiller_core::Digest;
use mustardtiller_core::Spread;
use mustardtiller_core::SpreadEffect;
use mustardtiller_core::SpreadEvent;
use mustardtiller_core::Version;

/// Why a configuration did not come.
#[derive(Debug)]
#[derive(Snafu)]
enum FetchError {
    #[snafu(display("{source}"))]
    Platform { source: PublishedError },
    #[snafu(display("{source}"))]
    Artefact { source: ArtefactError },
    #[snafu(display("no peer had it"))]
    Peer,
}

/// What a task of the controller brought.
enum Brought {
    Event(SpreadEvent),
    Manifest { bytes: Vec<u8>, tag: String },
    Unchanged,
    Fetched(Box<Artefact>),
}

struct Controller {
    node: Arc<Node>,
    gossip: Arc<GossipSocket>,
    platform: Arc<dyn PublishedSource>,
    spread: Spread,
    tag: Option<String>,
    offered: Version,
    pending: Option<Artefact>,
    brought: Sender<Brought>,
}

/// Spread configurations and put the newest in force.
pub async fn control_configuration(
    node: Arc<Node>,
    gossip: Arc<GossipSocket>,
    platform: Arc<dyn PublishedSource>,
) {
    let (brought, inbox) = unbounded();
    let mut rng = node.rng();
    let identity = &node.board.identity;
    let spread = Spread::new(
        node.member_name(),
        identity.place.clone(),
        node.settings.spread,
        node.clock.now(),
        &mut rng,
    );
    let controller = Controller {
        node,
        gossip,
        platform,
        spread,
        tag: None,
        offered: Version::default(),
        pending: None,
        brought,
    };
    controller.ask_seeds().await;
    controller.run(inbox, rng).await;
}

impl Controller {
    async fn run(mut self, inbox: Receiver<Brought>, mut rng: fastrand::Rng) {
        loop {
            let due = self.spread.next_tick();
            let gossip = Arc::clone(&self.gossip);
            let node = Arc::clone(&self.node);
            let clock = node.clock;
            let heard = async {
                let (peer, heard) = gossip.hear().await;
                Brought::Event(match heard {
                    ConfigHeard::Has {
                        version,
                        wants_reply,
                    } => SpreadEvent::PeerHas {
                        peer,
                        version,
                        wants_reply,
                    },
                    ConfigHeard::RequestPlatformRead { hops } => SpreadEvent::AskedToRead { hops },
                })
            };
            let ticked = async {
                clock.sleep_until(due).await;
                Brought::Event(SpreadEvent::Tick)
            };
            let listed = node.board.hosts.listen();
            let listed = async {
                listed.await;
                Brought::Event(SpreadEvent::Tick)
            };
            let brought = async {
                match inbox.recv().await {
                    Ok(brought) => brought,
                    Err(_) => future::pending().await,
                }
            };
            let moved = future::or(listed, ticked);
            let next = future::or(brought, future::or(heard, moved)).await;
            let event = self.take(next);
            self.step(event, &mut rng).await;
        }
    }

    /// Ask the peers of the settings, before any host list is known.
    async fn ask_seeds(&self) {
        for seed in &self.node.settings.seeds {
            self.gossip.tell(*seed, self.spread.held(), true).await;
        }
    }

    async fn step(&mut self, event: SpreadEvent, rng: &mut fastrand::Rng) {
        self.count_odd(event);
        if matches!(event, SpreadEvent::FetchFailed) {
            // The manifest is read again, although the platform's value stands.
            self.tag = None;
        }
        let hosts = self.node.board.hosts.share();
        let now = self.node.clock.now();
        for effect in self.spread.step(event, &hosts, now, rng) {
            match effect {
                SpreadEffect::Advertise { peer, wants_reply } => {
                    self.gossip
                        .tell(peer, self.spread.held(), wants_reply)
                        .await;
                }
                SpreadEffect::DelegateRead { peer, hops } => {
                    self.gossip.hand_over(peer, hops).await;
                }
                SpreadEffect::ReadPlatform { watch } => self.read_platform(watch),
                SpreadEffect::FetchFromPeer { peer, version } => self.fetch_peer(peer, version),
                SpreadEffect::FetchFromPlatform { .. } => self.fetch_platform(),
            }
        }
    }

    /// Count and log offers that are not taken.
    fn count_odd(&self, event: SpreadEvent) {
        let (SpreadEvent::PeerHas {
            version: offered, ..
        }
        | SpreadEvent::PlatformHas(offered)) = event
        else {
            return;
        };
        let held = self.spread.held();
        if offered.conflicts_with(&held) && offered.revision > 0 {
            self.node.metrics.count(CounterId::ConfigsConflicting);
            Event::ConfigConflict.log(format_args!("{offered} and {held}"));
        } else if matches!(event, SpreadEvent::PlatformHas(_)) && offered < held {
            self.node.metrics.count(CounterId::ConfigsOlder);
            Event::ConfigOlder.log(format_args!("{offered} offered, {held} held"));
        }
    }

    /// Turn what a task brought into an event.
    fn take(&mut self, brought: Brought) -> SpreadEvent {
        match brought {
            Brought::Event(event) => event,
            Brought::Unchanged => SpreadEvent::PlatformHas(self.offered),
            Brought::Manifest { bytes, tag } => self.take_manifest(bytes, tag),
            Brought::Fetched(artefact) => self.accept(*artefact),
        }
    }

    fn take_manifest(&mut self, bytes: Vec<u8>, tag: String) -> SpreadEvent {
        self.tag = Some(tag);
        match Artefact::from_manifest(bytes) {
            Ok(artefact) => {
                let version = artefact.version();
                self.offered = version;
                self.pending = Some(artefact);
                SpreadEvent::PlatformHas(version)
            }
            Err(e) => {
                self.node.metrics.count(CounterId::ConfigsRefused);
                Event::ConfigRefused.log(format_args!("manifest of the platform: {e}"));
                SpreadEvent::PlatformFailed
            }
        }
    }

    fn accept(&self, artefact: Artefact) -> SpreadEvent {
        let version = artefact.version();
        if version <= self.spread.held() {
            return SpreadEvent::Refused(version);
        }
        match Configuration::assemble(&artefact) {
            Ok(configuration) => {
                let board = &self.node.board;
                board.artefact.publish(Arc::new(Some(Arc::new(artefact))));
                board
                    .configuration
                    .publish(Arc::new(Some(Arc::new(configuration))));
                self.node.metrics.count(CounterId::ConfigsAccepted);
                self.node.metrics.revision.set(version.revision as i64);
                Event::ConfigAccepted.log(version);
                SpreadEvent::Accepted(version)
            }
            Err(e) => {
                self.node.metrics.count(CounterId::ConfigsRefused);
                Event::ConfigRefused.log(format_args!("{version}: {e}"));
                SpreadEvent::Refused(version)
            }
        }
    }

    fn read_platform(&self, watch: bool) {
        let node = Arc::clone(&self.node);
        let platform = Arc::clone(&self.platform);
        let tag = if watch { self.tag.clone() } else { None };
        let brought = self.brought.clone();
        self.node.spawn(async move {
            node.metrics.count(CounterId::PlatformReads);
            let read = match platform.manifest(tag.as_deref()).await {
                Ok(Some(value)) => Brought::Manifest {
                    bytes: value.bytes,
                    tag: value.tag,
                },
                Ok(None) => Brought::Unchanged,
                Err(e) => {
                    node.metrics.count(CounterId::PlatformFailures);
                    Event::PlatformFailed.log(e);
                    Brought::Event(SpreadEvent::PlatformFailed)
                }
            };
            let _ = brought.try_send(read);
        });
    }

    fn fetch_platform(&mut self) {
        let Some(artefact) = self.pending.take() else {
            return;
        };
        let node = Arc::clone(&self.node);
        let platform = Arc::clone(&self.platform);
        let brought = self.brought.clone();
        self.node.spawn(async move {
            let fetched = from_platform(&node, platform.as_ref(), artefact).await;
            let _ = brought.try_send(fetch_result(&node, fetched));
        });
    }

    fn fetch_peer(&self, peer: SocketAddr, version: Version) {
        let node = Arc::clone(&self.node);
        let platform = Arc::clone(&self.platform);
        let brought = self.brought.clone();
        self.node.spawn(async move {
            let fetched = from_peer(&node, platform.as_ref(), peer, version.digest).await;
            let _ = brought.try_send(fetch_result(&node, fetched));
        });
    }
}

fn fetch_result(node: &Node, fetched: Result<Artefact, FetchError>) -> Brought {
    match fetched {
        Ok(artefact) => Brought::Fetched(Box::new(artefact)),
        Err(e) => {
            if matches!(e, FetchError::Artefact { .. }) {
                node.metrics.count(CounterId::ConfigsRefused);
            }
            Event::ConfigRefused.log(format_args!("not fetched: {e}"));
            Brought::Event(SpreadEvent::FetchFailed)
        }
    }
}

/// Add the parts that are in force already.
fn reuse_parts(node: &Node, artefact: &mut Artefact) {
    let held = node.board.artefact.share();
    let Some(held) = held.as_ref() else {
        return;
    };
    for digest in artefact.missing() {
        if let Some(bytes) = held.parts.get(&digest) {
            artefact.parts.insert(digest, bytes.clone());
        }
    }
}

async fn from_platform(
    node: &Node,
    platform: &dyn PublishedSource,
    mut artefact: Artefact,
) -> Result<Artefact, FetchError> {
    reuse_parts(node, &mut artefact);
    for digest in artefact.missing() {
        node.metrics.count(CounterId::PlatformReads);
        let read = platform.part(digest).await;
        let bytes = read.map_err(|source| FetchError::Platform { source })?;
        let added = artefact.add_part(digest, bytes);
        added.map_err(|source| FetchError::Artefact { source })?;
    }
    Ok(artefact)
}

/// Fetch from a peer; parts that it does not hold come from the platform.
async fn from_peer(
    node: &Node,
    platform: &dyn PublishedSource,
    peer: SocketAddr,
    digest: Digest,
) -> Result<Artefact, FetchError> {
    let deadline = Deadline::in_millis(node.clock.now(), node.settings.spread.fetch_ms);
    node.metrics.count(CounterId::PeerFetches);
    let mut manifest = fetch_values(node, peer, &[digest], deadline).await;
    let Some(bytes) = manifest.pop().flatten() else {
        node.metrics.count(CounterId::PeerFetchesFailed);
        return Err(FetchError::Peer);
    };
    let artefact = Artefact::from_manifest(bytes);
    let mut artefact = artefact.map_err(|source| FetchError::Artefact { source })?;
    reuse_parts(node, &mut artefact);
    let missing = artefact.missing();
    if !missing.is_empty() {
        node.metrics
            .add(CounterId::PeerFetches, missing.len() as u64);
        let values = fetch_values(node, peer, &missing, deadline).await;
        for (digest, bytes) in missing.into_iter().zip(values) {
            if let Some(bytes) = bytes {
                let added = artefact.add_part(digest, bytes);
                added.map_err(|source| FetchError::Artefact { source })?;
            }
        }
    }
    from_platform(node, platform, artefact).await
}
