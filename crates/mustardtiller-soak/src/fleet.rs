//! The fleet of a run, and how faults are injected into it.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;

use rustix::process::Signal;

use mustardtiller_platform_standin::Behaviour;
use mustardtiller_platform_standin::RecordedRequest;
use mustardtiller_platform_standin::Registration;
use mustardtiller_platform_standin::Store;
use mustardtiller_platform_standin::StoreCopy;
use mustardtiller_platform_standin::StoreFault;
use mustardtiller_platform_standin::Upstream;
use mustardtiller_platform_standin::document;
use mustardtiller_standin::Pipe;
use mustardtiller_standin::Runner;

use crate::FaultKind;
use crate::Plan;
use crate::Way;
use crate::address::AddressBlock;
use crate::daemons::Daemons;
use crate::daemons::LINK_PORT;
use crate::daemons::STORE_PORT;
use crate::daemons::UPSTREAM_PORT;
use crate::daemons::data_centre_of;
use crate::relay::Relay;

/// Retries allowed to the fleet beyond the percentage.
///
/// This is the value in the platform's deployments.
const SPARE_RETRIES: u64 = 60;

/// Usual service time of an upstream, in milliseconds.
const SERVICE_TIME_MS: u64 = 15;

/// Factor by which a slow host prolongs the service time.
const SLOW_FACTOR: u64 = 5;

/// One-way latency of a slow link, in microseconds.
const SLOW_LINK_MICROS: u64 = 60_000;

/// Share of the datagrams that are changed while they are spoiled, in percent.
const SPOIL_PERCENT: u32 = 20;

/// Share of datagrams dropped during a loss, in percent.
const LOSS_PERCENT: u32 = 40;

/// Start time of the first upstreams, in milliseconds of Unix time.
const FIRST_START_MS: u64 = 1_700_000_000_000;

/// One host: its upstream, and the pipes that its connections pass through.
#[derive(Debug)]
struct Host {
    upstream: Arc<Upstream>,
    to_upstream: Pipe,
    to_link: Pipe,
    to_store: Pipe,
    incarnation: u64,
    registered: Registered,
}

/// What an upstream has written to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Registered {
    /// It is ready.
    Ready,
    /// It is draining, and is replaced later.
    Draining,
    /// It has been removed, and is replaced later.
    Removed,
}

/// The daemons, upstreams and store of one run.
#[derive(Debug)]
pub struct Fleet {
    /// Requests that upstreams ran.
    pub recorded: Arc<Mutex<Vec<RecordedRequest>>>,
    /// Daemon processes.
    pub daemons: Daemons,
    /// Addresses of the run.
    pub block: AddressBlock,
    /// Path prefix of the route that was published last.
    pub newest_prefix: Option<String>,
    store: Arc<Store>,
    relay: Relay,
    hosts: Vec<Host>,
    version: u64,
    routes: Vec<String>,
    spare: u64,
    /// The copy of the store that was made last.
    copy: Option<StoreCopy>,
    /// Names of entries that other parties have written.
    odd_names: Vec<String>,
}

impl Fleet {
    /// Start the store, the upstreams and the daemons.
    #[must_use]
    pub fn start(runner: &Runner, program: &Path, folder: &Path, plan: &Plan) -> Self {
        let hosts = plan.scale.hosts;
        let block = AddressBlock::reserve();
        let store = Store::start(runner, block.store());
        store.set_page_items(plan.page_items);
        let recorded = Arc::new(Mutex::new(Vec::new()));
        let relay = Relay::start(runner, &block, hosts, LINK_PORT);
        let mut fleet = Self {
            daemons: Daemons::new(program, folder, hosts),
            recorded,
            newest_prefix: None,
            store,
            relay,
            hosts: Vec::new(),
            version: 1,
            routes: Vec::new(),
            spare: SPARE_RETRIES,
            copy: None,
            odd_names: Vec::new(),
            block,
        };
        fleet.store.publish(&document(fleet.version, &[]));
        for host in 0..hosts {
            fleet.add_host(runner, host);
        }
        for host in 0..hosts {
            let spare = fleet.spare;
            fleet.daemons.write_settings(&fleet.block, host, spare);
            fleet.daemons.start(host);
        }
        fleet
    }

