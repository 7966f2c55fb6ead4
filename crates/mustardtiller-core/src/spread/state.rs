//! One daemon's part in distributing configurations, as a pure state machine.

use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::DataCentreName;
use crate::Deadline;
use crate::HostList;
use crate::Instant;
use crate::UpstreamName;
use crate::Version;
use crate::spread::SpreadEffect;
use crate::spread::SpreadEffects;
use crate::spread::SpreadEvent;
use crate::spread::SpreadRule;
use crate::spread::currency::Currency;
use crate::spread::fetch::Fetching;
use crate::spread::fetch::NextSource;

/// Number of refused versions that are remembered.
const REMEMBERED_REFUSALS: usize = 4;

/// Hosts to which a failed read is delegated, one after the other.
///
/// If the platform refuses two hosts of five, a reader and three delegates all
/// fail in one case of forty.
const MAX_DELEGATIONS: u8 = 3;

/// Time for which a delegate reads for another host, in milliseconds.
///
/// A reader that still fails delegates again with each of its retries.
const DELEGATION_MS: u64 = 4_000;

/// Most times that the interval between two reads that bring nothing new doubles.
///
/// A change that comes within the interval waits for its end, and must be in force in time.
const MAX_IDLE_DOUBLINGS: u32 = 3;

/// Peers that a host tells of what it read at its start, for one of a later version.
const HANDOVER_FANOUT: usize = 4;

/// Steps for which a host waits that knows no other host.
///
/// In a fleet that has just started, all hosts are such.
const STEPS_WITHOUT_HOSTS: usize = 5;

/// Rounds of gossip of a daemon without a configuration, for one round of another.
const UNCONFIGURED_GOSSIP: u64 = 4;

/// How a host that has started gets its first configuration.
#[derive(Clone, Copy, Debug)]
enum StartStage {
    /// It knows no peer yet.
    Waiting,
    /// It has queried its first peers, or needs none.
    Queried,
    /// It reads the platform, and is to hand what it reads to others.
    Reading,
}

/// Which watch of a reader is next, since the turns of the data centres began.
#[derive(Clone, Copy, Debug)]
enum WatchTurn {
    /// The first, whose length puts the reader in its turn.
    First,
    /// A later one; all readers' are equally long.
    Later,
}

/// One daemon's part in distributing configurations.
///
/// The version held never decreases, whoever offers a lower one. A daemon that
/// starts queries peers before it reads the platform, which may be stale. A
/// reader that the platform refuses delegates its reads to another host, since
/// the platform may refuse some hosts and serve others. A daemon that hears of no
/// peer watches the platform itself.
#[derive(Debug)]
pub struct Spread {
    me: UpstreamName,
    data_centre: DataCentreName,
    rule: SpreadRule,
    held: Version,
    currency: Currency,
    refused: SmallVec<[Version; REMEMBERED_REFUSALS]>,
    fetching: Option<Fetching>,
    /// When a peer was last heard.
    heard_at: Instant,
    /// Whether peers were queried since then, because of the silence.
    has_queried_silence: bool,
    reading: bool,
    /// When the last read began.
    read_at: Instant,
    /// Number of the last reads in a row that ended at once and brought nothing new.
    idle_reads: u32,
    failures: u32,
    /// Until when this host is a delegate, and the further delegations allowed.
    delegation: Option<(Deadline, u8)>,
    /// Whether this host was a reader at the last tick, for its data centre or for itself.
    was_reader: bool,
    turn: WatchTurn,
    start: StartStage,
    next_gossip: Deadline,
    next_read: Deadline,
}

impl Spread {
    /// Create the state of a daemon that holds no configuration.
    #[must_use]
    pub fn new(
        me: UpstreamName,
        data_centre: DataCentreName,
        rule: SpreadRule,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let first_read = rule.alone_ms / 2 + rng.u64(0..=rule.alone_ms / 2);
        Self {
            me,
            data_centre,
            rule,
            held: Version::default(),
            currency: Currency::new(now),
            refused: SmallVec::new(),
            fetching: None,
            heard_at: now,
            has_queried_silence: false,
            reading: false,
            read_at: now,
            idle_reads: 0,
            failures: 0,
            delegation: None,
            was_reader: false,
            turn: WatchTurn::First,
            start: StartStage::Waiting,
            next_gossip: Deadline::at(now),
            next_read: Deadline::in_millis(now, first_read + rule.peers_ms * 2),
        }
    }

