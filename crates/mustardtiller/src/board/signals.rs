//! Load, latency and error signals of one upstream, as atomics.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::board::Announcement;
use mustardtiller_core::Availability;
use mustardtiller_core::ErrorRate;
use mustardtiller_core::Instant;
use mustardtiller_core::NestedKinds;
use mustardtiller_core::Sample;
use mustardtiller_wire::LoadReport;

/// Weight of one answer in the smoothed latency, as a divisor.
const LATENCY_DIVISOR: u32 = 8;

/// Latency assumed before the first answer, in microseconds.
const INITIAL_LATENCY_MICROS: u32 = 1_000;

/// The signals by which an entry judges one upstream.
///
/// Every task that gets an answer or a load report writes them, each field
/// separately. A reader may see fields of two reports, which is no worse than
/// one slightly older report. Only the health controller starts ejections.
#[derive(Debug)]
pub struct Signals {
    outstanding: AtomicU32,
    reported: AtomicU32,
    reported_at: AtomicU64,
    outstanding_at_report: AtomicU32,
    slots: AtomicU32,
    ramp_milli: AtomicU32,
    work_percent: AtomicU32,
    leaving: AtomicBool,
    latency_micros: AtomicU32,
    latency_at: AtomicU64,
    error_milli: AtomicU32,
    error_at: AtomicU64,
    eject_until: AtomicU64,
    ejections: AtomicU32,
    listed_leaving: AtomicBool,
    /// Whether the upstream has said itself that it is leaving.
    announcement: Announcement,
    start_milli: AtomicU32,
    /// When the named rate allows another request, in microseconds.
    next_start: AtomicU64,
    /// Until when to avoid the upstream, since it sheds, in microseconds.
    shed_until: AtomicU64,
    /// When a new request is likely to get a slot, in microseconds.
    slot_at: AtomicU64,
    /// Kinds of request that runs make, by the gate's last report.
    nested_kinds: AtomicU64,
}

