//! The gate's state: the load of the upstream beside this daemon.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use event_listener::Event;

use crate::board::CallerTable;
use crate::board::SlowdownState;
use crate::board::Snapshot;
use mustardtiller_core::BandTimes;
use mustardtiller_core::Forecast;
use mustardtiller_core::Instant;
use mustardtiller_core::KneeDetector;
use mustardtiller_core::KneeWindow;
use mustardtiller_core::LimiterWindow;
use mustardtiller_core::StartRate;
use mustardtiller_core::StartSchedule;
use mustardtiller_wire::LoadReport;

/// Number of service-time estimates; kinds whose digests collide share one.
const KIND_BUCKETS: usize = 256;

/// Service time assumed before the first answer, in microseconds.
const INITIAL_SERVICE_MICROS: u32 = 100_000;

/// Weight of one service time in the smoothed estimate, as a divisor.
const SERVICE_DIVISOR: u32 = 16;

/// Cap of a relative service time, in thousandths of the estimate.
const MAX_RELATIVE_MILLI: u64 = 4_000;

/// Relative service times in one concurrency band, as atomics.
#[derive(Debug, Default)]
struct AtomicBandTimes {
    sum_milli: AtomicU64,
    count: AtomicU64,
}

impl AtomicBandTimes {
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

/// The upstream's state when a request starts, to interpret its service time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartConditions {
    /// Requests in flight, including this one.
    pub running: u32,
    /// Whether a fresh reading showed no slowdown of the upstream.
    pub no_slowdown: bool,
}

/// The load and availability of the upstream beside this daemon.
///
/// The limiter controller writes `limit` and `slots`, the admission controller
/// `waiting`. Probes, answers and the controllers that read the host list and
/// the registry set the availability flags. Each request updates the in-flight
/// count and the service times.
#[derive(Debug)]
pub struct GateState {
    /// The slots that each caller holds.
    pub callers: Snapshot<CallerTable>,
    /// The upstream's last known slowdown.
    pub slowdown: SlowdownState,
    /// Notified when the upstream starts or stops accepting new requests.
    pub availability: Event,
    /// Rate that the upstream named, in thousandths per second; zero if it named none.
    start_milli: AtomicU32,
    /// When the next request is due by that rate, in microseconds.
    start_due: AtomicU64,
    /// Whether an answer has said since the process began whether there is a rate.
    heard_rate: AtomicBool,
    in_flight: AtomicU32,
    waiting: AtomicU32,
    limit: AtomicU32,
    slots: AtomicU32,
    leaving: AtomicBool,
    listed_leaving: AtomicBool,
    announced_leaving: AtomicBool,
    /// Start of the upstream that announced it, in milliseconds of Unix time.
    ///
    /// `u64::MAX` if it was not registered then.
    announced_by: AtomicU64,
    ramp_start: AtomicU64,
    ramp_end: AtomicU64,
    completed: AtomicU64,
    total_micros: AtomicU64,
    shed: AtomicU64,
    down: AtomicBool,
    registered: AtomicBool,
    service_micros: [AtomicU32; KIND_BUCKETS],
    mean_micros: AtomicU32,
    low: AtomicBandTimes,
    high: AtomicBandTimes,
    peak_in_flight: AtomicU32,
}

impl GateState {
    /// Create the state with one slot, until a configuration sets the slots.
    ///
    /// The cold-start ramp lasts from `ramp_start` to `ramp_end`.
    #[must_use]
    pub fn new(ramp_start: Instant, ramp_end: Instant) -> Self {
        Self {
            callers: Snapshot::new(CallerTable::default()),
            slowdown: SlowdownState::default(),
            availability: Event::new(),
            start_milli: AtomicU32::new(0),
            start_due: AtomicU64::new(0),
            heard_rate: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            limit: AtomicU32::new(1),
            slots: AtomicU32::new(1),
            leaving: AtomicBool::new(false),
            listed_leaving: AtomicBool::new(false),
            announced_leaving: AtomicBool::new(false),
            announced_by: AtomicU64::new(0),
            ramp_start: AtomicU64::new(ramp_start.as_micros()),
            ramp_end: AtomicU64::new(ramp_end.as_micros()),
            completed: AtomicU64::new(0),
            total_micros: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            down: AtomicBool::new(false),
            registered: AtomicBool::new(false),
            service_micros: std::array::from_fn(|_| AtomicU32::new(0)),
            mean_micros: AtomicU32::new(INITIAL_SERVICE_MICROS),
            low: AtomicBandTimes::default(),
            high: AtomicBandTimes::default(),
            peak_in_flight: AtomicU32::new(0),
        }
    }

