//! The spread at 4,800 members, as pure steps with loss and partitions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use mustardtiller_core::Digest;
use mustardtiller_core::HostList;
use mustardtiller_core::Instant;
use mustardtiller_core::Member;
use mustardtiller_core::MemberState;
use mustardtiller_core::Spread;
use mustardtiller_core::SpreadEffect;
use mustardtiller_core::SpreadEvent;
use mustardtiller_core::SpreadRule;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::Version;

const MEMBERS: usize = 4_800;
const PLACES: usize = 13;

/// One way between two hosts, in microseconds.
const DELAY_MICROS: u64 = 5_000;

/// A fetch over a connection of its own, in microseconds.
const FETCH_MICROS: u64 = 30_000;

/// The longest wait of a watch at the platform, in microseconds.
const WATCH_MICROS: u64 = 20_000_000;

/// Bytes of a datagram with its IP and UDP headers.
const DATAGRAM_BYTES: u64 = 48;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Happening {
    Tick,
    Heard {
        from: usize,
        version: Version,
        wants_reply: bool,
    },
    Read {
        started: u64,
        watch: bool,
    },
    Fetched(Version),
    AskedToRead(u8),
}

struct Fleet {
    hosts: HostList,
    members: Vec<Spread>,
    queue: BinaryHeap<Reverse<(u64, u64, usize, Happening)>>,
    rngs: Vec<fastrand::Rng>,
    net: fastrand::Rng,
    order: u64,
    published: Version,
    published_at: u64,
    split: Option<(u64, u64)>,
    /// Members that have ended.
    gone: HashSet<usize>,
    /// Members that the platform refuses.
    refused: HashSet<usize>,
    loss_percent: u8,
    datagrams: u64,
    reads: Vec<u64>,
}

fn address(index: usize) -> SocketAddr {
    let ip = Ipv4Addr::from(0x0A00_0000 + index as u32);
    SocketAddr::from((ip, 9_000))
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("all addresses are of version 4");
    };
    (u32::from(*address.ip()) - 0x0A00_0000) as usize
}

fn version(revision: u64) -> Version {
    Version {
        revision,
        digest: Digest([revision as u8; 16]),
    }
}

impl Fleet {
    fn new(loss_percent: u8) -> Self {
        let members = (0..MEMBERS).map(|index| Member {
            name: UpstreamName::new(&format!("u{index}")),
            place: format!("p{}", index % PLACES).as_str().into(),
            link: address(index),
            state: MemberState::Live,
        });
        let hosts = HostList {
            members: members.collect(),
        };
        let mut fleet = Self {
            members: Vec::with_capacity(MEMBERS),
            queue: BinaryHeap::new(),
            rngs: (0..MEMBERS)
                .map(|index| fastrand::Rng::with_seed(index as u64))
                .collect(),
            net: fastrand::Rng::with_seed(3),
            order: 0,
            published: version(1),
            published_at: 0,
            split: None,
            gone: HashSet::new(),
            refused: HashSet::new(),
            loss_percent,
            datagrams: 0,
            reads: Vec::new(),
            hosts,
        };
        for index in 0..MEMBERS {
            let spread = fleet.fresh(index, 0);
            fleet.members.push(spread);
            fleet.push(0, index, Happening::Tick);
        }
        fleet
    }

    fn fresh(&mut self, index: usize, now: u64) -> Spread {
        // A fleet of this size spreads its first reads over five seconds.
        let rule = SpreadRule {
            start_ms: 5_000,
            ..SpreadRule::default()
        };
        let member = &self.hosts.members[index];
        let (name, place) = (member.name.clone(), member.place.clone());
        Spread::new(
            name,
            place,
            rule,
            Instant::from_micros(now),
            &mut self.rngs[index],
        )
    }