    fn add_host(&mut self, runner: &Runner, host: usize) {
        let pipe = |port: u16, target| Pipe::start(runner, self.block.public(host, port), target);
        let private = self.block.private(host, UPSTREAM_PORT);
        let upstream = Upstream::start(runner, name_of(host, 0), private, &self.recorded);
        upstream.delay_ms.store(SERVICE_TIME_MS, Ordering::SeqCst);
        let host = Host {
            upstream,
            to_upstream: pipe(UPSTREAM_PORT, private),
            to_link: pipe(LINK_PORT, self.block.private(host, LINK_PORT)),
            to_store: pipe(STORE_PORT, self.store.address()),
            incarnation: 0,
            registered: Registered::Ready,
        };
        self.hosts.push(host);
        self.register(self.hosts.len() - 1);
    }

    /// Write to the store what the upstream of a host has to say.
    fn register(&self, host: usize) {
        let Host {
            incarnation,
            registered,
            ..
        } = self.hosts[host];
        let name = name_of(host, incarnation);
        if registered == Registered::Removed {
            self.store.unregister(&name);
            return;
        }
        self.store.register(&Registration {
            name,
            address: self.block.public(host, UPSTREAM_PORT),
            data_centre: data_centre_of(host).to_owned(),
            draining: registered == Registered::Draining,
            started_ms: FIRST_START_MS + incarnation,
            heartbeat: incarnation + 1,
        });
    }

