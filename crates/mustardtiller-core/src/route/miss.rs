//! What a routing table proves about a request that it has no route for.

use crate::Deadline;
use crate::Instant;
use crate::NotRunReason;
use crate::Version;

/// How current the view is in which a request has no route.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::Deadline;
/// use mustardtiller_core::Instant;
/// use mustardtiller_core::MissView;
/// use mustardtiller_core::NotRunReason;
/// use mustardtiller_core::Version;
///
/// let version = |revision| Version { revision, ..Version::NONE };
/// let now = Instant::from_micros(0);
/// let view = MissView {
///     derived: version(3),
///     in_force: version(4),
///     doubted_until: Deadline::at(now),
/// };
/// assert_eq!(view.refuse(NotRunReason::NoKind, now), NotRunReason::NoConfiguration);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct MissView {
    /// The version from which the routes are derived; its revision is zero if there is none.
    pub derived: Version,
    /// The version of the configuration in force.
    pub in_force: Version,
    /// Until when that configuration may be outdated.
    pub doubted_until: Deadline,
}

impl MissView {
    /// Return why the request is refused: `miss`, if the view proves that it has no route.
    #[must_use]
    pub fn refuse(self, miss: NotRunReason, now: Instant) -> NotRunReason {
        let lags = self.derived.revision == 0 || self.derived < self.in_force;
        if lags || !self.doubted_until.has_passed(now) {
            NotRunReason::NoConfiguration
        } else {
            miss
        }
    }
}
