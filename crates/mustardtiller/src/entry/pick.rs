//! The choice of a candidate from the board.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Candidate;
use mustardtiller_core::Instant;
use mustardtiller_core::Policy;
use mustardtiller_core::Sample;
use mustardtiller_core::Standing;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::choose;

/// Candidates sampled without allocating.
const SAMPLES_ON_STACK: usize = 32;

/// Choose a candidate that is not among `tried`.
pub fn pick<'a>(
    candidates: &'a [Arc<Candidate>],
    tried: &[UpstreamName],
    policy: &Policy,
    now: Instant,
    rng: &mut fastrand::Rng,
) -> Option<&'a Arc<Candidate>> {
    let samples: SmallVec<[Sample; SAMPLES_ON_STACK]> = candidates
        .iter()
        .map(|candidate| {
            let mut sample = candidate.sample(now);
            if tried.contains(&candidate.upstream.name) {
                sample.standing = Standing::Closed;
            }
            sample
        })
        .collect();
    let choice = choose(&samples, policy, rng)?;
    Some(&candidates[choice.index])
}