impl Signals {
    /// Create the signals of an upstream with `slots` before its first report.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        Self {
            outstanding: AtomicU32::new(0),
            reported: AtomicU32::new(0),
            reported_at: AtomicU64::new(0),
            outstanding_at_report: AtomicU32::new(0),
            slots: AtomicU32::new(slots),
            ramp_milli: AtomicU32::new(1_000),
            work_percent: AtomicU32::new(100),
            leaving: AtomicBool::new(false),
            latency_micros: AtomicU32::new(INITIAL_LATENCY_MICROS),
            latency_at: AtomicU64::new(0),
            error_milli: AtomicU32::new(0),
            error_at: AtomicU64::new(0),
            eject_until: AtomicU64::new(0),
            ejections: AtomicU32::new(0),
            listed_leaving: AtomicBool::new(false),
            announcement: Announcement::new(),
            start_milli: AtomicU32::new(0),
            next_start: AtomicU64::new(0),
            shed_until: AtomicU64::new(0),
            slot_at: AtomicU64::new(0),
            nested_kinds: AtomicU64::new(0),
        }
    }

    /// Count a request sent to the upstream.
    pub fn request_started(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
    }

    /// Count a request to the upstream as ended.
    pub fn request_ended(&self) {
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
    }

    /// Record a load report of the upstream's gate.
    pub fn record_load(&self, load: LoadReport, now: Instant) {
        let outstanding = self.outstanding.load(Ordering::Relaxed);
        self.outstanding_at_report
            .store(outstanding, Ordering::Relaxed);
        self.reported.store(load.in_flight, Ordering::Relaxed);
        self.reported_at.store(now.as_micros(), Ordering::Relaxed);
        self.slots.store(load.limit.max(1), Ordering::Relaxed);
        self.ramp_milli
            .store(u32::from(load.ramp_milli), Ordering::Relaxed);
        self.work_percent
            .store(u32::from(load.work_percent), Ordering::Relaxed);
        self.leaving.store(load.leaving, Ordering::Relaxed);
        self.announcement.hear(load.announced_leaving);
        self.start_milli.store(load.start_milli, Ordering::Relaxed);
        let next_start = now.plus_micros(u64::from(load.start_wait_ms) * 1_000);
        self.next_start
            .store(next_start.as_micros(), Ordering::Relaxed);
        let shed_until = match load.shed_wait_ms {
            0 => Instant::from_micros(0),
            millis => now.plus_micros(u64::from(millis) * 1_000),
        };
        self.shed_until
            .store(shed_until.as_micros(), Ordering::Relaxed);
        let slot_at = now.plus_micros(u64::from(load.queue_wait_ms) * 1_000);
        self.slot_at.store(slot_at.as_micros(), Ordering::Relaxed);
        self.nested_kinds
            .store(load.nested_kinds, Ordering::Relaxed);
    }

    /// Return when a new request is likely to get a slot, by the gate's last report.
    #[must_use]
    pub fn slot_at(&self) -> Instant {
        Instant::from_micros(self.slot_at.load(Ordering::Relaxed))
    }

    /// Return the kinds of request that runs make, as far as the gate knows.
    #[must_use]
    pub fn nested_kinds(&self) -> NestedKinds {
        NestedKinds(self.nested_kinds.load(Ordering::Relaxed))
    }

    /// Report whether its gate says that the upstream sheds although it has room.
    #[must_use]
    pub fn is_shedding(&self, now: Instant) -> bool {
        now.as_micros() < self.shed_until.load(Ordering::Relaxed)
    }

    /// Return the rate that the upstream named, in thousandths per second; zero if none.
    #[must_use]
    pub fn start_milli(&self) -> u32 {
        self.start_milli.load(Ordering::Relaxed)
    }

    /// Return when the rate that the upstream named allows another request.
    ///
    /// Returns `None` if it names none, or if a request may start now.
    #[must_use]
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        let next_start = Instant::from_micros(self.next_start.load(Ordering::Relaxed));
        (self.start_milli() > 0 && next_start > now).then_some(next_start)
    }

    /// Record that the gate accepts no new requests.
    pub fn note_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Record an answer's latency, in microseconds, and whether it was an error.
    ///
    /// An error does not affect the smoothed latency. Returns the updated error rate.
    pub fn record_answer(&self, micros: u64, error: bool, now: Instant) -> ErrorRate {
        if !error {
            self.smooth_latency(micros.min(u64::from(u32::MAX)) as u32, now);
        }
        self.count_error(error, now)
    }

    /// Record an attempt that failed without an answer. Returns the updated error rate.
    pub fn record_failure(&self, now: Instant) -> ErrorRate {
        self.count_error(true, now)
    }

    /// Record whether the registry or host list marks the upstream as leaving.
    pub fn set_listed_leaving(&self, leaving: bool) {
        self.listed_leaving.store(leaving, Ordering::Relaxed);
    }

    /// Report whether the gate, registry or host list says that the upstream is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
            || self.listed_leaving.load(Ordering::Relaxed)
            || self.announced_leaving()
    }

    /// Report whether the upstream has said itself that it is leaving.
    #[must_use]
    pub fn announced_leaving(&self) -> bool {
        self.announcement.is_leaving()
    }

    /// Forget what the upstream said before it started again.
    pub fn forget_announcement(&self) {
        self.announcement.forget();
    }

    /// Return the smoothed latency, in microseconds.
    #[must_use]
    pub fn latency_micros(&self) -> u32 {
        self.latency_micros.load(Ordering::Relaxed)
    }

    /// Return the smoothed error rate.
    #[must_use]
    pub fn error_rate(&self) -> ErrorRate {
        ErrorRate::from_milli(self.error_milli.load(Ordering::Relaxed))
    }

    /// Return the number of ejections since the error rate was last zero.
    #[must_use]
    pub fn ejections(&self) -> u32 {
        self.ejections.load(Ordering::Relaxed)
    }

    /// Eject the upstream until an instant. For the health controller.
    pub fn eject_until(&self, until: Instant) {
        self.ejections.fetch_add(1, Ordering::Relaxed);
        // Halved, so that only further errors eject it again, while it stays less
        // preferred than an upstream without errors.
        self.error_milli
            .store(self.error_rate().as_milli() / 2, Ordering::Relaxed);
        self.eject_until.store(until.as_micros(), Ordering::Relaxed);
    }

    /// Report whether the upstream is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        now.as_micros() < self.eject_until.load(Ordering::Relaxed)
    }

    /// Read all signals for choosing an upstream.
    ///
    /// `link_up` is whether the link to the upstream's daemon is up, `price_micros`
    /// the cost of reaching it, in microseconds of latency.
    #[must_use]
    pub fn sample(&self, link_up: bool, price_micros: u32, now: Instant) -> Sample {
        let age = |at: &AtomicU64| now.as_micros().saturating_sub(at.load(Ordering::Relaxed));
        Sample {
            availability: self.availability(link_up, now),
            reported: self.reported.load(Ordering::Relaxed),
            report_age_micros: age(&self.reported_at),
            outstanding: self.outstanding.load(Ordering::Relaxed),
            outstanding_at_report: self.outstanding_at_report.load(Ordering::Relaxed),
            slots: self.slots.load(Ordering::Relaxed),
            latency_micros: self.latency_micros.load(Ordering::Relaxed),
            latency_age_micros: age(&self.latency_at),
            error_milli: self.error_milli.load(Ordering::Relaxed),
            error_age_micros: age(&self.error_at),
            ramp_milli: self.ramp_milli.load(Ordering::Relaxed),
            work_percent: self.work_percent.load(Ordering::Relaxed),
            start_wait_micros: self.next_start(now).map_or(0, |at| at.micros_since(now)),
            price_micros,
        }
    }

    fn availability(&self, link_up: bool, now: Instant) -> Availability {
        if !link_up || self.is_leaving() {
            Availability::Closed
        } else if self.is_ejected(now) {
            Availability::Ejected
        } else {
            Availability::Live
        }
    }

    fn smooth_latency(&self, micros: u32, now: Instant) {
        let old = self.latency_micros.load(Ordering::Relaxed);
        let step = old.abs_diff(micros).div_ceil(LATENCY_DIVISOR);
        let new = if micros > old { old + step } else { old - step };
        self.latency_micros.store(new, Ordering::Relaxed);
        self.latency_at.store(now.as_micros(), Ordering::Relaxed);
    }

    fn count_error(&self, error: bool, now: Instant) -> ErrorRate {
        let rate = self.error_rate().after(error);
        self.error_milli.store(rate.as_milli(), Ordering::Relaxed);
        if rate.as_milli() == 0 {
            self.ejections.store(0, Ordering::Relaxed);
        }
        if error {
            self.error_at.store(now.as_micros(), Ordering::Relaxed);
        }
        rate
    }
}
