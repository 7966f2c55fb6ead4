//! Retries stay within their budget and do not multiply over depth.

use mustardtiller_core::Attempt;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Refusal;
use mustardtiller_core::RetryBudget;
use mustardtiller_core::RetryContext;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::retry_reason;

/// The deepest tree of calls of letter 1.
const DEPTH: usize = 22;

fn context(outer_retry: bool, attempts: u32) -> RetryContext {
    RetryContext {
        idempotent: true,
        replayable: true,
        bound: false,
        outer_retry,
        attempts,
        max_attempts: 3,
    }
}

/// Calls through a chain of hops, each lost with `loss_percent`.
struct Chain {
    budgets: Vec<RetryBudget>,
    calls_at: Vec<u64>,
    loss_percent: u8,
    honours_mark: bool,
    rng: fastrand::Rng,
}

impl Chain {
    fn new(loss_percent: u8, honours_mark: bool) -> Self {
        Self {
            budgets: (0..DEPTH).map(|_| RetryBudget::new(10)).collect(),
            calls_at: vec![0; DEPTH],
            loss_percent,
            honours_mark,
            rng: fastrand::Rng::with_seed(11),
        }
    }

    /// Call hop `depth`; what is lost on the way back has run below.
    fn call(&mut self, depth: usize, outer_retry: bool) -> Result<(), Refusal> {
        if depth == DEPTH {
            return Ok(());
        }
        if !outer_retry {
            self.budgets[depth].earn(10);
        }
        let mut attempts = 0;
        loop {
            attempts += 1;
            self.calls_at[depth] += 1;
            let retried = outer_retry || attempts > 1;
            // A refusal from further below is this hop's answer, whatever it says.
            let _ = self.call(depth + 1, retried && self.honours_mark);
            if self.rng.u8(0..100) >= self.loss_percent {
                return Ok(());
            }
            let lost = Refusal::Unknown(UnknownReason::LinkLost);
            let allowed = retry_reason(lost, context(outer_retry, attempts)).is_some();
            if !allowed || !self.budgets[depth].try_spend() {
                return Err(lost);
            }
        }
    }
}

#[test]
fn calls_at_the_bottom_stay_near_calls_at_the_top() {
    let mut marked = Chain::new(30, true);
    let mut unmarked = Chain::new(30, false);
    for _ in 0..2_000 {
        let _ = marked.call(0, false);
        let _ = unmarked.call(0, false);
    }
    let growth = |chain: &Chain| chain.calls_at[DEPTH - 1] as f64 / 2_000.0;
    // A tenth more at each of 22 hops would be eightfold.
    assert!(
        growth(&unmarked) > 4.0,
        "the mark is not what holds it: {}",
        growth(&unmarked)
    );
    assert!(growth(&marked) < 4.0, "{}", growth(&marked));
}

#[test]
fn retries_stay_within_the_budget() {
    let budget = RetryBudget::new(10);
    let mut spent = 0_u32;
    for _ in 0..10_000 {
        budget.earn(10);
        while budget.try_spend() {
            spent += 1;
        }
    }
    assert!(
        spent <= 1_000 + 10,
        "{spent} retries for 10,000 calls at a tenth"
    );
    assert!(spent >= 990);
}

#[test]
fn what_may_not_be_retried() {
    let refusal = |reason| Refusal::from(Attempt::begin().refuse(reason));
    let unknown = Refusal::Unknown(UnknownReason::AnswerCut);
    let free = context(false, 1);
    assert!(retry_reason(refusal(NotRunReason::QueueFull), free).is_some());
    assert!(retry_reason(unknown, free).is_some());
    let order = RetryContext {
        idempotent: false,
        ..free
    };
    assert!(
        retry_reason(unknown, order).is_none(),
        "an order of unknown outcome"
    );
    assert!(retry_reason(refusal(NotRunReason::Leaving), order).is_some());
    for barred in [
        RetryContext {
            replayable: false,
            ..free
        },
        RetryContext {
            bound: true,
            ..free
        },
        RetryContext {
            outer_retry: true,
            ..free
        },
        RetryContext {
            attempts: 3,
            ..free
        },
    ] {
        assert!(retry_reason(refusal(NotRunReason::Leaving), barred).is_none());
        assert!(retry_reason(unknown, barred).is_none());
    }
}
