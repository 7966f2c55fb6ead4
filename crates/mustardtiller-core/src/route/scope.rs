//! Which regions an offer may go to.

use crate::QueueMode;

/// Refusals by gates of the own region before a call is offered in another.
///
/// Each was the best of several candidates, so three that have no free slot leave little
/// doubt that the region has none.
const HOME_REFUSALS: u32 = 3;

/// The regions in which an offer may be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferScope {
    /// The own region.
    Home,
    /// Other regions, if the answer can come in time.
    Elsewhere,
    /// Any region.
    Any,
}

impl OfferScope {
    /// Return where the next offer of a call may go.
    ///
    /// It answers demand that swells in one region and then in the other. A call leaves
    /// its region only for a slot that is free at that moment, after gates at home had
    /// none. So the overflow crosses as far as there is room, and nothing else does.
    ///
    /// `refused` is how many gates have refused the call a start at once, `free_at_home`
    /// how many others of the own region may have a slot, by their last reports.
    #[must_use]
    pub const fn of_offer(queue_mode: QueueMode, refused: u32, free_at_home: u32) -> Self {
        match queue_mode {
            QueueMode::None if refused >= HOME_REFUSALS || free_at_home == 0 => Self::Elsewhere,
            QueueMode::None | QueueMode::Queue => Self::Home,
        }
    }

    /// Return where else an offer may go if no upstream in this scope can be chosen.
    #[must_use]
    pub const fn otherwise(self, queue_mode: QueueMode) -> Option<Self> {
        match (self, queue_mode) {
            (Self::Home, QueueMode::None) => Some(Self::Elsewhere),
            (Self::Home, QueueMode::Queue) => Some(Self::Any),
            (Self::Elsewhere, QueueMode::None) => Some(Self::Home),
            (Self::Elsewhere, QueueMode::Queue) | (Self::Any, _) => None,
        }
    }

    /// Report whether an upstream may get the offer.
    ///
    /// `latency_micros` is its usual latency as seen from here, `left_micros` the time
    /// left to the target.
    #[must_use]
    pub const fn admits(self, elsewhere: bool, latency_micros: u64, left_micros: u64) -> bool {
        match self {
            Self::Home => !elsewhere,
            Self::Elsewhere => elsewhere && latency_micros <= left_micros,
            Self::Any => true,
        }
    }
}
