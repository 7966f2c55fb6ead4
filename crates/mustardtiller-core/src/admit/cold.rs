//! Whether an upstream is cold, by the last reading and what has happened since.

use crate::Instant;
use crate::StartRate;

/// Age from which a reading no longer shows that the upstream is warm, in microseconds.
///
/// The starts since a reading bound what a cold upstream gets; the age only bounds how
/// long a gate believes what it has not seen confirmed.
const MAX_READING_AGE_MICROS: u64 = 2_000_000;

/// Starts after a reading that are allowed at any rate.
const UNREAD_STARTS: u32 = 3;

/// Thousandths of a request per second, per start after a reading: half a second's worth.
const MILLI_PER_UNREAD_START: u32 = 2_000;

/// What operators state about a cold start of a service's upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdStart {
    /// Length of a cold start, in milliseconds.
    pub length_ms: u64,
    /// Rate of requests that a cold upstream bears, from all hosts together.
    pub rate: StartRate,
}

impl ColdStart {
    /// Return how many requests may start after a reading before the next is needed.
    #[must_use]
    pub const fn unread_starts(&self) -> u32 {
        UNREAD_STARTS + self.rate.as_milli() / MILLI_PER_UNREAD_START
    }
}

/// Whether an upstream is cold, as far as its gate knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Temperature {
    /// It takes requests at any rate.
    Warm,
    /// It said that it is cold.
    Cold,
    /// Nothing recent shows that it is warm.
    Unknown,
}

impl Temperature {
    /// Report whether the rate of a cold upstream applies.
    #[must_use]
    pub const fn is_capped(self) -> bool {
        !matches!(self, Self::Warm)
    }
}

/// The last reading of an upstream's temperature, and the starts since.
///
/// The load that this answers: an upstream that becomes cold at any moment, without a
/// new registration, while requests arrive at several times the rate that it bears. A
/// reading holds for few starts, so only few are sent before the next one tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdReading {
    /// When the probe that found the upstream warm was sent; `None` if a doubt is newer.
    pub warm_at: Option<Instant>,
    /// Until when the upstream said that it is cold.
    pub cold_until: Instant,
    /// Requests started since the last probe that found it warm was sent.
    pub starts_since: u32,
}

impl ColdReading {
    /// Return the upstream's temperature at `now`.
    #[must_use]
    pub fn temperature(&self, rule: &ColdStart, now: Instant) -> Temperature {
        if self.cold_until > now {
            return Temperature::Cold;
        }
        let holds = self.warm_at.is_some_and(|at| {
            now.micros_since(at) < MAX_READING_AGE_MICROS
                && self.starts_since < rule.unread_starts()
        });
        if holds {
            Temperature::Warm
        } else {
            Temperature::Unknown
        }
    }

    /// Report whether another reading should be taken before it is needed.
    #[must_use]
    pub fn wants_reading(&self, rule: &ColdStart, now: Instant) -> bool {
        match self.temperature(rule, now) {
            Temperature::Cold => false,
            Temperature::Unknown => true,
            Temperature::Warm => self.starts_since * 2 >= rule.unread_starts(),
        }
    }
}
