//! The gate's state: what runs at the upstream beside this daemon.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use event_listener::Event;

use crate::board::CallerUses;
use crate::board::SlowdownState;
use crate::board::Snapshot;
use mustardtiller_core::BandTimes;
use mustardtiller_core::Forecast;
use mustardtiller_core::Instant;
use mustardtiller_core::KneeDetector;
use mustardtiller_core::KneeWindow;
use mustardtiller_core::LimiterWindow;
use mustardtiller_wire::LoadReport;

/// Service times that are kept apart; kinds whose digests meet share one.
const KINDS: usize = 256;

/// Service time assumed before the first answer, in microseconds.
const FIRST_SERVICE_MICROS: u32 = 100_000;

/// Weight of one answer in a smoothed service time, as a divisor.
const SERVICE_DIVISOR: u32 = 16;

/// Longest service time that is compared, in thousandths of the usual.
const MAX_RELATIVE_MILLI: u64 = 4_000;

/// Service times in one band, as atomics.
#[derive(Debug, Default)]
struct BandCell {
    sum_milli: AtomicU64,
    count: AtomicU64,
}

impl BandCell {
    fn add(&self, milli: u64) {
        self.sum_milli.fetch_add(milli, Ordering::Relaxed);
        self.count.fetch_add(1, Ordering::Relaxed);
    }

    fn take(&self) -> BandTimes {
        BandTimes {
            sum_milli: self.sum_milli.swap(0, Ordering::Relaxed),
            count: self.count.swap(0, Ordering::Relaxed),
        }
    }
}

/// What a request found at the upstream when it started, which decides how long it takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartConditions {
    /// Requests that ran, this one included.
    pub running: u32,
    /// The upstream had just said that work takes as long as usual.
    pub at_usual_speed: bool,
}

/// The gate's state.
///
/// `limit` is written by the limiter controller, the leaving flags by the
/// leave controller, `waiting` by the admission controller; requests count
/// themselves in and out.
#[derive(Debug)]
pub struct GateState {
    /// Callers and what they use.
    pub callers: Snapshot<CallerUses>,
    /// How fast the upstream works.
    pub slowdown: SlowdownState,
    /// Notified when the upstream begins or ceases to take new work.
    pub availability: Event,
    in_flight: AtomicU32,
    waiting: AtomicU32,
    limit: AtomicU32,
    slots: AtomicU32,
    leaving: AtomicBool,
    listed_leaving: AtomicBool,
    warm_from: AtomicU64,
    warm_at: AtomicU64,
    completed: AtomicU64,
    total_micros: AtomicU64,
    shed: AtomicU64,
    down: AtomicBool,
    registered: AtomicBool,
    service_micros: [AtomicU32; KINDS],
    mean_micros: AtomicU32,
    low: BandCell,
    high: BandCell,
    peak_in_flight: AtomicU32,
}

impl GateState {
    /// Start with one slot, until a configuration tells the slots.
    #[must_use]
    pub fn new(warm_from: Instant, warm_at: Instant) -> Self {
        Self {
            callers: Snapshot::new(CallerUses::default()),
            slowdown: SlowdownState::default(),
            availability: Event::new(),
            in_flight: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            limit: AtomicU32::new(1),
            slots: AtomicU32::new(1),
            leaving: AtomicBool::new(false),
            listed_leaving: AtomicBool::new(false),
            warm_from: AtomicU64::new(warm_from.as_micros()),
            warm_at: AtomicU64::new(warm_at.as_micros()),
            completed: AtomicU64::new(0),
            total_micros: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            down: AtomicBool::new(false),
            registered: AtomicBool::new(false),
            service_micros: std::array::from_fn(|_| AtomicU32::new(0)),
            mean_micros: AtomicU32::new(FIRST_SERVICE_MICROS),
            low: BandCell::default(),
            high: BandCell::default(),
            peak_in_flight: AtomicU32::new(0),
        }
    }

