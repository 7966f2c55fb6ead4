//! One daemon's part in spreading configurations, as a pure step.

use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::Deadline;
use crate::HostList;
use crate::Instant;
use crate::PlaceName;
use crate::UpstreamName;
use crate::Version;

/// Refused versions that are remembered.
const REMEMBERED_REFUSALS: usize = 4;

/// Hosts that a failed read is handed on to, one after the other: with two of
/// five refused by the platform, four in a row are one case in forty.
const HAND_OVERS: u8 = 3;

/// Time for which a host reads for one that could not, in milliseconds; that
/// one asks again with each of its own tries.
const DEPUTY_MS: u64 = 4_000;

/// Rates and counts of the spread.
#[derive(Clone, Copy, Debug)]
pub struct SpreadRule {
    /// Hosts a place that watch the platform.
    pub readers: usize,
    /// Peers told of a new version.
    pub fanout: usize,
    /// Time between two rounds of gossip, in milliseconds.
    pub gossip_ms: u64,
    /// Time between two reads of a host that is no reader, in milliseconds.
    pub idle_read_ms: u64,
    /// First wait after a failed read, in milliseconds; doubles.
    pub retry_ms: u64,
    /// Longest wait after a failed read, in milliseconds.
    pub max_retry_ms: u64,
    /// Time within which the fleet's first reads are spread, in milliseconds.
    pub start_ms: u64,
    /// Time after which a fetch counts as failed, in milliseconds.
    pub fetch_ms: u64,
    /// Time that a daemon without a configuration waits for its peers, in milliseconds.
    pub peers_ms: u64,
}

impl Default for SpreadRule {
    fn default() -> Self {
        Self {
            readers: 3,
            fanout: 3,
            gossip_ms: 1_000,
            idle_read_ms: 300_000,
            retry_ms: 500,
            max_retry_ms: 15_000,
            start_ms: 200,
            fetch_ms: 2_000,
            peers_ms: 300,
        }
    }
}

/// What happened.
#[derive(Clone, Copy, Debug)]
pub enum SpreadEvent {
    /// A deadline may have passed.
    Tick,
    /// A peer holds a version, and perhaps asks for ours.
    PeerHas {
        /// The peer.
        peer: SocketAddr,
        /// What it holds.
        version: Version,
        /// It wants an answer.
        wants_reply: bool,
    },
    /// The platform was read; it holds this version.
    PlatformHas(Version),
    /// The platform could not be read.
    PlatformFailed,
    /// The configuration of this version is in force here.
    Accepted(Version),
    /// The configuration of this version was not accepted.
    Refused(Version),
    /// A configuration could not be fetched.
    FetchFailed,
    /// A reader that can't read the platform asks this host to read for it.
    AskedToRead {
        /// Hosts that may be asked in turn if this one can't either.
        hops: u8,
    },
}

/// What is to be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpreadEffect {
    /// Tell a peer what is held, and ask for its version if `wants_reply`.
    Advertise {
        /// The peer.
        peer: SocketAddr,
        /// Whether it is asked to answer.
        wants_reply: bool,
    },
    /// Ask a peer to read the platform for a while.
    DelegateRead {
        /// The peer.
        peer: SocketAddr,
        /// Hosts that it may ask in turn.
        hops: u8,
    },
    /// Read the platform; a reader waits there for a change.
    ReadPlatform {
        /// Whether to wait for a change.
        watch: bool,
    },
    /// Fetch a version from a peer.
    FetchFromPeer {
        /// The peer.
        peer: SocketAddr,
        /// The version.
        version: Version,
    },
    /// Fetch a version from the platform.
    FetchFromPlatform {
        /// The version.
        version: Version,
    },
}

/// One daemon's part in the spread.
///
/// The version held only rises, whoever offers a lower one. A daemon that
/// starts asks peers before it reads the platform, which may be stale. A
/// reader that the platform refuses asks another to read for it: the platform
/// may turn some hosts away and serve the others.
#[derive(Debug)]
pub struct Spread {
    me: UpstreamName,
    place: PlaceName,
    rule: SpreadRule,
    held: Version,
    refused: SmallVec<[Version; REMEMBERED_REFUSALS]>,
    fetching: Option<(Version, Deadline)>,
    reading: bool,
    failures: u32,
    /// Until when this host reads for another, and whom it may ask in turn.
    deputy: Option<(Deadline, u8)>,
    /// It was one of the readers of its place when it last looked.
    reader: bool,
    peers_asked: bool,
    next_gossip: Deadline,
    next_read: Deadline,
}

/// A short list of effects.
pub type SpreadEffects = SmallVec<[SpreadEffect; 4]>;