    /// Return the version held; its revision is zero if there is none.
    #[must_use]
    pub const fn held(&self) -> Version {
        self.held
    }

    /// Return until when a newer version than the one held may be in force.
    ///
    /// Until then, what the version held lacks may exist.
    #[must_use]
    pub fn doubted_until(&self) -> Deadline {
        self.currency.doubted_until()
    }

    /// Return when the next [`SpreadEvent::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Deadline {
        let next = if self.may_read() {
            self.next_gossip.min(self.next_read)
        } else {
            self.next_gossip
        };
        let next = next.min(self.next_silence_check());
        let fetching = self.fetching.as_ref();
        fetching.map_or(next, |fetching| {
            let hedged = if fetching.is_slow {
                fetching.until
            } else {
                fetching.hedge_at
            };
            next.min(hedged).min(fetching.until)
        })
    }

    /// Record that a message of a peer came at `at`, whatever it was about.
    pub fn hear(&mut self, at: Instant) {
        if at > self.heard_at {
            self.heard_at = at;
            self.has_queried_silence = false;
        }
    }

    /// Return when the silence of all peers calls for the next action.
    ///
    /// A host that reads anyway, or that holds nothing yet, does not wait for peers.
    fn next_silence_check(&self) -> Deadline {
        let after = |millis| Deadline::in_millis(self.heard_at, millis);
        if self.was_reader || self.held.revision == 0 {
            self.next_gossip
        } else if self.has_queried_silence {
            after(self.rule.silence_ms)
        } else {
            after(self.rule.silence_ms / 2)
        }
    }

    /// Report whether no peer has been heard for so long that none may reach this host.
    fn is_alone(&self, now: Instant) -> bool {
        let until = Deadline::in_millis(self.heard_at, self.rule.silence_ms);
        self.held.revision > 0 && until.has_passed(now)
    }

    /// Process one event, and return the effects to carry out.
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
            } => self.handle_peer_has(peer, version, wants_reply, now),
            SpreadEvent::PlatformHas(version) => self.handle_platform_has(version, hosts, now, rng),
            SpreadEvent::PlatformIsAt(version) => {
                let until = Deadline::in_millis(now, self.rule.fetch_ms);
                self.currency.show_only(version, self.held, until);
                self.handle_platform_has(version, hosts, now, rng)
            }
            SpreadEvent::PlatformFailed => self.handle_platform_failed(hosts, now, rng),
            SpreadEvent::Accepted(version) => self.handle_accepted(version, hosts, now, rng),
            SpreadEvent::Refused(version) => self.handle_refused(version, now),
            SpreadEvent::FetchFailed => self.handle_fetch_failed(now, rng),
            SpreadEvent::StartRead => {
                if self.held.revision == 0 {
                    self.start = StartStage::Reading;
                    self.next_read = Deadline::at(now);
                }
                self.tick(hosts, now, rng)
            }
            SpreadEvent::ReadRequested { hops } => self.become_delegate(hops, now),
        }
    }

    fn tick(&mut self, hosts: &HostList, now: Instant, rng: &mut fastrand::Rng) -> SpreadEffects {
        let mut effects = SpreadEffects::new();
        let reads = matches!(self.start, StartStage::Reading);
        if reads && self.held.revision > 0 && !hosts.members.is_empty() {
            self.start = StartStage::Queried;
            let count = self.rule.fanout * HANDOVER_FANOUT;
            self.advertise(hosts, count, false, rng, &mut effects);
        }
        self.hedge_fetch(hosts, now, rng, &mut effects);
        self.query_in_silence(hosts, now, rng, &mut effects);
        if self.query_peers_first(hosts, now, rng) || self.next_gossip.has_passed(now) {
            let (interval_ms, count) = if self.held.revision == 0 {
                (self.rule.gossip_ms / UNCONFIGURED_GOSSIP, self.rule.fanout)
            } else {
                (self.rule.gossip_ms, 1)
            };
            self.next_gossip = Deadline::in_millis(now, jittered(interval_ms, rng));
            self.advertise(hosts, count, true, rng, &mut effects);
        }
        self.update_reader(hosts, now);
        if self.may_read() && self.next_read.has_passed(now) {
            self.reading = true;
            self.read_at = now;
            let watches = self.watches_platform(hosts, now);
            let watch = watches && self.held.revision > 0 && self.failures == 0;
            let wait_until = watch.then(|| self.watch_until(hosts, now));
            effects.push(SpreadEffect::ReadPlatform { wait_until });
        }
        effects
    }

    /// Return until when the next watch waits.
    ///
    /// Readers of different data centres take turns: each waits one step for every data centre,
    /// and the first time one step for every data centre up to its own. So one of them
    /// asks the platform again each step, although few calls are made, and a watch
    /// whose connection has gone silent delays a change by a step.
    fn watch_until(&mut self, hosts: &HostList, now: Instant) -> Deadline {
        let (before, data_centres) = hosts.data_centre_order(&self.data_centre);
        let elected = hosts.is_reader(&self.me, self.rule.readers);
        let steps = if self.is_alone(now) && !elected {
            1
        } else if hosts.members.is_empty() {
            STEPS_WITHOUT_HOSTS
        } else {
            match std::mem::replace(&mut self.turn, WatchTurn::Later) {
                WatchTurn::First => before + 1,
                WatchTurn::Later => data_centres,
            }
        };
        let millis = (steps as u64 * self.rule.watch_step_ms).min(self.rule.max_watch_ms);
        Deadline::in_millis(now, millis)
    }

    /// Read at once if this host has become a reader since the last tick.
    ///
    /// Otherwise its first read could be minutes away, since the next read of a
    /// host that is not a reader is after `idle_read_ms`. A host that hears of nobody
    /// reads for itself.
    fn update_reader(&mut self, hosts: &HostList, now: Instant) {
        let reader = hosts.is_reader(&self.me, self.rule.readers) || self.is_alone(now);
        let became_reader = reader && !self.was_reader;
        self.was_reader = reader;
        if became_reader && self.held.revision > 0 && self.failures == 0 {
            self.next_read = self.next_read.min(Deadline::at(now));
        }
    }

    /// Return true once, when the first peers are known and nothing is held.
    ///
    /// The first read of the platform, which may be stale, is delayed until the
    /// peers have had time to reply. A host that is not a reader waits longer,
    /// so that a restart of the whole fleet causes few reads.
    fn query_peers_first(
        &mut self,
        hosts: &HostList,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let waits = matches!(self.start, StartStage::Waiting);
        if !waits || self.held.revision > 0 || hosts.members.is_empty() {
            return false;
        }
        self.start = StartStage::Queried;
        // A host that is not listed yet is a reader too, but others read before it.
        let readers = self.rule.readers;
        let rank = hosts.reader_rank(&self.me, readers);
        let extra_wait = match rank.filter(|rank| *rank < readers) {
            Some(rank) => {
                // The first one in each data centre, then those that stand in for it.
                let (before, data_centres) = hosts.data_centre_order(&self.data_centre);
                let place = (rank * data_centres + before) as u64;
                self.spread_ms(hosts) * place / (readers * data_centres) as u64
            }
            None => self.rule.start_ms + rng.u64(0..=self.rule.start_ms),
        };
        self.next_read = Deadline::in_millis(now, self.rule.peers_ms + extra_wait);
        true
    }

    /// Return the time over which hosts that start spread what they read, in milliseconds.
    ///
    /// A host that has nothing reads every part, so that a large fleet needs longer.
    fn spread_ms(&self, hosts: &HostList) -> u64 {
        self.rule.start_ms.min(hosts.members.len() as u64)
    }

    fn handle_peer_has(
        &mut self,
        peer: SocketAddr,
        version: Version,
        wants_reply: bool,
        now: Instant,
    ) -> SpreadEffects {
        let mut effects = SpreadEffects::new();
        self.hear(now);
        if let Some(fetching) = self.fetching_of(version, now) {
            fetching.add_peer(peer);
            effects.extend(self.fetch_if_idle(now));
        }
        if wants_reply || version < self.held {
            effects.push(SpreadEffect::Advertise {
                peer,
                wants_reply: false,
            });
        }
        effects
    }

    fn handle_platform_has(
        &mut self,
        version: Version,
        hosts: &HostList,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> SpreadEffects {
        let mut effects = SpreadEffects::new();
        self.reading = false;
        let is_refused = self.refused.contains(&version);
        let mut is_new = self.currency.show(version, self.held, is_refused, now);
        if let Some(fetching) = self.fetching_of(version, now) {
            fetching.add_platform();
            // All watches end with a change, so the turns begin anew.
            self.turn = WatchTurn::First;
            effects.extend(self.fetch_if_idle(now));
        } else {
            // That the platform can be read again is new too.
            is_new |= self.failures > 0;
            self.failures = 0;
        }
        self.next_read = if self.watches_platform(hosts, now) {
            self.next_watch(is_new, now, rng)
        } else {
            Deadline::in_millis(now, jittered(self.rule.idle_read_ms, rng))
        };
        effects
    }

    /// Return when a host that watches the platform reads it again.
    ///
    /// A watch lasts until a change, but a host without a configuration can't watch, and
    /// copies of the platform may differ, so that each read finds a change. Reads that
    /// bring nothing new therefore begin at intervals.
    fn next_watch(&mut self, is_new: bool, now: Instant, rng: &mut fastrand::Rng) -> Deadline {
        if is_new || Deadline::in_millis(self.read_at, self.rule.retry_ms).has_passed(now) {
            self.idle_reads = 0;
            return Deadline::at(now);
        }
        let interval = self.rule.retry_ms << self.idle_reads.min(MAX_IDLE_DOUBLINGS);
        self.idle_reads += 1;
        let interval = jittered(interval.min(self.rule.max_retry_ms), rng);
        Deadline::in_millis(self.read_at, interval)
    }

    fn handle_platform_failed(
        &mut self,
        hosts: &HostList,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> SpreadEffects {
        let mut effects = SpreadEffects::new();
        self.reading = false;
        let reader = hosts.is_reader(&self.me, self.rule.readers);
        let delegation = self.delegation.take();
        let hops = match delegation {
            Some((_, hops)) => hops,
            None if reader => MAX_DELEGATIONS,
            None => 0,
        };
        if let Some(hops) = hops.checked_sub(1) {
            let peers = hosts.draw_peers(&self.me, &self.data_centre, 1, rng);
            let delegates = peers.iter().copied();
            effects.extend(delegates.map(|peer| SpreadEffect::DelegateRead { peer, hops }));
        }
        if delegation.is_some() && !reader && self.held.revision > 0 {
            // The delegating host decides whether to retry.
            let wait = jittered(self.rule.idle_read_ms, rng);
            self.next_read = Deadline::in_millis(now, wait);
        } else {
            self.back_off(now, rng);
        }
        effects
    }

    /// Start to read for another host, at once and for [`DELEGATION_MS`].
    fn become_delegate(&mut self, hops: u8, now: Instant) -> SpreadEffects {
        self.delegation = Some((Deadline::in_millis(now, DELEGATION_MS), hops));
        self.next_read = Deadline::at(now);
        SpreadEffects::new()
    }

    /// Report whether this host watches the platform, as a reader or as a delegate.
    fn watches_platform(&self, hosts: &HostList, now: Instant) -> bool {
        let is_delegate = self
            .delegation
            .is_some_and(|(until, _)| !until.has_passed(now));
        is_delegate || hosts.is_reader(&self.me, self.rule.readers) || self.is_alone(now)
    }

    /// Delay the next read, longer with each failure and with jitter.
    fn back_off(&mut self, now: Instant, rng: &mut fastrand::Rng) {
        let wait = self.rule.retry_ms << self.failures.min(8);
        self.failures += 1;
        let wait = jittered(wait.min(self.rule.max_retry_ms), rng);
        self.next_read = Deadline::in_millis(now, wait);
    }

    /// Report whether no read is in progress, and no fetch that may still succeed soon.
    fn may_read(&self) -> bool {
        !self.reading && self.fetching.as_ref().is_none_or(|f| f.is_slow)
    }

    fn handle_accepted(
        &mut self,
        version: Version,
        hosts: &HostList,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> SpreadEffects {
        let mut effects = SpreadEffects::new();
        self.end_fetch(version);
        self.failures = 0;
        let was_idle = std::mem::take(&mut self.idle_reads) > 0;
        let watches = self.watches_platform(hosts, now);
        if self.held.revision == 0 && !watches {
            // Peers have answered, so the first read is not needed.
            let wait = jittered(self.rule.idle_read_ms, rng);
            self.next_read = self.next_read.max(Deadline::in_millis(now, wait));
        } else if was_idle && watches {
            self.next_read = self.next_read.min(Deadline::at(now));
        }
        if version > self.held {
            self.held = version;
            self.currency.accept(version, &self.rule, now);
            self.advertise(hosts, self.rule.fanout, false, rng, &mut effects);
        }
        effects
    }

    fn handle_refused(&mut self, version: Version, now: Instant) -> SpreadEffects {
        self.end_fetch(version);
        if version <= self.held {
            // A second source has sent it too.
            return SpreadEffects::new();
        }
        if self.refused.len() == REMEMBERED_REFUSALS {
            self.refused.remove(0);
        }
        self.refused.push(version);
        self.currency.refuse(version, self.held, now);
        SpreadEffects::new()
    }

    /// Return the fetch of `version`, which begins if that is the newest version known.
    ///
    /// A version that was refused here is not fetched again.
    fn fetching_of(&mut self, version: Version, now: Instant) -> Option<&mut Fetching> {
        let newer_than_held = version > self.held && version.revision > 0;
        if !newer_than_held || self.refused.contains(&version) {
            return None;
        }
        let until = Deadline::in_millis(now, self.rule.fetch_ms);
        self.currency.hear(version, self.held, until);
        let fetching = self.fetching.take();
        let fetching = fetching.filter(|fetching| fetching.version >= version);
        let fetching = fetching.unwrap_or_else(|| Fetching::new(version, now));
        let fetching = self.fetching.insert(fetching);
        (fetching.version == version).then_some(fetching)
    }

    /// Ask the next source, unless one that was asked may still answer soon.
    fn fetch_if_idle(&mut self, now: Instant) -> Option<SpreadEffect> {
        let fetching = self.fetching.as_mut()?;
        let is_idle = fetching.hedge_at.has_passed(now);
        is_idle.then(|| fetching.next_fetch(&self.rule, now))?
    }

    /// Ask another source if a fetch takes long.
    fn hedge_fetch(
        &mut self,
        hosts: &HostList,
        now: Instant,
        rng: &mut fastrand::Rng,
        effects: &mut SpreadEffects,
    ) {
        let Some(fetching) = &mut self.fetching else {
            return;
        };
        if fetching.until.has_passed(now) {
            self.fetching = None;
        } else if !fetching.is_slow && fetching.hedge_at.has_passed(now) {
            match fetching.next_source(&self.rule, now) {
                NextSource::Fetch(effect) => effects.push(effect),
                NextSource::QueryPeers => {
                    self.advertise(hosts, self.rule.fanout, true, rng, effects);
                }
                NextSource::ReadPlatform if self.held.revision > 0 => {
                    self.next_read = Deadline::at(now);
                }
                NextSource::ReadPlatform => {
                    // The fetches of a whole fleet that starts may be slow at the same time.
                    let wait = rng.u64(0..=self.spread_ms(hosts));
                    let read_at = Deadline::in_millis(now, wait);
                    self.next_read = self.next_read.min(read_at);
                }
            }
        }
    }

    /// Fetch from another source that is known, or back off.
    fn handle_fetch_failed(&mut self, now: Instant, rng: &mut fastrand::Rng) -> SpreadEffects {
        let Some(fetching) = &mut self.fetching else {
            return SpreadEffects::new();
        };
        if !fetching.fail() {
            return SpreadEffects::new();
        }
        if let Some(effect) = fetching.next_fetch(&self.rule, now) {
            return SpreadEffects::from_iter([effect]);
        }
        self.fetching = None;
        self.back_off(now, rng);
        SpreadEffects::new()
    }

    /// Query peers at once if none has been heard for a while.
    fn query_in_silence(
        &mut self,
        hosts: &HostList,
        now: Instant,
        rng: &mut fastrand::Rng,
        effects: &mut SpreadEffects,
    ) {
        let quiet = Deadline::in_millis(self.heard_at, self.rule.silence_ms / 2);
        let waits = !self.was_reader && self.held.revision > 0 && !self.has_queried_silence;
        if waits && quiet.has_passed(now) {
            self.has_queried_silence = true;
            self.advertise(hosts, self.rule.fanout, true, rng, effects);
        }
    }

    fn end_fetch(&mut self, version: Version) {
        self.fetching.take_if(|f| f.version <= version);
    }

    /// Send the version held to `count` random peers.
    fn advertise(
        &self,
        hosts: &HostList,
        count: usize,
        wants_reply: bool,
        rng: &mut fastrand::Rng,
        effects: &mut SpreadEffects,
    ) {
        for peer in hosts.draw_peers(&self.me, &self.data_centre, count, rng) {
            effects.push(SpreadEffect::Advertise { peer, wants_reply });
        }
    }
}

/// Return `millis` with a random jitter of up to a quarter either way.
fn jittered(millis: u64, rng: &mut fastrand::Rng) -> u64 {
    let quarter = millis / 4;
    millis - quarter + rng.u64(0..=quarter * 2)
}
