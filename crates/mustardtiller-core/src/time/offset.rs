//! The offset between a peer's monotonic clock and the local one.

use smallvec::SmallVec;

use crate::Deadline;
use crate::Instant;

/// Number of recent exchanges that are kept.
const KEPT_SAMPLES: usize = 8;

/// Largest drift between two monotonic clocks, in parts per million.
const DRIFT_PPM: u64 = 200;

/// Error bound above which another exchange is due, in microseconds.
///
/// Every deadline is made earlier by the error bound. This is a small part of the
/// deadlines in use, and more than half a round trip between regions.
const MAX_ERROR_MICROS: u64 = 25_000;

/// One exchange of clock readings with a peer.
#[derive(Clone, Copy, Debug)]
pub struct ClockSample {
    /// When the request was sent, by the local clock.
    pub sent: Instant,
    /// When the reply was received, by the local clock.
    pub received: Instant,
    /// The peer's clock reading in between.
    pub peer: Instant,
}

impl ClockSample {
    /// Return the peer's clock minus the local clock, in microseconds.
    fn offset_micros(&self) -> i64 {
        let middle = self.sent.as_micros().midpoint(self.received.as_micros());
        self.peer.as_micros() as i64 - middle as i64
    }

    /// Return the time from the request to the reply, in microseconds.
    fn round_trip_micros(&self) -> u64 {
        self.received.micros_since(self.sent)
    }

    /// Return the error bound of the offset at `now`, in microseconds.
    fn error_micros(&self, now: Instant) -> u64 {
        let half_trip = self.round_trip_micros().div_ceil(2);
        let drift = now.micros_since(self.received) * DRIFT_PPM / 1_000_000;
        half_trip + drift
    }
}

/// An estimate of a peer's clock from recent exchanges.
///
/// The exchange with the smallest error bound is used, so a pause of either
/// process during another exchange does not affect the estimate.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::ClockOffset;
/// use mustardtiller_core::ClockSample;
/// use mustardtiller_core::Deadline;
/// use mustardtiller_core::Instant;
///
/// let at = Instant::from_micros;
/// let mut offset = ClockOffset::default();
/// offset.observe(ClockSample { sent: at(100), received: at(120), peer: at(5_110) });
/// let there = offset.to_peer(Deadline::at(at(1_000)), at(120)).unwrap();
/// assert_eq!(there, Deadline::at(at(5_990)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ClockOffset {
    samples: SmallVec<[ClockSample; KEPT_SAMPLES]>,
}

impl ClockOffset {
    /// Add an exchange, and drop the oldest if there are too many.
    pub fn observe(&mut self, sample: ClockSample) {
        if self.samples.len() == KEPT_SAMPLES {
            self.samples.remove(0);
        }
        self.samples.push(sample);
    }

    /// Convert a deadline to the peer's clock, earlier by the error bound.
    ///
    /// Returns `None` before the first exchange.
    #[must_use]
    pub fn to_peer(&self, deadline: Deadline, now: Instant) -> Option<Deadline> {
        let best = self.best(now)?;
        let shifted = deadline
            .instant()
            .as_micros()
            .saturating_add_signed(best.offset_micros());
        let early = shifted.saturating_sub(best.error_micros(now));
        Some(Deadline::at(Instant::from_micros(early)))
    }

    /// Estimate the peer's clock reading at `now`.
    ///
    /// Returns `None` before the first exchange.
    #[must_use]
    pub fn peer_now(&self, now: Instant) -> Option<Instant> {
        let best = self.best(now)?;
        let there = now.as_micros().saturating_add_signed(best.offset_micros());
        Some(Instant::from_micros(there))
    }

    /// Return the shortest round trip of the recent exchanges, in microseconds.
    ///
    /// Zero before the first exchange.
    #[must_use]
    pub fn round_trip_micros(&self) -> u64 {
        let trips = self.samples.iter().map(ClockSample::round_trip_micros);
        trips.min().unwrap_or(0)
    }

    /// Report whether another exchange is due: there was none, or its error is too large.
    #[must_use]
    pub fn needs_exchange(&self, now: Instant) -> bool {
        let best = self.best(now);
        best.is_none_or(|best| best.error_micros(now) > MAX_ERROR_MICROS)
    }

    fn best(&self, now: Instant) -> Option<&ClockSample> {
        self.samples.iter().min_by_key(|s| s.error_micros(now))
    }
}
