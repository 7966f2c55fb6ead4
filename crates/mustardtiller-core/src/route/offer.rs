//! To how many gates a request is offered, and how long each may keep it.

use crate::QueueMode;

/// How a request is offered to gates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OfferRule {
    /// Offers that a gate takes only if the request can start at once.
    pub immediate: u32,
    /// Offers that a gate may queue.
    pub queued: u32,
}

/// The offers of one request.
///
/// A gate knows its upstream at the instant of the decision, and its refusal
/// costs a round trip and nothing else. So a request looks for a free slot
/// first, and waits only when the likeliest gates have none.
#[derive(Clone, Copy, Debug)]
pub struct Offers {
    left: OfferRule,
}

impl Offers {
    /// Begin with no offer made.
    #[must_use]
    pub const fn new(rule: OfferRule) -> Self {
        Self { left: rule }
    }

    /// Return how long the next offer may be kept, or `None` after the last.
    #[must_use]
    pub const fn next(&self) -> Option<QueueMode> {
        if self.left.immediate > 0 {
            Some(QueueMode::None)
        } else if self.left.queued > 0 {
            Some(QueueMode::Queue)
        } else {
            None
        }
    }

    /// Record an offer that was refused.
    pub const fn refused(&mut self, queue_mode: QueueMode) {
        match queue_mode {
            QueueMode::None => self.left.immediate = self.left.immediate.saturating_sub(1),
            QueueMode::Queue => self.left.queued = self.left.queued.saturating_sub(1),
        }
    }

    /// Turn to offers that may be queued, because no other gate is left to try.
    pub const fn skip_immediate(&mut self) {
        self.left.immediate = 0;
    }
}