    /// Take a slot if fewer than `limit` are taken.
    pub fn try_take(&self, limit: u32) -> bool {
        let taken = self
            .in_flight
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| {
                (n < limit).then_some(n + 1)
            });
        if let Ok(before) = taken {
            self.peak_in_flight.fetch_max(before + 1, Ordering::Relaxed);
        }
        taken.is_ok()
    }

    /// Give a slot back.
    pub fn give_back(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// Return the requests that run.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Return the requests that wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::SeqCst)
    }

    /// Record the requests that wait. For the admission controller.
    pub fn add_waiting(&self, number: u32) {
        self.waiting.fetch_add(number, Ordering::SeqCst);
    }

    /// Record requests that wait no longer. For the admission controller.
    pub fn sub_waiting(&self, number: u32) {
        self.waiting.fetch_sub(number, Ordering::SeqCst);
    }

    /// Set the limit. For the limiter controller.
    pub fn set_limit(&self, limit: u32) {
        self.limit.store(limit.max(1), Ordering::SeqCst);
    }

    /// Set the slots of the upstream. For the limiter controller.
    pub fn set_slots(&self, slots: u32) {
        self.slots.store(slots.max(1), Ordering::SeqCst);
    }

    /// Return the limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::SeqCst)
    }

    /// Record whether the upstream says that it leaves. Returns the old value.
    pub fn set_leaving(&self, leaving: bool) -> bool {
        self.swap_told(&self.leaving, leaving)
    }

    /// Record whether the host list has the upstream leaving. Returns the old value.
    pub fn set_listed_leaving(&self, leaving: bool) -> bool {
        self.swap_told(&self.listed_leaving, leaving)
    }

    /// Report whether the upstream takes no new work.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst) || self.listed_leaving.load(Ordering::SeqCst)
    }

    /// Record that the upstream has been seen registered.
    pub fn set_registered(&self) {
        self.registered.store(true, Ordering::SeqCst);
    }

    /// Report whether the upstream has ever been seen registered.
    #[must_use]
    pub fn was_registered(&self) -> bool {
        self.registered.load(Ordering::SeqCst)
    }

    /// Record whether the upstream can't be reached. Returns the old value.
    pub fn set_down(&self, down: bool) -> bool {
        self.swap_told(&self.down, down)
    }

    /// Swap a flag that says whether new work is taken, and tell of a change.
    fn swap_told(&self, flag: &AtomicBool, value: bool) -> bool {
        let before = flag.swap(value, Ordering::SeqCst);
        if before != value {
            self.availability.notify(usize::MAX);
        }
        before
    }

    /// Report whether the upstream can't be reached.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Return what is known when a request of a kind arrives.
    #[must_use]
    pub fn forecast(&self, kind_digest: u32, now: Instant) -> Forecast {
        let mean_micros = self.mean_micros.load(Ordering::Relaxed);
        let service_micros = match self.service_micros[slot_of(kind_digest)].load(Ordering::Relaxed)
        {
            0 => mean_micros,
            known => known,
        };
        Forecast {
            now,
            running: self.in_flight(),
            waiting: self.waiting(),
            limit: self.limit(),
            slots: self.slots.load(Ordering::SeqCst),
            service_micros: u64::from(service_micros),
            mean_micros: u64::from(mean_micros),
            slowdown: self.slowdown.at(now),
        }
    }

    /// Note what a request that starts finds at the upstream.
    #[must_use]
    pub fn start(&self, now: Instant) -> StartConditions {
        StartConditions {
            running: self.in_flight(),
            at_usual_speed: self.slowdown.is_known_usual(now),
        }
    }

    /// Learn from a request that the upstream completed.
    pub fn record_service_time(&self, kind_digest: u32, micros: u64, start: StartConditions) {
        let usual = self.service_micros[slot_of(kind_digest)].load(Ordering::Relaxed);
        // What other work on the host does to an upstream tells nothing of its own limit.
        if usual > 0 && start.at_usual_speed {
            let relative = (micros * 1_000 / u64::from(usual)).min(MAX_RELATIVE_MILLI);
            let full = start.running > KneeDetector::band(self.slots.load(Ordering::Relaxed));
            let band = if full { &self.high } else { &self.low };
            band.add(relative);
        }
        let micros = micros.min(u64::from(u32::MAX)) as u32;
        smooth(&self.service_micros[slot_of(kind_digest)], micros);
        smooth(&self.mean_micros, micros);
    }

    /// Start the ramp of a cold upstream.
    pub fn warm_up(&self, from: Instant, at: Instant) {
        self.warm_from.store(from.as_micros(), Ordering::Relaxed);
        self.warm_at.store(at.as_micros(), Ordering::Relaxed);
    }

    /// Record a request that the upstream completed.
    pub fn completed(&self, micros: u64, shed: bool) {
        self.completed.fetch_add(1, Ordering::Relaxed);
        self.total_micros.fetch_add(micros, Ordering::Relaxed);
        self.shed.fetch_add(u64::from(shed), Ordering::Relaxed);
    }

    /// Take what was seen since the last call. For the limiter controller.
    pub fn take_window(&self) -> LimiterWindow {
        let in_flight = self.in_flight();
        LimiterWindow {
            completed: self.completed.swap(0, Ordering::Relaxed),
            total_micros: self.total_micros.swap(0, Ordering::Relaxed),
            peak_in_flight: self.peak_in_flight.swap(in_flight, Ordering::Relaxed),
            shed: self.shed.swap(0, Ordering::Relaxed),
        }
    }

    /// Take what was seen of full and less full times. For the limiter controller.
    pub fn take_knee_window(&self) -> KneeWindow {
        KneeWindow {
            low: self.low.take(),
            high: self.high.take(),
        }
    }

    /// Return the load to report to entries.
    #[must_use]
    pub fn report(&self, now: Instant, closing: bool) -> LoadReport {
        LoadReport {
            in_flight: self.in_flight() + self.waiting(),
            limit: self.limit(),
            ramp_milli: self.ramp_milli(now),
            work_percent: self.slowdown.percent(now).min(u32::from(u16::MAX)) as u16,
            leaving: closing || self.is_leaving() || self.is_down(),
        }
    }

    fn ramp_milli(&self, now: Instant) -> u16 {
        let from = self.warm_from.load(Ordering::Relaxed);
        let at = self.warm_at.load(Ordering::Relaxed);
        let gone = now.as_micros().saturating_sub(from);
        let whole = at.saturating_sub(from).max(1);
        (gone * 1_000 / whole).clamp(100, 1_000) as u16
    }
}

const fn slot_of(kind_digest: u32) -> usize {
    kind_digest as usize % KINDS
}

/// Move a smoothed time by one more; a lost update of two at once does no harm.
fn smooth(smoothed: &AtomicU32, micros: u32) {
    let old = smoothed.load(Ordering::Relaxed);
    let step = old.abs_diff(micros).div_ceil(SERVICE_DIVISOR);
    let new = match old {
        0 => micros,
        _ if micros > old => old + step,
        _ => old - step,
    };
    smoothed.store(new, Ordering::Relaxed);
}
