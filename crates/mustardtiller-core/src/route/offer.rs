//! The offers of a request to gates: first without queueing, then with.

use crate::QueueMode;

/// The number of offers of a request, by whether the gate may queue it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OfferRule {
    /// Offers that a gate accepts only if the request can start at once.
    pub immediate: u32,
    /// Offers that a gate may queue.
    pub queued: u32,
}

impl OfferRule {
    /// Return the rule for a service of which `free` upstreams may have a free slot.
    ///
    /// Answers a burst that fills a service: an offer for an immediate start to a gate
    /// that has just reported a queue costs a round trip and is refused.
    #[must_use]
    pub const fn with_room(self, free: u32) -> Self {
        let immediate = if free < self.immediate {
            free
        } else {
            self.immediate
        };
        Self { immediate, ..self }
    }
}

/// The remaining offers of one request.
///
/// Only a gate knows the state of its upstream at the instant of the decision,
/// and its refusal costs no more than a round trip. So a request is offered for
/// an immediate start first, and queued only if the gates most likely to have a
/// free slot refuse it.
#[derive(Clone, Copy, Debug)]
pub struct Offers {
    left: OfferRule,
}

impl Offers {
    /// Create the offers of a request that has not been offered yet.
    #[must_use]
    pub const fn new(rule: OfferRule) -> Self {
        Self { left: rule }
    }

    /// Return whether the next offer may be queued, or `None` after the last.
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

    /// Record that an offer was refused.
    pub const fn record_refusal(&mut self, queue_mode: QueueMode) {
        match queue_mode {
            QueueMode::None => self.left.immediate = self.left.immediate.saturating_sub(1),
            QueueMode::Queue => self.left.queued = self.left.queued.saturating_sub(1),
        }
    }

    /// Skip the remaining immediate offers, because no other gate is left for them.
    pub const fn skip_immediate(&mut self) {
        self.left.immediate = 0;
    }
}
