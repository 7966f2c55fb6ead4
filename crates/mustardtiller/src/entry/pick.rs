//! The choice of a candidate from the board.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Candidate;
use crate::daemon::Node;
use crate::entry::call::Call;
use crate::entry::call::CallBody;
use mustardtiller_core::Availability;
use mustardtiller_core::Instant;
use mustardtiller_core::Policy;
use mustardtiller_core::Sample;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::choose;

/// Bytes in a kilobyte.
const BYTES_PER_KB: u64 = 1_024;

/// Highest price of another place, in microseconds.
const MAX_FAR_MICROS: u32 = 10_000_000;

/// Candidates sampled without allocating.
const SAMPLES_ON_STACK: usize = 32;

/// What a request to another place costs, in microseconds of waiting.
#[derive(Clone, Copy, Debug)]
pub struct PlacePrice {
    /// Price of any other place.
    pub far_micros: u32,
}

impl PlacePrice {
    /// Return the price for a call, by the bytes that it would move.
    #[must_use]
    pub fn of(node: &Node, call: &Call) -> Self {
        let Some(discovery) = &node.settings.discovery else {
            return Self { far_micros: 0 };
        };
        let kilobytes = match &call.body {
            CallBody::Buffered(bytes) => bytes.len() as u64,
            CallBody::Streamed { length, .. } => length.unwrap_or_default(),
        } / BYTES_PER_KB;
        let body = kilobytes.saturating_mul(u64::from(discovery.far_micros_per_kb));
        let micros = body.saturating_add(u64::from(discovery.far_micros));
        Self {
            far_micros: micros.min(u64::from(MAX_FAR_MICROS)) as u32,
        }
    }
}

/// Choose a candidate that is not among `tried`.
pub fn pick<'a>(
    candidates: &'a [Arc<Candidate>],
    tried: &[UpstreamName],
    policy: &Policy,
    place: PlacePrice,
    now: Instant,
    rng: &mut fastrand::Rng,
) -> Option<&'a Arc<Candidate>> {
    let samples: SmallVec<[Sample; SAMPLES_ON_STACK]> = candidates
        .iter()
        .map(|candidate| {
            let mut sample = candidate.sample(now);
            if candidate.in_other_place {
                sample.price_micros = sample.price_micros.saturating_add(place.far_micros);
            }
            if tried.contains(&candidate.upstream.name) {
                sample.availability = Availability::Closed;
            }
            sample
        })
        .collect();
    let choice = choose(&samples, policy, rng)?;
    Some(&candidates[choice.index])
}