    fn push(&mut self, at: u64, index: usize, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, index, happening)));
    }

    /// Run until `until`, or until all hold the published version; return when.
    fn run(&mut self, until: u64, stop_when_all: bool) -> u64 {
        let mut missing = self
            .members
            .iter()
            .filter(|m| m.held() != self.published)
            .count();
        while let Some(Reverse((now, order, index, happening))) = self.queue.pop() {
            if now > until {
                self.queue.push(Reverse((now, order, index, happening)));
                return until;
            }
            let before = self.members[index].held() == self.published;
            self.take(now, index, happening);
            let after = self.members[index].held() == self.published;
            missing = missing + usize::from(before) - usize::from(after);
            if stop_when_all && missing == 0 {
                return now;
            }
        }
        until
    }

    fn take(&mut self, now: u64, index: usize, happening: Happening) {
        if self.gone.contains(&index) {
            return;
        }
        let event = match happening {
            Happening::Tick => SpreadEvent::Tick,
            Happening::Heard {
                from,
                version,
                wants_reply,
            } => SpreadEvent::PeerHas {
                peer: address(from),
                version,
                wants_reply,
            },
            Happening::Fetched(version) => SpreadEvent::Accepted(version),
            Happening::AskedToRead(hops) => SpreadEvent::AskedToRead { hops },
            Happening::Read { .. } if self.refused.contains(&index) => SpreadEvent::PlatformFailed,
            Happening::Read { started, watch } => {
                // A watch ends with a change, or after its longest wait.
                let changed = self.published_at > started || now >= started + WATCH_MICROS;
                let changed = changed || !watch;
                if !changed {
                    self.push(now + 50_000, index, Happening::Read { started, watch });
                    return;
                }
                SpreadEvent::PlatformHas(self.published)
            }
        };
        let at = Instant::from_micros(now);
        let effects = self.members[index].step(event, &self.hosts, at, &mut self.rngs[index]);
        for effect in effects {
            self.carry_out(now, index, effect);
        }
        if matches!(happening, Happening::Tick) {
            let next = self.members[index].next_tick().instant().as_micros();
            self.push(next.max(now + 1_000), index, Happening::Tick);
        }
    }

    fn carry_out(&mut self, now: u64, index: usize, effect: SpreadEffect) {
        match effect {
            SpreadEffect::Advertise { peer, wants_reply } => {
                self.datagrams += 1;
                let to = index_of(peer);
                let lost = self.net.u8(0..100) < self.loss_percent;
                if lost || self.is_split(now, index, to) {
                    return;
                }
                let version = self.members[index].held();
                let heard = Happening::Heard {
                    from: index,
                    version,
                    wants_reply,
                };
                self.push(now + DELAY_MICROS, to, heard);
            }
            SpreadEffect::DelegateRead { peer, hops } => {
                self.datagrams += 1;
                let asked = Happening::AskedToRead(hops);
                self.push(now + DELAY_MICROS, index_of(peer), asked);
            }
            SpreadEffect::ReadPlatform { watch } => {
                self.reads.push(now);
                self.push(
                    now + DELAY_MICROS,
                    index,
                    Happening::Read {
                        started: now,
                        watch,
                    },
                );
            }
            SpreadEffect::FetchFromPeer { version, .. }
            | SpreadEffect::FetchFromPlatform { version } => {
                self.push(now + FETCH_MICROS, index, Happening::Fetched(version));
            }
        }
    }

    /// A split keeps the first places apart from the others.
    fn is_split(&self, now: u64, one: usize, other: usize) -> bool {
        let side = |index: usize| index % PLACES < 5;
        let during = self
            .split
            .is_some_and(|(from, to)| (from..to).contains(&now));
        during && side(one) != side(other)
    }

    fn publish(&mut self, revision: u64, now: u64) {
        self.published = version(revision);
        self.published_at = now;
    }

    /// Return the most reads in any second.
    fn busiest_second(&self) -> usize {
        let most = |from: &u64| {
            self.reads
                .iter()
                .filter(|at| (*from..from + 1_000_000).contains(at))
                .count()
        };
        self.reads.iter().step_by(50).map(most).max().unwrap_or(0)
    }
}

const SECOND: u64 = 1_000_000;

#[test]
fn a_change_is_everywhere_within_twenty_seconds() {
    let mut fleet = Fleet::new(10);
    let started = fleet.run(60 * SECOND, true);
    assert!(
        started < 20 * SECOND,
        "the first configuration took {started} us"
    );
    fleet.run(started + 30 * SECOND, false);
    let (datagrams, reads) = (fleet.datagrams, fleet.reads.len());
    let at = started + 30 * SECOND;
    fleet.publish(2, at);
    let took = fleet.run(at + 60 * SECOND, true) - at;
    assert!(took < 20 * SECOND, "a change took {took} us");
    let seconds = took.div_ceil(SECOND);
    let bytes = (fleet.datagrams - datagrams) * DATAGRAM_BYTES / MEMBERS as u64 / seconds;
    assert!(bytes < 17_000, "{bytes} bytes a second and daemon");
    let reads = fleet.reads.len() - reads;
    assert!(
        reads as u64 / seconds < 2_000,
        "{reads} reads in {seconds} s"
    );
    println!("change: {took} us to the slowest of {MEMBERS}, {bytes} B/s a daemon, {reads} reads");
}

