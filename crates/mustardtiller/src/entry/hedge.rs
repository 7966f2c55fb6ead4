//! Hedged requests: a second attempt beside a slow first one, for idempotent kinds.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use smol::future;

use crate::board::Candidate;
use crate::board::ServiceRoutes;
use crate::entry::attempt::AttemptCx;
use crate::entry::attempt::AttemptError;
use crate::entry::attempt::attempt;
use crate::entry::call::Answer;
use crate::entry::call::Call;
use crate::entry::call::CallBody;
use crate::entry::pick::FarPrice;
use crate::entry::pick::Reach;
use crate::entry::pick::pick;
use crate::entry::race::RaceEnd;
use crate::entry::race::first_answer;
use crate::metrics::CounterId;
use mustardtiller_core::Attempt;
use mustardtiller_core::Deadline;
use mustardtiller_core::Policy;

/// Delay before a hedge, as a multiple of the first candidate's smoothed latency.
const HEDGE_DELAY_LATENCIES: u64 = 3;

/// Shortest delay before a hedge, in milliseconds.
const MIN_HEDGE_DELAY_MS: u64 = 2;

/// Run a call on `first`, and also on another upstream if `first` is slow.
///
/// # Errors
///
/// Returns why the first attempt got no answer.
pub async fn hedged(
    cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    first: &Arc<Candidate>,
    call: &mut Call,
) -> Result<Answer, AttemptError> {
    if cx.kind.hedge_percent == 0 || !cx.kind.idempotent || cx.retried {
        return attempt(cx, Attempt::begin(), first, call).await;
    }
    let Some(mut copy) = try_clone_without_token(call) else {
        return attempt(cx, Attempt::begin(), first, call).await;
    };
    let delay_ms = u64::from(first.signals.latency_micros()) * HEDGE_DELAY_LATENCIES / 1_000;
    let hedge_at = Deadline::in_millis(cx.node.clock.now(), delay_ms.max(MIN_HEDGE_DELAY_MS));
    let price = FarPrice::of(cx.node, call);
    let main = attempt(cx, Attempt::begin(), first, call);
    let begun = AtomicBool::new(false);
    let hedge = async {
        cx.node.clock.sleep_until(hedge_at).await;
        match second_candidate(cx, service, first, price) {
            Some(second) => {
                begun.store(true, Ordering::SeqCst);
                cx.node.metrics.count(CounterId::Hedges);
                attempt(cx, Attempt::begin(), &second, &mut copy).await
            }
            None => future::pending().await,
        }
    };
    match first_answer(main, hedge, &begun).await {
        RaceEnd::Main(answer) => Ok(answer),
        RaceEnd::Hedge(answer) => {
            cx.node.metrics.count(CounterId::HedgesWon);
            Ok(answer)
        }
        RaceEnd::Failed { main, hedge } => {
            let unknown = hedge.and_then(|hedge| hedge.refusal().unknown());
            Err(main.after(unknown))
        }
    }
}

fn second_candidate(
    cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    first: &Arc<Candidate>,
    price: FarPrice,
) -> Option<Arc<Candidate>> {
    if !service.hedges.try_spend() {
        return None;
    }
    let policy = Policy {
        weigh: cx.kind.weigh,
        ..Policy::default()
    };
    let excluded = [first.upstream.name.clone()];
    let now = cx.node.clock.now();
    pick(
        &service.candidates,
        &excluded,
        cx.queue_mode,
        &policy,
        Reach::any(price),
        now,
        &mut cx.node.rng(),
    )
    .cloned()
}

/// Clone a call without its token; `None` if its body is streamed.
fn try_clone_without_token(call: &Call) -> Option<Call> {
    let CallBody::Buffered(bytes) = &call.body else {
        return None;
    };
    Some(Call {
        host: call.host.clone(),
        method: call.method.clone(),
        uri: call.uri.clone(),
        headers: call.headers.clone(),
        head_guard: call.head_guard.clone(),
        caller: call.caller.clone(),
        received_at: call.received_at,
        deadline: call.deadline,
        token: None,
        depth: call.depth,
        outer_retry: call.outer_retry,
        from_idle_host: call.from_idle_host,
        body: CallBody::Buffered(bytes.clone()),
    })
}