    /// Inject a fault, and return the upstream that it withdraws, if any.
    pub fn inject_fault(&mut self, host: usize, kind: FaultKind) -> Option<String> {
        let target = &self.hosts[host];
        let set_behaviour = |behaviour| target.upstream.set_behaviour(behaviour);
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
            FaultKind::LinksHeld(way) => set_frozen(&target.to_link, way, true),
            FaultKind::LinksReset => target.to_link.cut(),
            FaultKind::LinksSilent => target.to_link.silence_open(),
            FaultKind::LinksSlow => target.to_link.set_delay_micros(SLOW_LINK_MICROS),
            FaultKind::DatagramsLost => self.relay.set_loss_percent(LOSS_PERCENT),
            FaultKind::StoreBusy => self.store.set_fault(StoreFault::Busy),
            FaultKind::StoreSilent => self.store.set_fault(StoreFault::Silent),
            FaultKind::StoreSlow => self.store.set_fault(StoreFault::Slow),
            FaultKind::StoreForgets => self.store.compact_history(),
            FaultKind::StoreCut => {
                target.to_store.set_refusing(true);
                target.to_store.cut();
            }
            FaultKind::UpstreamDrains | FaultKind::UpstreamVanishes => {
                return self.withdraw_upstream(host, kind);
            }
            FaultKind::UpstreamCrashes => {
                target.to_upstream.set_refusing(true);
                target.to_upstream.cut();
            }
            FaultKind::UpstreamSilent => target.to_upstream.silence_open(),
            FaultKind::UpstreamSheds => set_behaviour(Behaviour::ProvenRefusal),
            FaultKind::UpstreamRefusesBarely => set_behaviour(Behaviour::UnprovenRefusal),
            FaultKind::UpstreamCuts => set_behaviour(Behaviour::CloseWithoutAnswer),
            FaultKind::UpstreamCutsBodies => set_behaviour(Behaviour::TruncatedBody),
            FaultKind::UpstreamMixes => set_behaviour(Behaviour::WrongIdentity),
            FaultKind::UpstreamHangs => set_behaviour(Behaviour::Silent),
            FaultKind::UpstreamEndless => set_behaviour(Behaviour::EndlessBody),
            FaultKind::UpstreamRepeats => target.to_upstream.set_repeating(true),
            FaultKind::StoreEndless => self.store.set_fault(StoreFault::Endless),
            FaultKind::DatagramsSpoiled => self.relay.set_spoil_percent(SPOIL_PERCENT),
            FaultKind::UpstreamSlow => slow_down(&target.upstream, SLOW_FACTOR),
            FaultKind::NewVersion => self.publish_new_version(),
            FaultKind::StoreReturns => self.copy = Some(self.store.copy()),
            FaultKind::OddEntries(character) => self.write_odd_entries(host, character),
        }
        None
    }

    /// Clear a fault, if its kind lasts until cleared.
    pub fn clear_fault(&mut self, host: usize, kind: FaultKind) {
        let target = &mut self.hosts[host];
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
            | FaultKind::NewVersion
            | FaultKind::OddEntries(_) => {}
            FaultKind::DaemonPauses => self.daemons.signal(host, Signal::CONT),
            FaultKind::LinksHeld(way) => set_frozen(&target.to_link, way, false),
            FaultKind::LinksSlow => target.to_link.set_delay_micros(0),
            FaultKind::DatagramsLost => self.relay.set_loss_percent(0),
            FaultKind::DatagramsSpoiled => self.relay.set_spoil_percent(0),
            FaultKind::UpstreamRepeats => target.to_upstream.set_repeating(false),
            FaultKind::StoreBusy
            | FaultKind::StoreSilent
            | FaultKind::StoreSlow
            | FaultKind::StoreEndless => {
                self.store.set_fault(StoreFault::None);
            }
            FaultKind::StoreCut => target.to_store.set_refusing(false),
            FaultKind::UpstreamCrashes => {
                target.to_upstream.set_refusing(false);
                target.to_upstream.cut();
            }
            FaultKind::UpstreamSheds
            | FaultKind::UpstreamRefusesBarely
            | FaultKind::UpstreamCuts
            | FaultKind::UpstreamCutsBodies
            | FaultKind::UpstreamMixes
            | FaultKind::UpstreamEndless
            | FaultKind::UpstreamHangs => target.upstream.set_behaviour(Behaviour::Normal),
            FaultKind::UpstreamSlow => slow_down(&target.upstream, 1),
            FaultKind::StoreReturns => self.store.set_fault(StoreFault::Away),
        }
    }

    /// Let the store come back from the copy that was made last.
    pub fn return_store(&self) {
        if let Some(copy) = &self.copy {
            self.store.return_from(copy);
        }
        self.store.set_fault(StoreFault::None);
    }

    /// Write again what the operator and the upstreams have written, and end what has lapsed.
    pub fn write_again(&self) {
        self.store.publish(&document(self.version, &self.routes));
        let names: Vec<String> = (0..self.hosts.len())
            .map(|host| name_of(host, self.hosts[host].incarnation))
            .collect();
        for name in self.store.registered() {
            if !names.contains(&name) && !self.odd_names.contains(&name) {
                self.store.unregister(&name);
            }
        }
        for host in 0..self.hosts.len() {
            self.register(host);
        }
    }

    fn withdraw_upstream(&mut self, host: usize, kind: FaultKind) -> Option<String> {
        if self.hosts[host].registered != Registered::Ready {
            return None;
        }
        self.hosts[host].registered = if kind == FaultKind::UpstreamDrains {
            Registered::Draining
        } else {
            Registered::Removed
        };
        self.register(host);
        Some(name_of(host, self.hosts[host].incarnation))
    }

    /// Replace a withdrawn upstream by a new incarnation at the same address.
    pub fn replace_upstream(&mut self, host: usize) {
        let left = name_of(host, self.hosts[host].incarnation);
        self.store.unregister(&left);
        let target = &mut self.hosts[host];
        target.registered = Registered::Ready;
        target.incarnation += 1;
        target.upstream.rename(name_of(host, target.incarnation));
        target.to_upstream.cut();
        self.register(host);
    }

    /// Write what can't be read beside a host's registration, before all and among evacuations.
    fn write_odd_entries(&mut self, host: usize, character: char) {
        for name in [format!("i-{host}{character}x"), character.to_string()] {
            self.store.write_damaged_registration(&name);
            self.odd_names.push(name);
        }
        self.store
            .write_damaged_evacuation(&format!("q{character}x"));
    }

    fn publish_new_version(&mut self) {
        self.version += 3;
        let prefix = format!("/more-{}/", self.version);
        self.routes.push(prefix.clone());
        self.newest_prefix = Some(prefix);
        self.store.publish(&document(self.version, &self.routes));
    }
}

fn name_of(host: usize, incarnation: u64) -> String {
    format!("i-{host}-{incarnation}")
}

fn set_frozen(pipe: &Pipe, way: Way, frozen: bool) {
    if way != Way::Back {
        pipe.set_frozen_to_target(frozen);
    }
    if way != Way::There {
        pipe.set_frozen_from_target(frozen);
    }
}

fn slow_down(upstream: &Upstream, factor: u64) {
    upstream
        .delay_ms
        .store(SERVICE_TIME_MS * factor, Ordering::SeqCst);
    upstream.work_percent.store(100 * factor, Ordering::SeqCst);
}
