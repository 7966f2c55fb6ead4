//! Fault plans, drawn from seeds.

use std::fmt;

/// Average number of faults per second.
const FAULTS_PER_S: u64 = 2;

/// One seed in this many has planned work only.
const PLANNED_ONLY_EVERY: u64 = 4;

/// Divisor of the run's length that gives the time without faults at its end.
const CALM_END_DIVISOR: u64 = 3;

/// Shortest duration of a fault, in milliseconds.
const MIN_FAULT_MS: u64 = 100;

/// Longest duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 2_500;

/// Size of one run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Scale {
    /// Number of hosts, each with an upstream and its daemon.
    pub hosts: usize,
    /// Length of the run, in milliseconds.
    pub millis: u64,
    /// Calls per second, by all callers together.
    pub calls_per_s: u64,
}

/// Direction in which bytes on a link are held back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Way {
    /// Towards the gate.
    There,
    /// From the gate.
    Back,
    /// Both.
    Both,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The daemon gets SIGTERM and is restarted once it has exited.
    DaemonStops,
    /// The daemon gets SIGHUP after its settings file has changed.
    DaemonReloads,
    /// The daemon gets SIGKILL and is restarted.
    DaemonDies,
    /// All daemons get SIGKILL at once and are restarted.
    AllDie,
    /// The daemon gets SIGSTOP, and SIGCONT when the fault ends.
    DaemonPauses,
    /// Bytes on links to the daemon are held back until the fault ends.
    LinksHeld(Way),
    /// Links to the daemon are reset.
    LinksReset,
    /// Open links to the daemon pass no more bytes, without being closed.
    LinksSilent,
    /// Links to the daemon have a high latency.
    LinksSlow,
    /// Datagrams between all daemons are dropped at random.
    DatagramsLost,
    /// The store answers every request with 503.
    StoreBusy,
    /// The store does not answer.
    StoreSilent,
    /// The store delays every answer.
    StoreSlow,
    /// The store drops its history, so that watches from earlier revisions fail.
    StoreForgets,
    /// The daemon's connections to the store are reset, and new ones refused.
    StoreCut,
    /// The upstream is registered as draining, and replaced later.
    UpstreamDrains,
    /// The upstream's registration is removed, and the upstream replaced later.
    UpstreamVanishes,
    /// Connections to the upstream are reset, and new ones refused.
    ///
    /// It comes back under the same name when the fault ends.
    UpstreamCrashes,
    /// Open connections to the upstream pass no more bytes, without being closed.
    UpstreamSilent,
    /// The upstream sheds requests, with proof that they did not run.
    UpstreamSheds,
    /// The upstream runs requests and answers 503 without proof of refusal.
    UpstreamRefusesBarely,
    /// The upstream runs requests and closes connections without an answer.
    UpstreamCuts,
    /// The upstream runs requests and closes connections halfway through its answers.
    UpstreamCutsBodies,
    /// The upstream runs requests and answers with the identity of another one.
    UpstreamMixes,
    /// The upstream runs requests and never answers.
    UpstreamHangs,
    /// The upstream's service time rises, and its load reports say so.
    UpstreamSlow,
    /// The upstream runs requests and answers with bodies without end.
    UpstreamEndless,
    /// Each short answer of the upstream is sent twice, the second time a little later.
    UpstreamRepeats,
    /// The bodies of the store's answers have no end.
    StoreEndless,
    /// One byte of some datagrams between daemons is changed.
    DatagramsSpoiled,
    /// The operator publishes a configuration with one more route.
    NewVersion,
    /// The store is away for a moment when the fault ends, and comes back from a copy that
    /// was made when it started; what is lost is written again later.
    StoreReturns,
    /// Another party writes entries that can't be read, whose names have this character.
    ///
    /// They stay until the run ends.
    OddEntries(char),
}

/// Work planned by operators, which must not break any request.
const PLANNED: &[FaultKind] = &[
    FaultKind::DaemonStops,
    FaultKind::DaemonReloads,
    FaultKind::UpstreamDrains,
    FaultKind::UpstreamVanishes,
    FaultKind::NewVersion,
];

/// Faults that nobody plans; those listed twice are drawn twice as often.
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

/// Faults of bytes that are no answer or no message.
///
/// They, returns of the store and odd entries are drawn apart from the others, so that the
/// plans of earlier seeds keep all their faults.
const FOREIGN: &[FaultKind] = &[
    FaultKind::UpstreamEndless,
    FaultKind::UpstreamRepeats,
    FaultKind::StoreEndless,
    FaultKind::DatagramsSpoiled,
];

