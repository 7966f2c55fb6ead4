//! How fast an upstream works at this moment, and what that means for who wants to start.

/// Time of work from which an upstream counts as slow at this moment, in percent of the usual.
pub const SLOW_PERCENT: u32 = 250;

/// Work that takes as long as usual, in percent.
const USUAL_PERCENT: u32 = 100;

/// Time after which a slow spell is likely to be over, in microseconds: hosts
/// that share their processor change speed about every 150 ms.
const SPELL_MICROS: u64 = 100_000;

/// Age from which slowness counts as a state of the upstream, not as a spell, in microseconds.
const LONG_SPELL_MICROS: u64 = 600_000;

/// How fast an upstream works at this moment, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slowdown {
    /// Time that work takes, in percent of the usual.
    pub percent: u32,
    /// How long it has been slow, in microseconds; zero if it is not.
    pub slow_micros: u64,
}

impl Slowdown {
    /// The speed of an upstream of which nothing else is known.
    pub const NONE: Self = Self {
        percent: USUAL_PERCENT,
        slow_micros: 0,
    };

    /// Report whether work takes much longer than usual.
    #[must_use]
    pub const fn is_slow(&self) -> bool {
        self.percent >= SLOW_PERCENT
    }

    /// Report whether the slow spell is likely to be over soon.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        self.is_slow() && self.slow_micros < LONG_SPELL_MICROS
    }

    /// Return how long work of a usual time takes if it starts now, in microseconds.
    #[must_use]
    pub const fn slowed_micros(&self, service_micros: u64) -> u64 {
        service_micros * self.percent as u64 / USUAL_PERCENT as u64
    }

    /// Return how long a request better waits for the upstream to work as usual, in microseconds.
    ///
    /// The time that a request takes is decided when it starts: one that
    /// starts in a slow spell stays slow after its end. A short one loses less
    /// by that than by waiting, and one that would wait for long starts.
    #[must_use]
    pub const fn spell_micros(&self, service_micros: u64) -> u64 {
        if !self.is_transient() {
            return 0;
        }
        let lost = self.slowed_micros(service_micros) - service_micros;
        if lost > SPELL_MICROS { SPELL_MICROS } else { 0 }
    }
}
