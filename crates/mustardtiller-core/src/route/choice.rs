//! The choice of an upstream: the lowest score among a few random candidates.

use smallvec::SmallVec;

use crate::Availability;
use crate::Sample;

/// Candidates that one choice holds on the stack; more need an allocation.
const CANDIDATES_ON_STACK: usize = 32;

/// Score penalty at an error rate of one, in microseconds.
const ERROR_PENALTY_MICROS: u64 = 2_000_000;

/// Lowest latency that a score assumes, in microseconds.
const MIN_LATENCY_MICROS: u64 = 200;

/// Service time of an upstream without a slowdown, in percent.
const USUAL_WORK_PERCENT: u64 = 100;

/// Age at which a smoothed latency counts for half, in microseconds.
const LATENCY_HALF_LIFE_MICROS: u64 = 1_000_000;

/// Half-life of a smoothed error rate after the last error, in microseconds.
const ERROR_HALF_LIFE_MICROS: u64 = 500_000;

/// What a kind of request prefers: low latency or low cost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Preference {
    /// Low tail latency: use a distant data centre rather than wait.
    Latency,
    /// Low cost: wait rather than use a distant data centre.
    Cost,
}

/// Parameters of a choice.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Candidates drawn at random for one choice.
    pub draws: usize,
    /// Age at which a load report counts for half, in microseconds.
    pub half_life_micros: u64,
    /// Whether latency or cost matters more.
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
    /// Its score: the expected latency with penalties, in microseconds.
    pub score_micros: u64,
}

/// Choose one of `samples`, or return `None` if none may be chosen.
///
/// Draws a few live candidates at random and takes the one with the lowest
/// score. If there is no live candidate, it takes an ejected one: an upstream
/// that fails often is better than a refusal.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::Availability;
/// use mustardtiller_core::Policy;
/// use mustardtiller_core::Sample;
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
///     start_wait_micros: 0,
///     price_micros: 0,
/// };
/// let busy = Sample { reported: 30, ..idle };
/// let mut rng = fastrand::Rng::with_seed(7);
/// let choice = choose(&[busy, idle], &Policy::default(), &mut rng).unwrap();
/// assert_eq!(choice.index, 1);
/// ```
#[must_use]
pub fn choose(samples: &[Sample], policy: &Policy, rng: &mut fastrand::Rng) -> Option<Choice> {
    choose_among(samples, policy, rng, Availability::Live)
        .or_else(|| choose_among(samples, policy, rng, Availability::Ejected))
}

fn choose_among(
    samples: &[Sample],
    policy: &Policy,
    rng: &mut fastrand::Rng,
    availability: Availability,
) -> Option<Choice> {
    let mut eligible: SmallVec<[u32; CANDIDATES_ON_STACK]> = samples
        .iter()
        .enumerate()
        .filter(|(_, sample)| sample.availability == availability)
        .map(|(index, _)| index as u32)
        .collect();
    let draws = policy.draws.max(1).min(eligible.len());
    for drawn in 0..draws {
        let other = rng.usize(drawn..eligible.len());
        eligible.swap(drawn, other);
    }
    eligible[..draws]
        .iter()
        .map(|&index| index as usize)
        .map(|index| Choice {
            index,
            score_micros: score(&samples[index], policy),
        })
        .min_by_key(|choice| choice.score_micros)
}

/// Return the expected latency at `sample` with penalties, in microseconds.
///
/// The penalties stand for errors and for the price of the upstream's data centre.
fn score(sample: &Sample, policy: &Policy) -> u64 {
    let slots = u64::from(sample.slots.max(1));
    let latency = decayed(
        u64::from(sample.latency_micros),
        sample.latency_age_micros,
        LATENCY_HALF_LIFE_MICROS,
    )
    .max(MIN_LATENCY_MICROS)
        * slowdown_percent(sample, policy)
        / USUAL_WORK_PERCENT;
    let load_milli = estimated_load_milli(sample, policy);
    let ramp_milli = u64::from(sample.ramp_milli.clamp(50, 1_000));
    let waiting = latency * load_milli / slots / ramp_milli;
    let half_lives = (sample.error_age_micros / ERROR_HALF_LIFE_MICROS).min(63);
    let error_milli = u64::from(sample.error_milli) >> half_lives;
    let errors = ERROR_PENALTY_MICROS * error_milli / 1_000;
    let price = match policy.weigh {
        Preference::Latency => u64::from(sample.price_micros),
        Preference::Cost => u64::from(sample.price_micros) * 4,
    };
    latency + waiting + errors + price + sample.start_wait_micros
}

/// Estimate the upstream's current service time, in percent of the usual.
///
/// Most slowdowns of a host are short, so the reported one decays with its age.
fn slowdown_percent(sample: &Sample, policy: &Policy) -> u64 {
    let excess = u64::from(sample.work_percent).saturating_sub(USUAL_WORK_PERCENT);
    USUAL_WORK_PERCENT + decayed(excess, sample.report_age_micros, policy.half_life_micros)
}

/// Estimate the load at the upstream, in thousandths of a request.
///
/// The reported load of other entries decays with its age; the requests of this
/// entry are known exactly and don't decay. The new request is included.
fn estimated_load_milli(sample: &Sample, policy: &Policy) -> u64 {
    let others = sample.reported.saturating_sub(sample.outstanding_at_report);
    let others_milli = u64::from(others) * 1_000;
    let reported_milli = decayed(
        others_milli,
        sample.report_age_micros,
        policy.half_life_micros,
    );
    reported_milli + (u64::from(sample.outstanding) + 1) * 1_000
}

/// Decay `value` hyperbolically with its age, to half at `half_life_micros`.
fn decayed(value: u64, age_micros: u64, half_life_micros: u64) -> u64 {
    let half_life = half_life_micros.max(1);
    value * half_life / (half_life + age_micros)
}
