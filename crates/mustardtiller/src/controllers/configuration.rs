//! Fetches configurations from the platform and from peers, and applies them atomically.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::unbounded;
use smol::future;
use snafu::Snafu;

use crate::controllers::placement::bind_gate;
use crate::controllers::placement::free_gate;
use crate::daemon::Node;
use crate::daemon::contained;
use crate::events::AcceptedRecord;
use crate::events::Event;
use crate::gossip::ConfigMessage;
use crate::gossip::GossipSocket;
use crate::link::fetch_values;
use crate::metrics::CounterId;
use crate::published::PublishedError;
use crate::published::PublishedSource;
use crate::published::PublishedValue;
use mustardtiller_config::Artefact;
use mustardtiller_config::ArtefactError;
use mustardtiller_config::Configuration;
use mustardtiller_core::Deadline;
use mustardtiller_core::Digest;
use mustardtiller_core::Instant;
use mustardtiller_core::PlatformRead;
use mustardtiller_core::Position;
use mustardtiller_core::ReadVersion;
use mustardtiller_core::Spread;
use mustardtiller_core::SpreadEffect;
use mustardtiller_core::SpreadEvent;
use mustardtiller_core::Version;

/// Why a configuration could not be fetched.
#[derive(Debug)]
#[derive(Snafu)]
enum FetchError {
    #[snafu(display("{source}"))]
    Platform { source: PublishedError },
    #[snafu(display("{source}"))]
    Artefact { source: ArtefactError },
    #[snafu(display("the peer did not send the manifest"))]
    Peer,
}

/// An input of the controller's loop.
enum Input {
    Event(SpreadEvent),
    Manifest(PublishedValue),
    Unchanged,
    Fetched(Box<Artefact>),
}

/// What the platform held when it was last read.
struct PlatformView {
    manifest: Artefact,
    as_of: Option<Position>,
}

impl PlatformView {
    fn read(&self) -> PlatformRead {
        PlatformRead {
            serial: self.manifest.manifest.serial,
            position: self.manifest.version().position(),
            as_of: self.as_of,
        }
    }
}

/// The state of the controller, owned by its loop.
struct Controller {
    node: Arc<Node>,
    gossip: Arc<GossipSocket>,
    platform: Arc<dyn PublishedSource>,
    spread: Spread,
    /// The platform's tag of the last manifest read.
    tag: Option<String>,
    /// The version of the last manifest read from the platform.
    platform_version: Version,
    /// The last read of the platform.
    view: Option<PlatformView>,
    /// The latest position that a read of the platform has shown to be outdated.
    outdated: Position,
    /// The last manifest whose content was refused; it is not published again.
    refused: Option<Artefact>,
    /// The last manifest read, until its parts are fetched.
    pending: Option<Artefact>,
    /// Since when a newer version than the one held is known.
    behind_since: Option<Instant>,
    input_tx: Sender<Input>,
}

/// Spread configurations among daemons and apply the newest one.
pub async fn control_configuration(
    node: Arc<Node>,
    gossip: Arc<GossipSocket>,
    platform: Arc<dyn PublishedSource>,
) {
    let (input_tx, input_rx) = unbounded();
    let mut rng = node.rng();
    let identity = &node.board.identity;
    let spread = Spread::new(
        node.member_name(),
        identity.data_centre.clone(),
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
        platform_version: Version::default(),
        view: None,
        outdated: Position::default(),
        refused: None,
        pending: None,
        behind_since: None,
        input_tx,
    };
    controller.contact_seeds().await;
    controller.run(input_rx, rng).await;
}

