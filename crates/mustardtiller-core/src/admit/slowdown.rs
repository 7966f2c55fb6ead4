//! An upstream's momentary slowdown, and how long a request should wait for its end.

/// Service time from which an upstream counts as slow, in percent of the usual.
pub const SLOW_PERCENT: u32 = 250;

/// Service time of an upstream without a slowdown, in percent.
const USUAL_PERCENT: u32 = 100;

/// Wait after which a transient slowdown is likely to have ended, in microseconds.
///
/// Hosts that share their processor change speed about every 150 ms.
const EXPECTED_WAIT_MICROS: u64 = 100_000;

/// Duration from which a slowdown counts as lasting, not transient, in microseconds.
const LASTING_MICROS: u64 = 600_000;

/// How much longer than usual an upstream's work takes at this moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slowdown {
    /// Current service time, in percent of the usual.
    pub percent: u32,
    /// How long the upstream has been slow, in microseconds; otherwise zero.
    pub slow_micros: u64,
}

impl Slowdown {
    /// No slowdown; also assumed where nothing is known.
    pub const NONE: Self = Self {
        percent: USUAL_PERCENT,
        slow_micros: 0,
    };

    /// Report whether work takes at least [`SLOW_PERCENT`] of its usual time.
    #[must_use]
    pub const fn is_slow(&self) -> bool {
        self.percent >= SLOW_PERCENT
    }

    /// Report whether the upstream is slow, but likely not for long.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        self.is_slow() && self.slow_micros < LASTING_MICROS
    }

    /// Return the service time of work that starts now, in microseconds.
    ///
    /// `service_micros` is the usual service time of that work.
    #[must_use]
    pub const fn slowed_micros(&self, service_micros: u64) -> u64 {
        service_micros * self.percent as u64 / USUAL_PERCENT as u64
    }

    /// Return how long a request should wait for the slowdown to end, in microseconds.
    ///
    /// A request's service time is decided when it starts: one that starts
    /// during a slowdown stays slow after its end. The wait is zero for a short
    /// request, which loses less by a slow start than by waiting, and during a
    /// lasting slowdown, whose end would take too long to wait for.
    #[must_use]
    pub const fn slowdown_wait_micros(&self, service_micros: u64) -> u64 {
        if !self.is_transient() {
            return 0;
        }
        let added = self.slowed_micros(service_micros) - service_micros;
        if added > EXPECTED_WAIT_MICROS {
            EXPECTED_WAIT_MICROS
        } else {
            0
        }
    }
}