/// Odd entries, by a character that a query must encode.
const ODD_ENTRIES: &[FaultKind] = &[
    FaultKind::OddEntries('&'),
    FaultKind::OddEntries('+'),
    FaultKind::OddEntries('#'),
    FaultKind::OddEntries('%'),
    FaultKind::OddEntries(' '),
    FaultKind::OddEntries('"'),
    FaultKind::OddEntries('\n'),
    FaultKind::OddEntries('\0'),
    FaultKind::OddEntries('\u{17e}'),
];

/// Time for which one write of odd entries is drawn, in milliseconds; at least one is.
///
/// As many restarts of all daemons are drawn, unless only planned work is.
const ODD_ENTRIES_EVERY_MS: u64 = 6_000;

/// Difference between the seed of a plan and that of its odd entries.
const ODD_ENTRIES_SEED: u64 = 0x0DD5;

/// Difference between the seed of a plan and that of its page size.
const PAGE_SEED: u64 = 0x9A6E;

/// Most items of the store's pages.
const MAX_PAGE_ITEMS: usize = 3;

/// Time for which one return of the store is drawn, in milliseconds; at least one is.
const RETURN_EVERY_MS: u64 = 6_000;

/// Difference between the seed of a plan and that of its returns of the store.
const RETURN_SEED: u64 = 0x0C09;

/// Time for which one foreign fault is drawn, in milliseconds.
const FOREIGN_EVERY_MS: u64 = 4_000;

/// Difference between the seed of a plan and that of its foreign faults.
const FOREIGN_SEED: u64 = 0x5EED;

/// A fault at a point in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fault {
    /// When the fault starts, in milliseconds after the warm-up.
    pub at_ms: u64,
    /// Duration in milliseconds, for kinds that last.
    pub lasts_ms: u64,
    /// The host concerned, for kinds that concern a single one.
    pub host: usize,
    /// Kind of the fault.
    pub kind: FaultKind,
}

impl FaultKind {
    /// Report whether the kind is work planned by operators.
    #[must_use]
    pub fn is_planned(self) -> bool {
        // Operators bring the store back from a copy in a drill, and odd entries fail nothing.
        PLANNED.contains(&self) || matches!(self, Self::StoreReturns | Self::OddEntries(_))
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

/// The faults of one run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// Seed that the plan was drawn from.
    pub seed: u64,
    /// Size of the run.
    pub scale: Scale,
    /// Faults, in the order in which they start.
    pub faults: Vec<Fault>,
    /// Whether all faults are work planned by operators.
    pub planned_only: bool,
    /// Most items of the store's pages.
    pub page_items: usize,
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
                    lasts_ms: rng.u64(MIN_FAULT_MS..MAX_FAULT_MS).min(until - at_ms),
                    host: rng.usize(..scale.hosts),
                    kind: kinds[rng.usize(..kinds.len())],
                }
            })
            .collect();
        if !planned_only {
            let count = until / FOREIGN_EVERY_MS;
            let seed = seed ^ FOREIGN_SEED;
            faults.extend(Self::draw_apart(FOREIGN, count, seed, until, scale.hosts));
        }
        let count = (until / RETURN_EVERY_MS).max(1);
        let returns = &[FaultKind::StoreReturns];
        let seed_of_returns = seed ^ RETURN_SEED;
        faults.extend(Self::draw_apart(
            returns,
            count,
            seed_of_returns,
            until,
            scale.hosts,
        ));
        let count = (until / ODD_ENTRIES_EVERY_MS).max(1);
        let mut odd_kinds = vec![ODD_ENTRIES];
        if !planned_only {
            odd_kinds.push(&[FaultKind::AllDie]);
        }
        for (number, kinds) in odd_kinds.into_iter().enumerate() {
            let seed = (seed ^ ODD_ENTRIES_SEED).wrapping_add(number as u64);
            faults.extend(Self::draw_apart(kinds, count, seed, until, scale.hosts));
        }
        faults.sort_by_key(|fault| fault.at_ms);
        Self {
            seed,
            scale,
            faults,
            planned_only,
            page_items: fastrand::Rng::with_seed(seed ^ PAGE_SEED).usize(1..=MAX_PAGE_ITEMS),
        }
    }

    /// Draw faults of these kinds until `until`, in milliseconds.
    fn draw_apart(
        kinds: &[FaultKind],
        count: u64,
        seed: u64,
        until: u64,
        hosts: usize,
    ) -> Vec<Fault> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let draw = |_| {
            let at_ms = rng.u64(..until);
            Fault {
                at_ms,
                lasts_ms: rng.u64(MIN_FAULT_MS..MAX_FAULT_MS).min(until - at_ms),
                host: rng.usize(..hosts),
                kind: kinds[rng.usize(..kinds.len())],
            }
        };
        (0..count).map(draw).collect()
    }
}