impl Controller {
    async fn run(mut self, input_rx: Receiver<Input>, mut rng: fastrand::Rng) {
        loop {
            self.spread.hear(self.gossip.heard_at());
            let next_tick = self.spread.next_tick();
            let gossip = Arc::clone(&self.gossip);
            let node = Arc::clone(&self.node);
            let clock = node.clock;
            let gossiped = async {
                let (peer, message) = gossip.recv_config().await;
                Input::Event(match message {
                    ConfigMessage::Advertised {
                        version,
                        wants_reply,
                    } => SpreadEvent::PeerHas {
                        peer,
                        version,
                        wants_reply,
                    },
                    ConfigMessage::ReadRequested { hops } => SpreadEvent::ReadRequested { hops },
                })
            };
            let ticked = async {
                clock.sleep_until(next_tick).await;
                Input::Event(SpreadEvent::Tick)
            };
            let hosts_changed = node.board.hosts.listen();
            let hosts_changed = async {
                hosts_changed.await;
                Input::Event(SpreadEvent::Tick)
            };
            let start_read = node.board.start_read.listen();
            let start_read = async {
                start_read.await;
                Input::Event(SpreadEvent::StartRead)
            };
            let read_for_others = node.board.read_for_others.listen();
            let read_for_others = async {
                read_for_others.await;
                Input::Event(SpreadEvent::ReadRequested { hops: 0 })
            };
            let task_done = async {
                match input_rx.recv().await {
                    Ok(input) => input,
                    Err(_) => future::pending().await,
                }
            };
            let reads = future::or(start_read, read_for_others);
            let timer_or_hosts = future::or(future::or(hosts_changed, reads), ticked);
            let next = future::or(task_done, future::or(gossiped, timer_or_hosts)).await;
            self.spread.hear(self.gossip.heard_at());
            let event = self.handle_input(next);
            self.step(event, &mut rng).await;
        }
    }

    /// Ask the seed peers for their versions, before any host list is known.
    async fn contact_seeds(&self) {
        for seed in &self.node.settings.seeds {
            self.gossip.advertise(*seed, self.spread.held(), true).await;
        }
    }

    /// Pass one event to the spread, and carry out the resulting effects.
    async fn step(&mut self, event: SpreadEvent, rng: &mut fastrand::Rng) {
        self.note_rejected_version(event);
        if matches!(event, SpreadEvent::FetchFailed) {
            // Without the tag, the next read returns the manifest even if it is unchanged.
            self.tag = None;
        }
        let hosts = self.node.board.hosts.share();
        let now = self.node.clock.now();
        self.note_newer_version(event, now);
        let effects = self.spread.step(event, &hosts, now, rng);
        let doubted_until = self.spread.doubted_until();
        self.node.board.doubt.set(doubted_until);
        let is_doubted = !doubted_until.has_passed(now);
        let gauges = &self.node.metrics.gauges;
        gauges.config_doubted.set(i64::from(is_doubted));
        for effect in effects {
            match effect {
                SpreadEffect::Advertise { peer, wants_reply } => {
                    self.gossip
                        .advertise(peer, self.spread.held(), wants_reply)
                        .await;
                }
                SpreadEffect::DelegateRead { peer, hops } => self.gossip.delegate(peer, hops).await,
                SpreadEffect::ReadPlatform { wait_until } => self.read_platform(wait_until),
                SpreadEffect::FetchFromPeer { peer, version } => self.fetch_peer(peer, version),
                SpreadEffect::FetchFromPlatform { .. } => self.fetch_platform(),
            }
        }
    }

    /// Remember since when a newer version than the one held is known.
    fn note_newer_version(&mut self, event: SpreadEvent, now: Instant) {
        match event {
            SpreadEvent::PeerHas { version, .. }
            | SpreadEvent::PlatformHas(version)
            | SpreadEvent::PlatformIsAt(version)
                if version > self.spread.held() =>
            {
                self.behind_since.get_or_insert(now);
            }
            SpreadEvent::Accepted(_) => self.behind_since = None,
            _ => {}
        }
    }

    /// Count and log versions that are offered and rejected.
    fn note_rejected_version(&self, event: SpreadEvent) {
        let (SpreadEvent::PeerHas {
            version: offered, ..
        }
        | SpreadEvent::PlatformHas(offered)
        | SpreadEvent::PlatformIsAt(offered)) = event
        else {
            return;
        };
        let held = self.spread.held();
        if offered.conflicts_with(&held) && offered.revision > 0 {
            self.node.metrics.count(CounterId::ConfigsConflicting);
            Event::ConfigConflict.log(format_args!("{offered} offered, {held} held"));
        } else if !matches!(event, SpreadEvent::PeerHas { .. }) && offered < held {
            self.node.metrics.count(CounterId::ConfigsOlder);
            Event::ConfigOlder.log(format_args!("{offered} offered, {held} held"));
        }
    }

