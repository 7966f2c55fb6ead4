//! One upstream as an entry sees it.

use std::sync::Arc;

use crate::board::Signals;
use crate::link::LinkSlot;
use mustardtiller_config::Upstream;
use mustardtiller_core::Instant;
use mustardtiller_core::Sample;
use mustardtiller_core::ServiceName;

/// An upstream that requests may be sent to. Written by the routes controller.
#[derive(Debug)]
pub struct Candidate {
    /// The upstream's object.
    pub upstream: Arc<Upstream>,
    /// Its service.
    pub service: ServiceName,
    /// It stands in another place.
    pub in_other_place: bool,
    /// Price of reaching it from here, in microseconds.
    pub price_micros: u32,
    /// What is heard of it; outlives snapshots.
    pub signals: Arc<Signals>,
    /// The link to its daemon; outlives snapshots.
    pub slot: Arc<LinkSlot>,
}

impl Candidate {
    /// Read what a choice needs.
    #[must_use]
    pub fn sample(&self, now: Instant) -> Sample {
        self.signals
            .sample(self.slot.is_up(), self.price_micros, now)
    }
}
