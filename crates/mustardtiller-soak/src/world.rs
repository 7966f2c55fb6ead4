//! The fleet of one run, and what strikes it.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;

use rustix::process::Signal;

use mustardtiller_platform_standin::Manner;
use mustardtiller_platform_standin::Registration;
use mustardtiller_platform_standin::Seen;
use mustardtiller_platform_standin::Store;
use mustardtiller_platform_standin::StoreFault;
use mustardtiller_platform_standin::Upstream;
use mustardtiller_platform_standin::document;
use mustardtiller_standin::Pipe;
use mustardtiller_standin::Runner;

use crate::FaultKind;
use crate::Way;
use crate::address::Block;
use crate::daemons::Daemons;
use crate::daemons::LINK_PORT;
use crate::daemons::STORE_PORT;
use crate::daemons::UPSTREAM_PORT;
use crate::daemons::place_of;
use crate::relay::Relay;

/// Retries that the fleet may make beyond its share, as the users' sheets say.
const SPARE_RETRIES: u64 = 60;

/// Usual time of an upstream's work, in milliseconds.
const WORK_MS: u64 = 15;

/// How much longer work takes on a slow host.
const SLOW_FACTOR: u64 = 5;

/// Delay of a slow link each way, in microseconds.
const SLOW_LINK_MICROS: u64 = 60_000;

/// Datagrams that are lost where some are, in percent.
const LOST_PERCENT: u32 = 40;

/// The start of the first upstreams, in milliseconds of Unix time.
const FIRST_BORN_MS: u64 = 1_700_000_000_000;

/// One host as the soak sees it.
#[derive(Debug)]
struct Host {
    upstream: Arc<Upstream>,
    to_upstream: Pipe,
    to_link: Pipe,
    to_store: Pipe,
    life: u64,
    /// Its upstream is being replaced.
    replaced: bool,
}

/// The fleet of one run.
#[derive(Debug)]
pub struct World {
    /// What upstreams ran.
    pub seen: Arc<Mutex<Vec<Seen>>>,
    /// The daemons.
    pub daemons: Daemons,
    /// The addresses.
    pub block: Block,
    /// Start of the paths of the route that was published last.
    pub newest_route: Option<String>,
    store: Arc<Store>,
    relay: Relay,
    hosts: Vec<Host>,
    version: u64,
    routes: Vec<String>,
    spare: u64,
}

impl World {
    /// Start everything.
    #[must_use]
    pub fn start(runner: &Runner, program: &Path, folder: &Path, hosts: usize) -> Self {
        let block = Block::take();
        let store = Store::start(runner, block.store());
        let seen = Arc::new(Mutex::new(Vec::new()));
        let relay = Relay::start(runner, &block, hosts, LINK_PORT);
        let mut world = Self {
            daemons: Daemons::new(program, folder, hosts),
            seen,
            newest_route: None,
            store,
            relay,
            hosts: Vec::new(),
            version: 1,
            routes: Vec::new(),
            spare: SPARE_RETRIES,
            block,
        };
        world.store.publish(&document(world.version, &[]));
        for host in 0..hosts {
            world.add_host(runner, host);
        }
        for host in 0..hosts {
            let spare = world.spare;
            world.daemons.write_settings(&world.block, host, spare);
            world.daemons.start(host);
        }
        world
    }

    fn add_host(&mut self, runner: &Runner, host: usize) {
        let pipe = |port: u16, target| Pipe::start(runner, self.block.public(host, port), target);
        let own = self.block.own(host, UPSTREAM_PORT);
        let upstream = Upstream::start(runner, name_of(host, 0), own, &self.seen);
        upstream.delay_ms.store(WORK_MS, Ordering::SeqCst);
        let host = Host {
            upstream,
            to_upstream: pipe(UPSTREAM_PORT, own),
            to_link: pipe(LINK_PORT, self.block.own(host, LINK_PORT)),
            to_store: pipe(STORE_PORT, self.store.address()),
            life: 0,
            replaced: false,
        };
        self.hosts.push(host);
        self.register(self.hosts.len() - 1, false);
    }

    fn register(&self, host: usize, draining: bool) {
        let life = self.hosts[host].life;
        self.store.register(&Registration {
            name: name_of(host, life),
            address: self.block.public(host, UPSTREAM_PORT),
            place: place_of(host).to_owned(),
            draining,
            started_ms: FIRST_BORN_MS + life,
            beat: life + 1,
        });
    }