    /// Acquire a slot if fewer than `limit` are held and a request may start now.
    pub fn try_acquire(&self, limit: u32, now: Instant) -> bool {
        let acquired = self
            .in_flight
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| {
                (n < limit).then_some(n + 1)
            });
        let Ok(before) = acquired else {
            return false;
        };
        if !self.try_start(now) {
            self.release();
            return false;
        }
        self.peak_in_flight.fetch_max(before + 1, Ordering::Relaxed);
        true
    }

    /// Release a slot.
    pub fn release(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }

    /// Return the number of requests in flight at the upstream.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Return the number of requests that wait for a slot.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::SeqCst)
    }

    /// Count requests that begin to wait. For the admission controller.
    pub fn add_waiting(&self, number: u32) {
        self.waiting.fetch_add(number, Ordering::SeqCst);
    }

    /// Count requests that no longer wait. For the admission controller.
    pub fn sub_waiting(&self, number: u32) {
        self.waiting.fetch_sub(number, Ordering::SeqCst);
    }

    /// Set the concurrency limit, at least one. For the limiter controller.
    pub fn set_limit(&self, limit: u32) {
        self.limit.store(limit.max(1), Ordering::SeqCst);
    }

    /// Set the slots of the upstream, at least one. For the limiter controller.
    pub fn set_slots(&self, slots: u32) {
        self.slots.store(slots.max(1), Ordering::SeqCst);
    }

    /// Return the concurrency limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.load(Ordering::SeqCst)
    }

    /// Record whether the upstream says that it is leaving. Returns the previous value.
    pub fn set_leaving(&self, leaving: bool) -> bool {
        self.swap_availability(&self.leaving, leaving)
    }

    /// Record whether the host list or registry marks the upstream as leaving.
    ///
    /// Returns the previous value.
    pub fn set_listed_leaving(&self, leaving: bool) -> bool {
        self.swap_availability(&self.listed_leaving, leaving)
    }

    /// Report whether the upstream is leaving, and so gets no new requests.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
            || self.listed_leaving.load(Ordering::SeqCst)
            || self.announced_leaving()
    }

    /// Record that an upstream has said itself that it is leaving.
    ///
    /// `started_ms` is its start, in milliseconds of Unix time, if that is known. What
    /// it said holds until a later start. Returns whether it had said so before.
    pub fn announce_leaving(&self, started_ms: Option<u64>) -> bool {
        self.announced_by
            .store(started_ms.unwrap_or(u64::MAX), Ordering::SeqCst);
        self.swap_availability(&self.announced_leaving, true)
    }

    /// Report whether the upstream has said itself that it is leaving.
    #[must_use]
    pub fn announced_leaving(&self) -> bool {
        self.announced_leaving.load(Ordering::SeqCst)
    }

    /// Record the start of the registered upstream, in milliseconds of Unix time.
    ///
    /// Returns whether it is later than that of the one that announced to leave, whose
    /// announcement is then void.
    pub fn end_announcement(&self, started_ms: u64) -> bool {
        self.announced_leaving()
            && started_ms > self.announced_by.load(Ordering::SeqCst)
            && self.swap_availability(&self.announced_leaving, false)
    }

    /// Record the rate that the upstream named in its last answer, or that it named none.
    ///
    /// Returns the rate known before.
    pub fn set_start_rate(&self, rate: Option<StartRate>, now: Instant) -> Option<StartRate> {
        self.heard_rate.store(true, Ordering::SeqCst);
        self.replace_start_rate(rate, now)
    }

    /// Adopt the rate that another daemon knows, until an answer says whether it holds.
    ///
    /// Returns whether it was adopted.
    pub fn adopt_start_rate(&self, rate: StartRate, now: Instant) -> bool {
        let adopts = !self.heard_rate.load(Ordering::SeqCst) && self.start_rate().is_none();
        if adopts {
            self.replace_start_rate(Some(rate), now);
        }
        adopts
    }

    /// Forget what a former upstream at the same address said of itself.
    pub fn forget_announcements(&self, now: Instant) {
        self.swap_availability(&self.announced_leaving, false);
        self.replace_start_rate(None, now);
        self.heard_rate.store(false, Ordering::SeqCst);
    }

    fn replace_start_rate(&self, rate: Option<StartRate>, now: Instant) -> Option<StartRate> {
        if let Some(rate) = rate
            && self.start_rate().is_none()
        {
            let begun = StartSchedule::begin(rate, now);
            self.start_due
                .store(begun.due.as_micros(), Ordering::SeqCst);
        }
        let milli = rate.map_or(0, StartRate::as_milli);
        start_rate_of(self.start_milli.swap(milli, Ordering::SeqCst))
    }

    /// Return the rate that the upstream named, if any.
    #[must_use]
    pub fn start_rate(&self) -> Option<StartRate> {
        start_rate_of(self.start_milli.load(Ordering::SeqCst))
    }

    /// Return when requests may start, if the upstream named a rate.
    #[must_use]
    pub fn start_schedule(&self) -> Option<StartSchedule> {
        self.start_rate().map(|rate| StartSchedule {
            rate,
            due: Instant::from_micros(self.start_due.load(Ordering::SeqCst)),
        })
    }

    /// Count a request that starts now, if the rate that the upstream named allows it.
    pub fn try_start(&self, now: Instant) -> bool {
        let Some(rate) = self.start_rate() else {
            return true;
        };
        let started = self
            .start_due
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |due| {
                let due = Instant::from_micros(due);
                let next = StartSchedule { rate, due }.start(now)?;
                Some(next.due.as_micros())
            });
        started.is_ok()
    }

    /// Record that the registry has listed the upstream.
    pub fn set_registered(&self) {
        self.registered.store(true, Ordering::SeqCst);
    }

    /// Report whether the registry has ever listed the upstream.
    #[must_use]
    pub fn was_registered(&self) -> bool {
        self.registered.load(Ordering::SeqCst)
    }

    /// Record whether the upstream is unreachable. Returns the previous value.
    pub fn set_down(&self, down: bool) -> bool {
        self.swap_availability(&self.down, down)
    }

    /// Set a flag that affects availability, and notify listeners of a change.
    fn swap_availability(&self, flag: &AtomicBool, value: bool) -> bool {
        let before = flag.swap(value, Ordering::SeqCst);
        if before != value {
            self.availability.notify(usize::MAX);
        }
        before
    }

    /// Report whether the upstream is unreachable.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Return the inputs of the admission decision for a request of a kind.
    #[must_use]
    pub fn forecast(&self, kind_digest: u32, now: Instant) -> Forecast {
        let mean_micros = self.mean_micros.load(Ordering::Relaxed);
        let service_micros =
            match self.service_micros[kind_index(kind_digest)].load(Ordering::Relaxed) {
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
            starts: self.start_schedule(),
        }
    }

    /// Capture the upstream's state for a request that starts.
    #[must_use]
    pub fn start_conditions(&self, now: Instant) -> StartConditions {
        StartConditions {
            running: self.in_flight(),
            no_slowdown: self.slowdown.is_known_absent(now),
        }
    }

    /// Update the service-time estimates from a completed request.
    ///
    /// `micros` is its service time, in microseconds.
    pub fn record_service_time(&self, kind_digest: u32, micros: u64, start: StartConditions) {
        let estimate = self.service_micros[kind_index(kind_digest)].load(Ordering::Relaxed);
        // Slowness caused by other load on the host says nothing about the
        // upstream's own concurrency limit.
        if estimate > 0 && start.no_slowdown {
            let relative = (micros * 1_000 / u64::from(estimate)).min(MAX_RELATIVE_MILLI);
            let full =
                start.running > KneeDetector::low_band_slots(self.slots.load(Ordering::Relaxed));
            let band = if full { &self.high } else { &self.low };
            band.add(relative);
        }
        let micros = micros.min(u64::from(u32::MAX)) as u32;
        smooth(&self.service_micros[kind_index(kind_digest)], micros);
        smooth(&self.mean_micros, micros);
    }

    /// Start the cold-start ramp of the upstream, from `from` to `until`.
    pub fn warm_up(&self, from: Instant, until: Instant) {
        self.ramp_start.store(from.as_micros(), Ordering::Relaxed);
        self.ramp_end.store(until.as_micros(), Ordering::Relaxed);
    }

    /// Count a request that the upstream completed or shed, for the limiter.
    ///
    /// `micros` is its service time, in microseconds; zero if it was shed.
    pub fn record_completion(&self, micros: u64, shed: bool) {
        self.completed.fetch_add(1, Ordering::Relaxed);
        self.total_micros.fetch_add(micros, Ordering::Relaxed);
        self.shed.fetch_add(u64::from(shed), Ordering::Relaxed);
    }

    /// Return and reset the limiter's counters. For the limiter controller.
    pub fn take_window(&self) -> LimiterWindow {
        let in_flight = self.in_flight();
        LimiterWindow {
            completed: self.completed.swap(0, Ordering::Relaxed),
            total_micros: self.total_micros.swap(0, Ordering::Relaxed),
            peak_in_flight: self.peak_in_flight.swap(in_flight, Ordering::Relaxed),
            shed: self.shed.swap(0, Ordering::Relaxed),
        }
    }

    /// Return and reset the service times by concurrency band. For the limiter controller.
    pub fn take_knee_window(&self) -> KneeWindow {
        KneeWindow {
            low: self.low.take(),
            high: self.high.take(),
        }
    }

    /// Return the load report for entries.
    ///
    /// `closing` is whether the daemon itself takes no requests.
    #[must_use]
    pub fn load_report(&self, now: Instant, closing: bool) -> LoadReport {
        LoadReport {
            in_flight: self.in_flight() + self.waiting(),
            limit: self.limit(),
            ramp_milli: self.ramp_milli(now),
            work_percent: self.slowdown.percent(now).min(u32::from(u16::MAX)) as u16,
            leaving: closing || self.is_leaving() || self.is_down(),
            announced_leaving: self.announced_leaving(),
            start_milli: self.start_milli.load(Ordering::SeqCst),
            start_wait_ms: self.start_wait_ms(now),
        }
    }

    /// Return the time until another request could start by the named rate, in
    /// milliseconds, rounded up.
    fn start_wait_ms(&self, now: Instant) -> u32 {
        let next = self
            .start_schedule()
            .map(|starts| starts.next_start(self.waiting(), now));
        let micros = next.map_or(0, |next| next.micros_since(now));
        u32::try_from(micros.div_ceil(1_000)).unwrap_or(u32::MAX)
    }

    /// Return the share of full load allowed during a cold start, in thousandths.
    fn ramp_milli(&self, now: Instant) -> u16 {
        let start = self.ramp_start.load(Ordering::Relaxed);
        let end = self.ramp_end.load(Ordering::Relaxed);
        let elapsed = now.as_micros().saturating_sub(start);
        let ramp_length = end.saturating_sub(start).max(1);
        (elapsed * 1_000 / ramp_length).clamp(100, 1_000) as u16
    }
}

/// Return the rate of this many thousandths; zero stands for none.
const fn start_rate_of(milli: u32) -> Option<StartRate> {
    match milli {
        0 => None,
        milli => Some(StartRate::from_milli(milli)),
    }
}

/// Return the index of a kind's service-time estimate.
const fn kind_index(kind_digest: u32) -> usize {
    kind_digest as usize % KIND_BUCKETS
}

/// Add one time to an exponentially smoothed estimate.
///
/// One of two concurrent updates may be lost, which does no harm.
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
