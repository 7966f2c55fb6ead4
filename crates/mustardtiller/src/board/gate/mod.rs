//! The gate's state: the load of the upstream beside this daemon.

mod availability;
mod cold;
mod report;
mod starts;
mod times;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use event_listener::Event;

use crate::board::CallerTable;
use crate::board::LongestTimes;
use crate::board::ShedState;
use crate::board::SlowdownState;
use crate::board::Snapshot;
use crate::board::SourceCounts;
use crate::board::gate::times::AtomicBandTimes;
use crate::board::gate::times::INITIAL_SERVICE_MICROS;
use crate::board::gate::times::KIND_BUCKETS;
use mustardtiller_core::Instant;

pub use cold::ColdState;
pub use cold::ReadingStart;
pub use times::StartConditions;

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
    /// What is known of the upstream's temperature.
    pub cold: ColdState,
    /// Whether the upstream sheds although it has room.
    pub shedding: ShedState,
    /// Where requests come from, and which kinds are made by runs.
    pub sources: SourceCounts,
    /// Notified when the upstream starts or stops accepting new requests.
    pub availability: Event,
    /// Rate that the upstream named, in thousandths per second; zero if it named none.
    start_milli: AtomicU32,
    /// When the next request is due by the rate in force, in microseconds.
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
    /// The longest recent service times.
    pub longest: LongestTimes,
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
            cold: ColdState::default(),
            shedding: ShedState::default(),
            sources: SourceCounts::new(),
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
            longest: LongestTimes::new(),
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
}
