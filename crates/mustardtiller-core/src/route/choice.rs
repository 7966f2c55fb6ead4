//! The choice of an upstream from samples.

use smallvec::SmallVec;

use crate::Availability;
use crate::Sample;

/// Candidates looked at in one choice, kept on the stack.
const MAX_LOOKED_AT: usize = 32;

/// Time that one error is worth at full error rate, in microseconds.
const ERROR_PENALTY_MICROS: u64 = 2_000_000;

/// Least time of an answer that a score assumes, in microseconds.
const LEAST_LATENCY_MICROS: u64 = 200;

/// Work that takes as long as usual, in percent.
const USUAL_WORK_PERCENT: u64 = 100;

/// Age at which a smoothed latency counts for half, in microseconds.
const LATENCY_HALF_LIFE_MICROS: u64 = 1_000_000;

/// Age at which a smoothed error rate counts for half, in microseconds.
const ERROR_HALF_LIFE_MICROS: u64 = 500_000;

/// What a kind of request weighs more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preference {
    /// Tail latency: a distant place is taken to save waiting.
    Latency,
    /// Cost: waiting is taken to save a distant place.
    Cost,
}

/// How choices are made.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Candidates drawn at random for one choice.
    pub draws: usize,
    /// Age at which a report counts for half, in microseconds.
    pub half_life_micros: u64,
    /// What is weighed more.
    pub weigh: Preference,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            draws: 4,
            half_life_micros: 50_000,
            weigh: Preference::Latency,
        }
    }
}

/// A chosen candidate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Its index among the samples.
    pub index: usize,
    /// Its score: the expected time of an answer, in microseconds.
    pub score_micros: u64,
}

/// Choose one of `samples`, or `None` when none may be chosen.
///
/// Draws a few live candidates at random and takes the lowest score. With no
/// live candidate left it takes an ejected one: an upstream that fails often
/// is better than a refusal.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::Policy;
/// use mustardtiller_core::Sample;
/// use mustardtiller_core::Availability;
/// use mustardtiller_core::choose;
///
/// let idle = Sample {
///     availability: Availability::Live,
///     reported: 0,
///     report_age_micros: 1_000,
///     outstanding: 0,
///     outstanding_at_report: 0,
///     slots: 12,
///     latency_micros: 8_000,
///     latency_age_micros: 1_000,
///     error_milli: 0,
///     error_age_micros: 0,
///     ramp_milli: 1_000,
///     work_percent: 100,
///     price_micros: 0,
/// };
/// let busy = Sample { reported: 30, ..idle };
/// let mut rng = fastrand::Rng::with_seed(7);
/// let choice = choose(&[busy, idle], &Policy::default(), &mut rng).unwrap();
/// assert_eq!(choice.index, 1);
/// ```
#[must_use]
pub fn choose(samples: &[Sample], policy: &Policy, rng: &mut fastrand::Rng) -> Option<Choice> {
    choose_standing(samples, policy, rng, Availability::Live)
        .or_else(|| choose_standing(samples, policy, rng, Availability::Ejected))
}

fn choose_standing(
    samples: &[Sample],
    policy: &Policy,
    rng: &mut fastrand::Rng,
    availability: Availability,
) -> Option<Choice> {
    let mut open: SmallVec<[u32; MAX_LOOKED_AT]> = samples
        .iter()
        .enumerate()
        .filter(|(_, sample)| sample.availability == availability)
        .map(|(index, _)| index as u32)
        .collect();
    let draws = policy.draws.max(1).min(open.len());
    for drawn in 0..draws {
        let other = rng.usize(drawn..open.len());
        open.swap(drawn, other);
    }
    open[..draws]
        .iter()
        .map(|&index| index as usize)
        .map(|index| Choice {
            index,
            score_micros: score(&samples[index], policy),
        })
        .min_by_key(|choice| choice.score_micros)
}

/// Return the expected time of an answer from `sample`, in microseconds.
fn score(sample: &Sample, policy: &Policy) -> u64 {
    let slots = u64::from(sample.slots.max(1));
    let latency = faded(
        u64::from(sample.latency_micros),
        sample.latency_age_micros,
        LATENCY_HALF_LIFE_MICROS,
    )
    .max(LEAST_LATENCY_MICROS)
        * slowness_percent(sample, policy)
        / USUAL_WORK_PERCENT;
    let load_milli = estimated_load_milli(sample, policy);
    let warm_milli = u64::from(sample.ramp_milli.clamp(50, 1_000));
    let waiting = latency * load_milli / slots / warm_milli;
    let half_lives = (sample.error_age_micros / ERROR_HALF_LIFE_MICROS).min(63);
    let error_milli = u64::from(sample.error_milli) >> half_lives;
    let errors = ERROR_PENALTY_MICROS * error_milli / 1_000;
    let price = match policy.weigh {
        Preference::Latency => u64::from(sample.price_micros),
        Preference::Cost => u64::from(sample.price_micros) * 4,
    };
    latency + waiting + errors + price
}

/// Return how long work is likely to take there now, in percent of the usual.
///
/// What slows a host for a moment is over soon, so the report fades with its age.
fn slowness_percent(sample: &Sample, policy: &Policy) -> u64 {
    let over = u64::from(sample.work_percent).saturating_sub(USUAL_WORK_PERCENT);
    USUAL_WORK_PERCENT + faded(over, sample.report_age_micros, policy.half_life_micros)
}

/// Estimate the load at the upstream now, in thousandths of a request.
///
/// A report fades with its age; this entry's own requests don't.
fn estimated_load_milli(sample: &Sample, policy: &Policy) -> u64 {
    let others = sample.reported.saturating_sub(sample.outstanding_at_report);
    let others_milli = u64::from(others) * 1_000;
    let heard = faded(
        others_milli,
        sample.report_age_micros,
        policy.half_life_micros,
    );
    heard + (u64::from(sample.outstanding) + 1) * 1_000
}

/// Let a value fade with its age, to half at `half_life_micros`.
fn faded(value: u64, age_micros: u64, half_life_micros: u64) -> u64 {
    let half_life = half_life_micros.max(1);
    value * half_life / (half_life + age_micros)
}