    /// Let a fault strike. Returns the upstream that says it leaves, if one does.
    pub fn strike(&mut self, host: usize, kind: FaultKind) -> Option<String> {
        let struck = &self.hosts[host];
        let behave = |manner| struck.upstream.behave(manner);
        match kind {
            FaultKind::DaemonStops => self.daemons.signal(host, Signal::TERM),
            FaultKind::DaemonReloads => {
                self.spare += 1;
                self.daemons.write_settings(&self.block, host, self.spare);
                self.daemons.signal(host, Signal::HUP);
            }
            FaultKind::DaemonDies => self.daemons.signal(host, Signal::KILL),
            FaultKind::AllDie => {
                for host in 0..self.hosts.len() {
                    self.daemons.signal(host, Signal::KILL);
                }
            }
            FaultKind::DaemonPauses => self.daemons.signal(host, Signal::STOP),
            FaultKind::LinksHeld(way) => hold(&struck.to_link, way, true),
            FaultKind::LinksReset => struck.to_link.cut(),
            FaultKind::LinksSilent => struck.to_link.silence_open(),
            FaultKind::LinksSlow => struck.to_link.set_delay_micros(SLOW_LINK_MICROS),
            FaultKind::DatagramsLost => self.relay.lose(LOST_PERCENT),
            FaultKind::StoreBusy => self.store.set_fault(StoreFault::Busy),
            FaultKind::StoreSilent => self.store.set_fault(StoreFault::Silent),
            FaultKind::StoreSlow => self.store.set_fault(StoreFault::Slow),
            FaultKind::StoreForgets => self.store.forget_history(),
            FaultKind::StoreCut => {
                struck.to_store.set_refusing(true);
                struck.to_store.cut();
            }
            FaultKind::UpstreamDrains | FaultKind::UpstreamVanishes => {
                return self.begin_leaving(host, kind);
            }
            FaultKind::UpstreamCrashes => {
                struck.to_upstream.set_refusing(true);
                struck.to_upstream.cut();
            }
            FaultKind::UpstreamSilent => struck.to_upstream.silence_open(),
            FaultKind::UpstreamSheds => behave(Manner::Sheds),
            FaultKind::UpstreamRefusesBarely => behave(Manner::BareRefusal),
            FaultKind::UpstreamCuts => behave(Manner::Cut),
            FaultKind::UpstreamCutsBodies => behave(Manner::CutBody),
            FaultKind::UpstreamMixes => behave(Manner::Foreign),
            FaultKind::UpstreamHangs => behave(Manner::Silent),
            FaultKind::UpstreamSlow => slow_down(&struck.upstream, SLOW_FACTOR),
            FaultKind::NewVersion => self.publish_next(),
        }
        None
    }

    /// Let what a fault did end.
    pub fn relent(&mut self, host: usize, kind: FaultKind) {
        let struck = &mut self.hosts[host];
        match kind {
            FaultKind::DaemonStops
            | FaultKind::DaemonReloads
            | FaultKind::DaemonDies
            | FaultKind::AllDie
            | FaultKind::LinksReset
            | FaultKind::LinksSilent
            | FaultKind::StoreForgets
            | FaultKind::UpstreamDrains
            | FaultKind::UpstreamVanishes
            | FaultKind::UpstreamSilent
            | FaultKind::NewVersion => {}
            FaultKind::DaemonPauses => self.daemons.signal(host, Signal::CONT),
            FaultKind::LinksHeld(way) => hold(&struck.to_link, way, false),
            FaultKind::LinksSlow => struck.to_link.set_delay_micros(0),
            FaultKind::DatagramsLost => self.relay.lose(0),
            FaultKind::StoreBusy | FaultKind::StoreSilent | FaultKind::StoreSlow => {
                self.store.set_fault(StoreFault::None);
            }
            FaultKind::StoreCut => struck.to_store.set_refusing(false),
            FaultKind::UpstreamCrashes => {
                struck.to_upstream.set_refusing(false);
                struck.to_upstream.cut();
            }
            FaultKind::UpstreamSheds
            | FaultKind::UpstreamRefusesBarely
            | FaultKind::UpstreamCuts
            | FaultKind::UpstreamCutsBodies
            | FaultKind::UpstreamMixes
            | FaultKind::UpstreamHangs => struck.upstream.behave(Manner::Good),
            FaultKind::UpstreamSlow => slow_down(&struck.upstream, 1),
        }
    }

    fn begin_leaving(&mut self, host: usize, kind: FaultKind) -> Option<String> {
        if self.hosts[host].replaced {
            return None;
        }
        self.hosts[host].replaced = true;
        let name = name_of(host, self.hosts[host].life);
        if kind == FaultKind::UpstreamDrains {
            self.register(host, true);
        } else {
            self.store.unregister(&name);
        }
        Some(name)
    }

    /// Put another upstream in the place of one that has left.
    pub fn replace(&mut self, host: usize) {
        let left = name_of(host, self.hosts[host].life);
        self.store.unregister(&left);
        let struck = &mut self.hosts[host];
        struck.replaced = false;
        struck.life += 1;
        struck.upstream.rename(name_of(host, struck.life));
        struck.to_upstream.cut();
        self.register(host, false);
    }

    fn publish_next(&mut self) {
        self.version += 3;
        let prefix = format!("/more-{}/", self.version);
        self.routes.push(prefix.clone());
        self.newest_route = Some(prefix);
        self.store.publish(&document(self.version, &self.routes));
    }
}

fn name_of(host: usize, life: u64) -> String {
    format!("i-{host}-{life}")
}

fn hold(pipe: &Pipe, way: Way, held: bool) {
    if way != Way::Back {
        pipe.freeze_there(held);
    }
    if way != Way::There {
        pipe.freeze_back(held);
    }
}

fn slow_down(upstream: &Upstream, factor: u64) {
    upstream.delay_ms.store(WORK_MS * factor, Ordering::SeqCst);
    upstream.work_percent.store(100 * factor, Ordering::SeqCst);
}
