//! Selection of a candidate upstream from the board.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Candidate;
use crate::daemon::Node;
use crate::entry::call::Call;
use crate::entry::call::CallBody;
use mustardtiller_core::Availability;
use mustardtiller_core::Instant;
use mustardtiller_core::OfferScope;
use mustardtiller_core::Policy;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Sample;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::choose;

const BYTES_PER_KB: u64 = 1_024;

/// Highest cross-data centre price, in microseconds.
const MAX_FAR_MICROS: u32 = 10_000_000;

/// Number of candidates that are sampled without a heap allocation.
const SAMPLES_ON_STACK: usize = 32;

/// Price of sending a request to another data centre, in microseconds of waiting.
#[derive(Clone, Copy, Debug)]
pub struct FarPrice {
    /// Price of any other data centre, added to the price of the path.
    pub micros: u32,
}

impl FarPrice {
    /// Compute the price for a call from the length of its body.
    ///
    /// It is zero without discovery settings. A body of unknown length counts as empty.
    #[must_use]
    pub fn of(node: &Node, call: &Call) -> Self {
        let Some(discovery) = &node.settings.discovery else {
            return Self { micros: 0 };
        };
        let kilobytes = match &call.body {
            CallBody::Buffered(bytes) => bytes.len() as u64,
            CallBody::Streamed { length, .. } => length.unwrap_or_default(),
        } / BYTES_PER_KB;
        let body_micros = kilobytes.saturating_mul(u64::from(discovery.far_micros_per_kb));
        let micros = body_micros.saturating_add(u64::from(discovery.far_micros));
        Self {
            micros: micros.min(u64::from(MAX_FAR_MICROS)) as u32,
        }
    }
}

/// Where an offer may go, and at which price.
#[derive(Clone, Copy, Debug)]
pub struct Reach {
    /// Price of another data centre.
    pub price: FarPrice,
    /// The regions in which the offer may be made.
    pub scope: OfferScope,
    /// Time left to the target, in microseconds.
    pub left_micros: u64,
}

impl Reach {
    /// Return the reach of an offer that may go anywhere.
    #[must_use]
    pub const fn any(price: FarPrice) -> Self {
        Self {
            price,
            scope: OfferScope::Any,
            left_micros: u64::MAX,
        }
    }

    fn admits(&self, candidate: &Candidate, sample: &Sample) -> bool {
        let latency_micros = u64::from(sample.latency_micros);
        self.scope
            .admits(candidate.in_other_region, latency_micros, self.left_micros)
    }
}

/// Choose a candidate that is not in `excluded`.
///
/// An immediate offer goes to none whose named rate allows no start now. The price of
/// `reach` is added to that of candidates in other data centres.
pub fn pick<'a>(
    candidates: &'a [Arc<Candidate>],
    excluded: &[UpstreamName],
    queue_mode: QueueMode,
    policy: &Policy,
    reach: Reach,
    now: Instant,
    rng: &mut fastrand::Rng,
) -> Option<&'a Arc<Candidate>> {
    let samples: SmallVec<[Sample; SAMPLES_ON_STACK]> = candidates
        .iter()
        .map(|candidate| {
            let mut sample = candidate.sample(now);
            if candidate.in_other_data_centre {
                sample.price_micros = sample.price_micros.saturating_add(reach.price.micros);
            }
            let must_wait = queue_mode == QueueMode::None && sample.start_wait_micros > 0;
            let admitted = reach.admits(candidate, &sample);
            if must_wait || !admitted || excluded.contains(&candidate.upstream.name) {
                sample.availability = Availability::Closed;
            }
            sample
        })
        .collect();
    let choice = choose(&samples, policy, rng)?;
    Some(&candidates[choice.index])
}