#[test]
fn a_restart_of_all_stays_within_the_reads() {
    let mut fleet = Fleet::new(5);
    let started = fleet.run(60 * SECOND, true);
    assert!(started < 20 * SECOND, "{started} us");
    let most = fleet.busiest_second();
    assert!(most < 2_000, "{most} reads in one second");
    println!("mass restart: {started} us to the slowest, {most} reads in the busiest second");
}

#[test]
fn readers_that_the_platform_refuses_are_replaced() {
    let mut fleet = Fleet::new(5);
    let started = fleet.run(60 * SECOND, true);
    let readers = SpreadRule::default().readers;
    let members = &fleet.hosts.members;
    let refused = (0..MEMBERS)
        .filter(|&index| index % 3 == 0 || fleet.hosts.is_reader(&members[index].name, readers));
    fleet.refused = refused.collect();
    // Each reader has found out by now.
    let at = started + 30 * SECOND;
    fleet.run(at, false);
    let before = fleet.reads.len();
    fleet.publish(2, at);
    let took = fleet.run(at + 60 * SECOND, true) - at;
    assert!(took < 20 * SECOND, "a change took {took} us");
    let reads = fleet.reads.len() - before;
    assert!(reads < 2_000, "{reads} reads meanwhile");
}

#[test]
fn readers_that_have_left_are_replaced() {
    let mut fleet = Fleet::new(5);
    let started = fleet.run(60 * SECOND, true);
    let readers = SpreadRule::default().readers;
    let hosts = fleet.hosts.clone();
    let is_reader = |member: &Member| hosts.is_reader(&member.name, readers);
    let left = (0..MEMBERS).filter(|&index| is_reader(&hosts.members[index]));
    fleet.gone = left.collect();
    fleet.hosts.members.retain(|member| !is_reader(member));
    let at = started + 5 * SECOND;
    fleet.run(at, false);
    fleet.publish(2, at);
    fleet.run(at + 20 * SECOND, false);
    let missing = (0..MEMBERS)
        .filter(|index| !fleet.gone.contains(index))
        .filter(|&index| fleet.members[index].held() != version(2));
    assert_eq!(missing.count(), 0, "some daemons hold the version before");
}

#[test]
fn an_outage_is_not_handed_on_for_ever() {
    let mut fleet = Fleet::new(0);
    let started = fleet.run(60 * SECOND, true);
    fleet.refused = (0..MEMBERS).collect();
    let before = fleet.reads.len();
    fleet.run(started + 60 * SECOND, false);
    let reads = (fleet.reads.len() - before) / 60;
    assert!(reads < 2_000, "{reads} refused reads a second");
}

#[test]
fn a_split_heals_to_the_newest() {
    let mut fleet = Fleet::new(5);
    let started = fleet.run(60 * SECOND, true);
    let at = started + 10 * SECOND;
    fleet.run(at, false);
    fleet.split = Some((at, at + 40 * SECOND));
    fleet.publish(2, at);
    // Readers on both sides see the platform, so the split delays nothing.
    let took = fleet.run(at + 60 * SECOND, true) - at;
    assert!(took < 20 * SECOND, "a change took {took} us across a split");
}

#[test]
fn a_daemon_with_an_old_version_reverts_nobody() {
    let mut fleet = Fleet::new(0);
    let started = fleet.run(60 * SECOND, true);
    fleet.publish(5, started);
    let done = fleet.run(started + 60 * SECOND, true);
    // The platform turns stale, and a twentieth of the fleet is replaced.
    fleet.published = version(3);
    fleet.published_at = done;
    for index in (0..MEMBERS).step_by(20) {
        fleet.members[index] = fleet.fresh(index, done);
    }
    fleet.run(done + 15 * SECOND, false);
    let newest = fleet
        .members
        .iter()
        .filter(|m| m.held() == version(5))
        .count();
    assert_eq!(newest, MEMBERS, "some daemons hold an older version");
}
