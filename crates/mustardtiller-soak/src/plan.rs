//! What is done to a fleet, drawn from a seed.

use std::fmt;

/// Faults in a second, on average.
const FAULTS_PER_S: u64 = 2;

/// Share of the seeds with planned work only, as a divisor.
const PLANNED_ONLY_EVERY: u64 = 4;

/// Share of the time, at its end, in which nothing strikes any more, as a divisor.
const CALM_END_DIVISOR: u64 = 3;

/// Shortest time of a fault that lasts, in milliseconds.
const LEAST_MS: u64 = 100;

/// Longest time of a fault that lasts, in milliseconds.
const MOST_MS: u64 = 2_500;

/// Size of one run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Scale {
    /// Hosts, each with an upstream and its daemon.
    pub hosts: usize,
    /// Length of the run, in milliseconds.
    pub millis: u64,
    /// Calls a second, of all callers together.
    pub calls_per_s: u64,
}

/// Which way bytes are held back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Towards the gate.
    There,
    /// From the gate.
    Back,
    /// Both.
    Both,
}

/// What strikes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The daemon gets SIGTERM and is started again once it has ended.
    DaemonStops,
    /// The daemon gets SIGHUP, with another settings file.
    DaemonReloads,
    /// The daemon gets SIGKILL and is started again.
    DaemonDies,
    /// All daemons get SIGKILL at once and are started again.
    AllDie,
    /// The daemon stands still.
    DaemonPauses,
    /// Links to the daemon hold bytes back.
    LinksHeld(Way),
    /// Links to the daemon are reset.
    LinksReset,
    /// Open links to the daemon fall silent for good.
    LinksSilent,
    /// Links to the daemon take longer.
    LinksSlow,
    /// Datagrams are lost.
    DatagramsLost,
    /// The store says that it is busy.
    StoreBusy,
    /// The store does not answer.
    StoreSilent,
    /// The store answers late.
    StoreSlow,
    /// The store forgets its history.
    StoreForgets,
    /// One daemon does not reach the store.
    StoreCut,
    /// The upstream leaves with notice, and another takes its place.
    UpstreamDrains,
    /// The upstream's registration vanishes, and another takes its place.
    UpstreamVanishes,
    /// The upstream crashes and starts again under the same name.
    UpstreamCrashes,
    /// Connections to the upstream fall silent for good.
    UpstreamSilent,
    /// The upstream sheds requests.
    UpstreamSheds,
    /// The upstream refuses without proof.
    UpstreamRefusesBarely,
    /// The upstream loses its answers.
    UpstreamCuts,
    /// The upstream breaks off in its answers.
    UpstreamCutsBodies,
    /// The upstream answers with other requests' identities.
    UpstreamMixes,
    /// The upstream does not answer.
    UpstreamHangs,
    /// The upstream's host is slow.
    UpstreamSlow,
    /// The operator publishes a version with one route more.
    NewVersion,
}

/// Work that operators plan, which must cut nothing.
const PLANNED: &[FaultKind] = &[
    FaultKind::DaemonStops,
    FaultKind::DaemonReloads,
    FaultKind::UpstreamDrains,
    FaultKind::UpstreamVanishes,
    FaultKind::NewVersion,
];

/// What nobody plans.
const UNPLANNED: &[FaultKind] = &[
    FaultKind::DaemonDies,
    FaultKind::DaemonDies,
    FaultKind::AllDie,
    FaultKind::DaemonPauses,
    FaultKind::DaemonPauses,
    FaultKind::LinksHeld(Way::There),
    FaultKind::LinksHeld(Way::Back),
    FaultKind::LinksHeld(Way::Both),
    FaultKind::LinksReset,
    FaultKind::LinksSilent,
    FaultKind::LinksSlow,
    FaultKind::DatagramsLost,
    FaultKind::StoreBusy,
    FaultKind::StoreSilent,
    FaultKind::StoreSlow,
    FaultKind::StoreForgets,
    FaultKind::StoreCut,
    FaultKind::UpstreamCrashes,
    FaultKind::UpstreamSilent,
    FaultKind::UpstreamSheds,
    FaultKind::UpstreamRefusesBarely,
    FaultKind::UpstreamCuts,
    FaultKind::UpstreamCutsBodies,
    FaultKind::UpstreamMixes,
    FaultKind::UpstreamHangs,
    FaultKind::UpstreamSlow,
];

/// One fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// When it strikes, in milliseconds from the first call.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds, if it lasts.
    pub lasts_ms: u64,
    /// The host that it strikes, where it strikes one.
    pub host: usize,
    /// What it is.
    pub kind: FaultKind,
}

impl FaultKind {
    /// Report whether operators plan it.
    #[must_use]
    pub fn is_planned(self) -> bool {
        PLANNED.contains(&self)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at_ms,
            lasts_ms,
            host,
            kind,
        } = self;
        write!(f, "{at_ms:>6} ms: host {host}: {kind:?} for {lasts_ms} ms")
    }
}

/// What is done to a fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The size.
    pub scale: Scale,
    /// The faults, in the order in which they strike.
    pub faults: Vec<Fault>,
    /// Nothing strikes but what operators plan.
    pub planned_only: bool,
}

impl Plan {
    /// Draw a plan from a seed.
    #[must_use]
    pub fn draw(seed: u64, scale: Scale) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let planned_only = seed.is_multiple_of(PLANNED_ONLY_EVERY);
        let until = scale.millis - scale.millis / CALM_END_DIVISOR;
        let count = until * FAULTS_PER_S / 1_000;
        let mut faults: Vec<Fault> = (0..count)
            .map(|_| {
                let kinds = if planned_only || rng.u32(0..4) == 0 {
                    PLANNED
                } else {
                    UNPLANNED
                };
                let at_ms = rng.u64(..until);
                Fault {
                    at_ms,
                    lasts_ms: rng.u64(LEAST_MS..MOST_MS).min(until - at_ms),
                    host: rng.usize(..scale.hosts),
                    kind: kinds[rng.usize(..kinds.len())],
                }
            })
            .collect();
        faults.sort_by_key(|fault| fault.at_ms);
        Self {
            seed,
            scale,
            faults,
            planned_only,
        }
    }
}
