//! A second attempt beside a slow first one, for idempotent kinds.

use std::sync::Arc;

use smol::future;

use crate::board::Candidate;
use crate::board::ServiceRoutes;
use crate::entry::attempt::AttemptCx;
use crate::entry::attempt::AttemptError;
use crate::entry::attempt::attempt;
use crate::entry::call::Answer;
use crate::entry::call::Call;
use crate::entry::call::CallBody;
use crate::entry::pick::PlacePrice;
use crate::entry::pick::pick;
use crate::metrics::CounterId;
use mustardtiller_core::Attempt;
use mustardtiller_core::Deadline;
use mustardtiller_core::Policy;

/// Smoothed latencies of the first candidate after which a hedge is sent.
const HEDGE_AFTER_LATENCIES: u64 = 3;

/// Least wait before a hedge, in milliseconds.
const LEAST_HEDGE_MS: u64 = 2;

/// Run a call on `first`, and on another upstream if that is slow.
///
/// # Errors
///
/// Returns why the first attempt brought no answer.
pub async fn hedged(
    cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    first: &Arc<Candidate>,
    call: &mut Call,
) -> Result<Answer, AttemptError> {
    if cx.kind.hedge_percent == 0 || !cx.kind.idempotent || cx.retried {
        return attempt(cx, Attempt::begin(), first, call).await;
    }
    let Some(mut copy) = copy_of(call) else {
        return attempt(cx, Attempt::begin(), first, call).await;
    };
    let usual_ms = u64::from(first.signals.latency_micros()) * HEDGE_AFTER_LATENCIES / 1_000;
    let due = Deadline::in_millis(cx.node.clock.now(), usual_ms.max(LEAST_HEDGE_MS));
    let place = PlacePrice::of(cx.node, call);
    let main = attempt(cx, Attempt::begin(), first, call);
    let hedge = async {
        cx.node.clock.sleep_until(due).await;
        match second_candidate(cx, service, first, place) {
            Some(second) => {
                cx.node.metrics.count(CounterId::Hedges);
                attempt(cx, Attempt::begin(), &second, &mut copy).await
            }
            None => future::pending().await,
        }
    };
    first_answer(cx, main, hedge).await
}

/// Take the first answer; a hedge that fails leaves the main attempt running.
async fn first_answer(
    cx: AttemptCx<'_>,
    main: impl Future<Output = Result<Answer, AttemptError>>,
    hedge: impl Future<Output = Result<Answer, AttemptError>>,
) -> Result<Answer, AttemptError> {
    let hedge = async {
        match hedge.await {
            Ok(answer) => {
                cx.node.metrics.count(CounterId::HedgesWon);
                Ok(answer)
            }
            Err(_) => future::pending().await,
        }
    };
    future::or(main, hedge).await
}

fn second_candidate(
    cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    first: &Arc<Candidate>,
    place: PlacePrice,
) -> Option<Arc<Candidate>> {
    if !service.hedges.try_spend() {
        return None;
    }
    let policy = Policy {
        weigh: cx.kind.weigh,
        ..Policy::default()
    };
    let tried = [first.upstream.name.clone()];
    let now = cx.node.clock.now();
    pick(
        &service.candidates,
        &tried,
        &policy,
        place,
        now,
        &mut cx.node.rng(),
    )
    .cloned()
}

/// Copy a call whose body is whole.
fn copy_of(call: &Call) -> Option<Call> {
    let CallBody::Buffered(bytes) = &call.body else {
        return None;
    };
    Some(Call {
        host: call.host.clone(),
        method: call.method.clone(),
        uri: call.uri.clone(),
        headers: call.headers.clone(),
        caller: call.caller.clone(),
        began: call.began,
        deadline: call.deadline,
        token: None,
        depth: call.depth,
        outer_retry: call.outer_retry,
        body: CallBody::Buffered(bytes.clone()),
    })
}
