//! The sources from which one version is fetched.

use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::Deadline;
use crate::Instant;
use crate::Version;
use crate::spread::SpreadEffect;
use crate::spread::SpreadRule;

/// Peers that are remembered as sources of one version.
const REMEMBERED_SOURCES: usize = 4;

/// What is to be done when a source has not answered for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum NextSource {
    /// Fetch from this source too.
    Fetch(SpreadEffect),
    /// Query peers for one that holds the version.
    QueryPeers,
    /// Read the platform.
    ReadPlatform,
}

/// The platform as a source of one version.
#[derive(Clone, Copy, Debug)]
enum PlatformSource {
    /// It may not hold the version.
    Unknown,
    /// It holds the version and was not asked.
    Known,
    /// It was asked; a second fetch from it would be as slow.
    Asked,
}

/// A version that is being fetched, from one source or more.
///
/// A source may have lost power right after it advertised the version, so that
/// none is waited for longer than [`SpreadRule::fetch_hedge_ms`].
#[derive(Debug)]
pub(super) struct Fetching {
    /// The version.
    pub version: Version,
    /// When the next source is asked.
    pub hedge_at: Deadline,
    /// When the latest fetch has timed out.
    pub until: Deadline,
    /// Whether all known sources were too slow.
    pub is_slow: bool,
    in_flight: u32,
    platform: PlatformSource,
    has_queried: bool,
    /// Peers that have advertised the version, and how many of them were asked.
    peers: SmallVec<[SocketAddr; REMEMBERED_SOURCES]>,
    asked: usize,
}

impl Fetching {
    /// Start to fetch a version for which no source is known yet.
    pub fn new(version: Version, now: Instant) -> Self {
        Self {
            version,
            hedge_at: Deadline::at(now),
            until: Deadline::at(now),
            is_slow: false,
            in_flight: 0,
            platform: PlatformSource::Unknown,
            has_queried: false,
            peers: SmallVec::new(),
            asked: 0,
        }
    }

    /// Remember a peer that holds the version.
    pub fn add_peer(&mut self, peer: SocketAddr) {
        if self.peers.len() < REMEMBERED_SOURCES && !self.peers.contains(&peer) {
            self.peers.push(peer);
        }
    }

    /// Remember that the platform holds the version.
    pub const fn add_platform(&mut self) {
        if matches!(self.platform, PlatformSource::Unknown) {
            self.platform = PlatformSource::Known;
        }
    }

    /// Choose the next source, once the earlier ones were too slow or have failed.
    pub fn next_source(&mut self, rule: &SpreadRule, now: Instant) -> NextSource {
        self.hedge_at = Deadline::in_millis(now, rule.fetch_hedge_ms);
        if let Some(effect) = self.next_fetch(rule, now) {
            return NextSource::Fetch(effect);
        }
        if !std::mem::replace(&mut self.has_queried, true) {
            return NextSource::QueryPeers;
        }
        self.is_slow = true;
        NextSource::ReadPlatform
    }

    /// Fetch from the next source that is known and was not asked.
    pub fn next_fetch(&mut self, rule: &SpreadRule, now: Instant) -> Option<SpreadEffect> {
        let version = self.version;
        let effect = if matches!(self.platform, PlatformSource::Known) {
            self.platform = PlatformSource::Asked;
            SpreadEffect::FetchFromPlatform { version }
        } else {
            let peer = *self.peers.get(self.asked)?;
            self.asked += 1;
            SpreadEffect::FetchFromPeer { peer, version }
        };
        self.in_flight += 1;
        self.hedge_at = Deadline::in_millis(now, rule.fetch_hedge_ms);
        self.until = Deadline::in_millis(now, rule.fetch_ms);
        Some(effect)
    }

    /// Record that a fetch has failed, and report whether none is left.
    pub const fn fail(&mut self) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight == 0
    }
}
