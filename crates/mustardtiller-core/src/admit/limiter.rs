//! An adaptive concurrency limit.

/// Mean latency above which the limit decreases, in percent of the baseline.
const TOLERANCE_PERCENT: u64 = 200;

/// Share of the limit that is left after one decrease, in percent.
const DECREASE_PERCENT: u32 = 85;

/// Share of the limit in use from which it may grow, in percent.
const GROW_FROM_PERCENT: u32 = 80;

/// Weight of one window's mean when the baseline rises, as a divisor.
const BASELINE_RISE_DIVISOR: u64 = 64;

/// The range of the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimiterBounds {
    /// The lowest limit; zero counts as one.
    pub floor: u32,
    /// The highest limit: the configured slots of the upstream.
    pub slots: u32,
}

/// Measurements since the last step.
#[derive(Clone, Copy, Debug, Default)]
pub struct LimiterWindow {
    /// Requests completed.
    pub completed: u64,
    /// Sum of their service times, in microseconds.
    pub total_micros: u64,
    /// Peak number of requests in flight.
    pub peak_in_flight: u32,
    /// Requests that the upstream shed.
    pub shed: u64,
}

/// A concurrency limit that falls with rising latency and grows when fully used.
#[derive(Clone, Debug)]
pub struct Limiter {
    bounds: LimiterBounds,
    limit: u32,
    baseline_micros: u64,
}

impl Limiter {
    /// Create a limiter whose limit is the configured slots.
    #[must_use]
    pub const fn new(bounds: LimiterBounds) -> Self {
        Self {
            bounds,
            limit: bounds.slots,
            baseline_micros: 0,
        }
    }

    /// Return the current limit.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Change the bounds and clamp the limit to them.
    pub fn set_bounds(&mut self, bounds: LimiterBounds) {
        self.bounds = bounds;
        self.limit = self.clamped(self.limit);
    }

    /// Adjust the limit by the measurements of one window, and return it.
    pub fn step(&mut self, window: LimiterWindow) -> u32 {
        if let Some(mean) = window.total_micros.checked_div(window.completed) {
            self.learn_baseline(mean);
            self.limit = self.clamped(self.next_limit(mean, window));
        }
        self.limit
    }

    fn next_limit(&self, mean: u64, window: LimiterWindow) -> u32 {
        let slow = mean * 100 > self.baseline_micros * TOLERANCE_PERCENT;
        let shedding = window.shed * 10 > window.completed;
        let used = window.peak_in_flight * 100 >= self.limit * GROW_FROM_PERCENT;
        if slow || shedding {
            self.limit * DECREASE_PERCENT / 100
        } else if used {
            self.limit + 1
        } else {
            self.limit
        }
    }

    fn learn_baseline(&mut self, mean: u64) {
        if self.baseline_micros == 0 || mean < self.baseline_micros {
            self.baseline_micros = mean;
        } else {
            let rise = (mean - self.baseline_micros) / BASELINE_RISE_DIVISOR;
            self.baseline_micros += rise;
        }
    }

    fn clamped(&self, limit: u32) -> u32 {
        let floor = self.bounds.floor.max(1);
        limit.clamp(floor, self.bounds.slots.max(floor))
    }
}