    /// Handle an input, and return the event that it gives for the spread.
    ///
    /// A configuration that was fetched is applied here if it is accepted.
    fn handle_input(&mut self, input: Input) -> SpreadEvent {
        match input {
            Input::Event(event) => event,
            Input::Unchanged => SpreadEvent::PlatformHas(self.platform_version),
            Input::Manifest(value) => self.handle_manifest(value),
            Input::Fetched(artefact) => self.accept(*artefact),
        }
    }

    /// Parse a manifest, and keep it until its parts are fetched.
    fn handle_manifest(&mut self, value: PublishedValue) -> SpreadEvent {
        self.tag = Some(value.tag);
        let counts_changes = value.as_of.is_some();
        let view = Artefact::from_manifest(value.bytes).map(|manifest| PlatformView {
            manifest,
            as_of: value.as_of,
        });
        match view.and_then(|view| self.compare(&view).map(|compared| (view, compared))) {
            Ok((view, compared)) => {
                self.view = Some(view);
                self.platform_version = compared
                    .as_ref()
                    .map_or_else(|| self.spread.held(), Artefact::version);
                self.pending = compared;
                if counts_changes {
                    SpreadEvent::PlatformIsAt(self.platform_version)
                } else {
                    SpreadEvent::PlatformHas(self.platform_version)
                }
            }
            Err(e) => {
                self.node.metrics.count(CounterId::ConfigsRefused);
                Event::ConfigRefused.log(format_args!("manifest from the platform: {e}"));
                SpreadEvent::PlatformFailed
            }
        }
    }

    /// Return what was read under the version that it amounts to; `None` if it is held.
    fn compare(&self, view: &PlatformView) -> Result<Option<Artefact>, ArtefactError> {
        let held = self.node.board.artefact.share();
        let held = held.as_ref().as_ref();
        let same_content = held.is_some_and(|held| held.same_content(&view.manifest));
        let refused = self.refused.as_ref();
        let refused = refused.is_some_and(|refused| refused.same_content(&view.manifest));
        let read = view.read();
        match read.version(self.spread.held(), same_content, self.outdated) {
            ReadVersion::Held => Ok(None),
            ReadVersion::Raised(position) if !refused => {
                view.manifest.with_position(position).map(Some)
            }
            ReadVersion::Raised(_) | ReadVersion::AsRead => Ok(Some(view.manifest.clone())),
        }
    }

    /// Report whether the last read of the platform shows that a configuration is outdated.
    ///
    /// If so, what was read is published above it.
    fn outdate(&mut self, artefact: &Artefact) -> bool {
        let Some(view) = self.view.take() else {
            return false;
        };
        let version = artefact.version();
        let same_content = view.manifest.same_content(artefact);
        let outdated = view.read().outdates(version, same_content);
        if outdated {
            self.node.metrics.count(CounterId::ConfigsOlder);
            Event::ConfigOlder.log(format_args!(
                "{version} offered, the platform holds another"
            ));
            self.outdated = self.outdated.max(version.position());
            if let Ok(Some(newer)) = self.compare(&view) {
                self.pending = Some(newer);
                self.fetch_platform();
            }
        }
        self.view = Some(view);
        outdated
    }

    /// Apply a complete configuration if it is newer than the one held.
    fn accept(&mut self, artefact: Artefact) -> SpreadEvent {
        let version = artefact.version();
        if version <= self.spread.held() || self.outdate(&artefact) {
            return SpreadEvent::Refused(version);
        }
        match Configuration::assemble(&artefact) {
            Ok(configuration) => {
                free_gate(&self.node, &configuration);
                let configuration = Arc::new(configuration);
                let board = &self.node.board;
                board.artefact.publish(Arc::new(Some(Arc::new(artefact))));
                board
                    .configuration
                    .publish(Arc::new(Some(Arc::clone(&configuration))));
                bind_gate(&self.node, &configuration);
                self.node.metrics.count(CounterId::ConfigsAccepted);
                self.node
                    .metrics
                    .gauges
                    .revision
                    .set(version.revision as i64);
                let now = self.node.clock.now();
                let behind = self.behind_since.map_or(0, |since| now.micros_since(since));
                Event::ConfigAccepted.record(&AcceptedRecord {
                    detail: &version.to_string(),
                    behind_ms: behind / 1_000,
                });
                SpreadEvent::Accepted(version)
            }
            Err(e) => {
                self.node.metrics.count(CounterId::ConfigsRefused);
                Event::ConfigRefused.log(format_args!("{version}: {e}"));
                self.refused = Some(artefact.without_parts());
                SpreadEvent::Refused(version)
            }
        }
    }