impl Spread {
    /// Start with nothing held.
    #[must_use]
    pub fn new(
        me: UpstreamName,
        place: PlaceName,
        rule: SpreadRule,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let first_read = rule.start_ms / 2 + rng.u64(0..=rule.start_ms / 2);
        Self {
            me,
            place,
            rule,
            held: Version::default(),
            refused: SmallVec::new(),
            fetching: None,
            reading: false,
            failures: 0,
            deputy: None,
            reader: false,
            peers_asked: false,
            next_gossip: Deadline::at(now),
            next_read: Deadline::in_millis(now, first_read + rule.peers_ms * 2),
        }
    }

    /// Return the version held; revision zero for none.
    #[must_use]
    pub const fn held(&self) -> Version {
        self.held
    }

    /// Return when the next [`SpreadEvent::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Deadline {
        let due = if self.may_read() {
            self.next_gossip.min(self.next_read)
        } else {
            self.next_gossip
        };
        self.fetching.map_or(due, |(_, until)| due.min(until))
    }

    /// Take one event.
    pub fn step(
        &mut self,
        event: SpreadEvent,
        hosts: &HostList,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> SpreadEffects {
        match event {
            SpreadEvent::Tick => self.tick(hosts, now, rng),
            SpreadEvent::PeerHas {
                peer,
                version,
                wants_reply,
            } => self.peer_has(peer, version, wants_reply, now),
            SpreadEvent::PlatformHas(version) => self.platform_has(version, hosts, now, rng),
            SpreadEvent::PlatformFailed => self.platform_failed(hosts, now, rng),
            SpreadEvent::Accepted(version) => self.accepted(version, hosts, rng),
            SpreadEvent::Refused(version) => self.refuse(version),
            SpreadEvent::FetchFailed => {
                self.fetching = None;
                self.back_off(now, rng);
                SpreadEffects::new()
            }
            SpreadEvent::AskedToRead { hops } => self.asked_to_read(hops, now),
        }
    }

    fn tick(&mut self, hosts: &HostList, now: Instant, rng: &mut fastrand::Rng) -> SpreadEffects {
        let mut effects = SpreadEffects::new();
        if self
            .fetching
            .is_some_and(|(_, until)| until.has_passed(now))
        {
            self.fetching = None;
        }
        if self.ask_first(hosts, now, rng) || self.next_gossip.has_passed(now) {
            let millis = jittered(self.rule.gossip_ms, rng);
            self.next_gossip = Deadline::in_millis(now, millis);
            let count = if self.held.revision == 0 {
                self.rule.fanout
            } else {
                1
            };
            self.tell(hosts, count, true, rng, &mut effects);
        }
        self.become_reader(hosts, now);
        if self.may_read() && self.next_read.has_passed(now) {
            self.reading = true;
            let reader = self.reads(hosts, now);
            let watch = reader && self.held.revision > 0 && self.failures == 0;
            effects.push(SpreadEffect::ReadPlatform { watch });
        }
        effects
    }

    /// Read at once when the readers before this host have left.
    ///
    /// A host that is no reader has put its next read off for minutes.
    fn become_reader(&mut self, hosts: &HostList, now: Instant) {
        let reader = hosts.is_reader(&self.me, self.rule.readers);
        let begins = reader && !self.reader;
        self.reader = reader;
        if begins && self.held.revision > 0 && self.failures == 0 {
            self.next_read = self.next_read.min(Deadline::at(now));
        }
    }

    /// Report, once, that peers are known who can be asked before the platform.
    ///
    /// The first read of the platform waits for their answers: it may be stale.
    /// Who is no reader waits longer, so that a restart of all reads little.
    fn ask_first(&mut self, hosts: &HostList, now: Instant, rng: &mut fastrand::Rng) -> bool {
        if self.peers_asked || self.held.revision > 0 || hosts.members.is_empty() {
            return false;
        }
        self.peers_asked = true;
        let others_first = if hosts.is_reader(&self.me, self.rule.readers) {
            0
        } else {
            self.rule.start_ms + rng.u64(0..=self.rule.start_ms)
        };
        self.next_read = Deadline::in_millis(now, self.rule.peers_ms + others_first);
        true
    }

    fn peer_has(
        &mut self,
        peer: SocketAddr,
        version: Version,
        wants_reply: bool,
        now: Instant,
    ) -> SpreadEffects {
        let mut effects = SpreadEffects::new();
        if self.wants(version) {
            self.begin_fetch(version, now);
            effects.push(SpreadEffect::FetchFromPeer { peer, version });
        }
        if wants_reply || version < self.held {
            effects.push(SpreadEffect::Advertise {
                peer,
                wants_reply: false,
            });
        }
        effects
    }

    fn platform_has(
        &mut self,
        version: Version,
        hosts: &HostList,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> SpreadEffects {
        let mut effects = SpreadEffects::new();
        self.reading = false;
        let reader = self.reads(hosts, now);
        let wait = if reader {
            0
        } else {
            jittered(self.rule.idle_read_ms, rng)
        };
        self.next_read = Deadline::in_millis(now, wait);
        if self.wants(version) {
            self.begin_fetch(version, now);
            effects.push(SpreadEffect::FetchFromPlatform { version });
        } else {
            self.failures = 0;
        }
        effects
    }

    fn platform_failed(
        &mut self,
        hosts: &HostList,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> SpreadEffects {
        let mut effects = SpreadEffects::new();
        self.reading = false;
        let reader = hosts.is_reader(&self.me, self.rule.readers);
        let deputy = self.deputy.take();
        let hops = match deputy {
            Some((_, hops)) => hops,
            None if reader => HAND_OVERS,
            None => 0,
        };
        if let Some(hops) = hops.checked_sub(1) {
            let peers = hosts.draw_peers(&self.me, &self.place, 1, rng);
            let asked = peers.iter().copied();
            effects.extend(asked.map(|peer| SpreadEffect::DelegateRead { peer, hops }));
        }
        if deputy.is_some() && !reader && self.held.revision > 0 {
            // Whether to try again is for who asked.
            let wait = jittered(self.rule.idle_read_ms, rng);
            self.next_read = Deadline::in_millis(now, wait);
        } else {
            self.back_off(now, rng);
        }
        effects
    }

    /// Read for another host, at once and for a while.
    fn asked_to_read(&mut self, hops: u8, now: Instant) -> SpreadEffects {
        self.deputy = Some((Deadline::in_millis(now, DEPUTY_MS), hops));
        self.next_read = Deadline::at(now);
        SpreadEffects::new()
    }

    /// Report whether this host watches the platform, for its place or for another host.
    fn reads(&self, hosts: &HostList, now: Instant) -> bool {
        let deputy = self.deputy.is_some_and(|(until, _)| !until.has_passed(now));
        deputy || hosts.is_reader(&self.me, self.rule.readers)
    }

    /// Put the next read off, longer with each failure.
    fn back_off(&mut self, now: Instant, rng: &mut fastrand::Rng) {
        let wait = self.rule.retry_ms << self.failures.min(8);
        self.failures += 1;
        let wait = jittered(wait.min(self.rule.max_retry_ms), rng);
        self.next_read = Deadline::in_millis(now, wait);
    }

    /// Report whether no read and no fetch is under way.
    const fn may_read(&self) -> bool {
        !self.reading && self.fetching.is_none()
    }

    fn accepted(
        &mut self,
        version: Version,
        hosts: &HostList,
        rng: &mut fastrand::Rng,
    ) -> SpreadEffects {
        let mut effects = SpreadEffects::new();
        self.end_fetch(version);
        self.failures = 0;
        if version > self.held {
            self.held = version;
            self.tell(hosts, self.rule.fanout, false, rng, &mut effects);
        }
        effects
    }

    fn refuse(&mut self, version: Version) -> SpreadEffects {
        self.end_fetch(version);
        if self.refused.len() == REMEMBERED_REFUSALS {
            self.refused.remove(0);
        }
        self.refused.push(version);
        SpreadEffects::new()
    }

    fn wants(&self, version: Version) -> bool {
        let newer = version > self.held && version.revision > 0;
        let sooner = self.fetching.is_none_or(|(fetched, _)| version > fetched);
        newer && sooner && !self.refused.contains(&version)
    }

    fn begin_fetch(&mut self, version: Version, now: Instant) {
        let until = Deadline::in_millis(now, self.rule.fetch_ms);
        self.fetching = Some((version, until));
    }

    fn end_fetch(&mut self, version: Version) {
        if self.fetching.is_some_and(|(fetched, _)| fetched <= version) {
            self.fetching = None;
        }
    }

    fn tell(
        &self,
        hosts: &HostList,
        count: usize,
        wants_reply: bool,
        rng: &mut fastrand::Rng,
        effects: &mut SpreadEffects,
    ) {
        for peer in hosts.draw_peers(&self.me, &self.place, count, rng) {
            effects.push(SpreadEffect::Advertise { peer, wants_reply });
        }
    }
}

/// Return `millis` give or take a quarter.
fn jittered(millis: u64, rng: &mut fastrand::Rng) -> u64 {
    let quarter = millis / 4;
    millis - quarter + rng.u64(0..=quarter * 2)
}
