//! What the gate reports: to its admission, and to entries.

use std::sync::atomic::Ordering;

use super::GateState;
use super::times::kind_index;
use mustardtiller_core::Forecast;
use mustardtiller_core::Instant;
use mustardtiller_core::StartSchedule;
use mustardtiller_wire::LoadReport;

impl GateState {
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
            starts: self.start_schedule(now),
        }
    }

    /// Start the cold-start ramp of the upstream, from `from` to `until`.
    pub fn warm_up(&self, from: Instant, until: Instant) {
        self.ramp_start.store(from.as_micros(), Ordering::Relaxed);
        self.ramp_end.store(until.as_micros(), Ordering::Relaxed);
    }

    /// Return the load report for entries.
    ///
    /// `closing` is whether the daemon itself takes no requests.
    #[must_use]
    pub fn load_report(&self, now: Instant, closing: bool) -> LoadReport {
        let starts = self.reported_schedule(now);
        LoadReport {
            in_flight: self.in_flight() + self.waiting(),
            limit: self.limit(),
            ramp_milli: self.ramp_milli(now),
            work_percent: self.slowdown.percent(now).min(u32::from(u16::MAX)) as u16,
            leaving: closing || self.is_leaving() || self.is_down(),
            announced_leaving: self.announced_leaving(),
            start_milli: starts.map_or(0, |starts| starts.rate.as_milli()),
            start_wait_ms: self.start_wait_ms(starts, now),
            shed_wait_ms: self.shedding.wait_ms(now),
            queue_wait_ms: self.queue_wait_ms(),
            nested_kinds: self.sources.nested().0,
        }
    }

    /// Return the expected wait of a new request for a slot, in milliseconds.
    fn queue_wait_ms(&self) -> u16 {
        let limit = self.limit();
        let excess = (self.in_flight() + self.waiting() + 1).saturating_sub(limit);
        let mean_micros = u64::from(self.mean_micros.load(Ordering::Relaxed));
        let micros = u64::from(excess) * mean_micros / u64::from(limit.max(1));
        u16::try_from(micros / 1_000).unwrap_or(u16::MAX)
    }

    /// Return the time until another request could start by the schedule, in
    /// milliseconds, rounded up.
    fn start_wait_ms(&self, starts: Option<StartSchedule>, now: Instant) -> u32 {
        let next = starts.map(|starts| starts.next_start(self.waiting(), now));
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