    /// Start reading the manifest; with `wait_until`, the read waits for a change.
    fn read_platform(&self, wait_until: Option<Deadline>) {
        let node = Arc::clone(&self.node);
        let platform = Arc::clone(&self.platform);
        let tag = wait_until.and_then(|_| self.tag.clone());
        let wait_until = wait_until.unwrap_or_else(|| Deadline::at(node.clock.now()));
        let input_tx = self.input_tx.clone();
        self.node.spawn(async move {
            node.count_platform_calls(CounterId::ConfigReads, 1);
            let read = contained(platform.manifest(tag.as_deref(), wait_until)).await;
            let read = read.unwrap_or_else(|cause| Err(PublishedError::Call { cause }));
            let input = match read {
                Ok(Some(value)) => Input::Manifest(value),
                Ok(None) => Input::Unchanged,
                Err(e) => {
                    node.metrics.count(CounterId::PlatformFailures);
                    Event::PlatformFailed.log(e);
                    Input::Event(SpreadEvent::PlatformFailed)
                }
            };
            let _ = input_tx.try_send(input);
        });
    }

    /// Start fetching the last manifest's parts from the platform.
    fn fetch_platform(&mut self) {
        let Some(artefact) = self.pending.take() else {
            return;
        };
        let node = Arc::clone(&self.node);
        let platform = Arc::clone(&self.platform);
        let input_tx = self.input_tx.clone();
        self.node.spawn(async move {
            let fetched = fetch_from_platform(&node, platform.as_ref(), artefact).await;
            let _ = input_tx.try_send(fetch_input(&node, fetched));
        });
    }

    /// Start fetching a version from a peer.
    fn fetch_peer(&self, peer: SocketAddr, version: Version) {
        let node = Arc::clone(&self.node);
        let platform = Arc::clone(&self.platform);
        let input_tx = self.input_tx.clone();
        self.node.spawn(async move {
            let fetched = fetch_from_peer(&node, platform.as_ref(), peer, version.digest).await;
            let _ = input_tx.try_send(fetch_input(&node, fetched));
        });
    }
}

/// Convert the result of a fetch into an input, and log a failure.
fn fetch_input(node: &Node, fetched: Result<Artefact, FetchError>) -> Input {
    match fetched {
        Ok(artefact) => Input::Fetched(Box::new(artefact)),
        Err(e) => {
            if matches!(e, FetchError::Artefact { .. }) {
                node.metrics.count(CounterId::ConfigsRefused);
            }
            Event::ConfigRefused.log(format_args!("not fetched: {e}"));
            Input::Event(SpreadEvent::FetchFailed)
        }
    }
}

/// Copy a part from the artefact in force, and report whether it has the part.
fn reuse_part(node: &Node, artefact: &mut Artefact, digest: Digest) -> bool {
    let held = node.board.artefact.share();
    let bytes = held.as_ref().as_ref().and_then(|a| a.parts.get(&digest));
    let is_held = bytes.is_some();
    if let Some(bytes) = bytes {
        artefact.parts.insert(digest, bytes.clone());
    }
    is_held
}

/// Fetch the missing parts of an artefact from the platform.
///
/// Parts that another source has sent meanwhile are not read.
async fn fetch_from_platform(
    node: &Node,
    platform: &dyn PublishedSource,
    mut artefact: Artefact,
) -> Result<Artefact, FetchError> {
    for digest in artefact.missing() {
        if reuse_part(node, &mut artefact, digest) {
            continue;
        }
        node.metrics.count(CounterId::PlatformReads);
        let read = platform.part(digest).await;
        let bytes = read.map_err(|source| FetchError::Platform { source })?;
        let added = artefact.add_part(digest, bytes);
        added.map_err(|source| FetchError::Artefact { source })?;
    }
    Ok(artefact)
}

/// Fetch an artefact from a peer; parts that the peer lacks come from the platform.
async fn fetch_from_peer(
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
    for digest in artefact.missing() {
        reuse_part(node, &mut artefact, digest);
    }
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
    fetch_from_platform(node, platform, artefact).await
}
