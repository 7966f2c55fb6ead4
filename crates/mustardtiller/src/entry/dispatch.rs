//! A call from its service to its outcome.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Candidate;
use crate::board::ServiceRoutes;
use crate::daemon::Node;
use crate::entry::attempt::AttemptCx;
use crate::entry::attempt::AttemptError;
use crate::entry::attempt::attempt;
use crate::entry::call::Answer;
use crate::entry::call::Call;
use crate::entry::call::CallBody;
use crate::entry::call::Outcome;
use crate::entry::hedge::hedged;
use crate::entry::pick::pick;
use crate::metrics::Counted;
use mustardtiller_config::Kind;
use mustardtiller_config::TokenRule;
use mustardtiller_core::Attempt;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Policy;
use mustardtiller_core::Refusal;
use mustardtiller_core::RetryContext;
use mustardtiller_core::Token;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::retry_reason;

/// Time that a call waits for the first link of a service, in milliseconds.
const LINK_WAIT_MS: u64 = 1_000;

/// Deepest call that is taken; far beyond any tree of calls, it ends loops.
const MAX_DEPTH: u8 = 64;

/// Run a call and say what became of it.
pub async fn dispatch(node: &Arc<Node>, mut call: Call) -> Outcome {
    node.metrics.count(Counted::Requests);
    let result = route(node, &mut call).await;
    match result {
        Ok(answer) => {
            node.metrics.count(Counted::Answered);
            Outcome::Answered(answer)
        }
        Err(refusal) => {
            node.metrics.count_refusal(refusal);
            Outcome::Refused(refusal)
        }
    }
}

async fn route(node: &Arc<Node>, call: &mut Call) -> Result<Answer, Refusal> {
    let bound = call.token.clone();
    let found = find(node, call);
    let (service, kind) = match found {
        Ok(found) => found,
        Err(reason) => return Err(refuse_unsent(bound.as_ref(), reason)),
    };
    let own = Deadline::in_millis(call.began, kind.deadline_ms);
    let deadline = call.deadline.map_or(own, |deadline| deadline.min(own));
    let cx = AttemptCx {
        node,
        kind: &kind,
        deadline,
        target: Deadline::in_millis(call.began, kind.target_ms).min(deadline),
        retried: call.outer_retry,
    };
    node.want_links(&service);
    match bound {
        Some(token) => run_bound(cx, &service, &token, call).await,
        None => run_free(cx, &service, call).await,
    }
}

fn find(node: &Node, call: &mut Call) -> Result<(Arc<ServiceRoutes>, Arc<Kind>), NotRunReason> {
    if node.board.configuration.read().is_none() {
        return Err(NotRunReason::NoConfiguration);
    }
    if call.depth > MAX_DEPTH {
        return Err(NotRunReason::BadRequest);
    }
    let routes = node.board.routes.read();
    let (service, kind) = routes.find(&call.host, &call.method, call.path())?;
    match (kind.token, &call.token) {
        (TokenRule::Ignored, _) => call.token = None,
        (TokenRule::Needed, None) => return Err(NotRunReason::TokenNeeded),
        (TokenRule::Accepted | TokenRule::Needed, _) => {}
    }
    Ok((service, kind))
}

/// Refuse a call of which this entry sent nothing.
///
/// With a token, a copy of the call may have run through another entry, so
/// only the token's gate can say "not run".
fn refuse_unsent(bound: Option<&Token>, reason: NotRunReason) -> Refusal {
    match bound {
        None => Attempt::begin().refuse(reason).into(),
        Some(_) => Refusal::Unknown(UnknownReason::GateUnreachable),
    }
}

/// Run a call at the one gate that its token names.
async fn run_bound(
    cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    token: &Token,
    call: &mut Call,
) -> Result<Answer, Refusal> {
    if call.token.is_none() {
        return run_free(cx, service, call).await;
    }
    let unreachable = Refusal::Unknown(UnknownReason::GateUnreachable);
    let candidate = service.find(&token.upstream).ok_or(unreachable)?;
    let link = wait_for_link(cx, candidate).await.ok_or(unreachable)?;
    if link.gate() != token.gate {
        return Err(Refusal::Unknown(UnknownReason::IncarnationGone));
    }
    let result = attempt(cx, Attempt::begin(), candidate, call).await;
    result.map_err(|e| match e {
        AttemptError::Verdict(refusal) if looked_at_token(refusal) => refusal,
        AttemptError::Lost(refusal) => refusal,
        AttemptError::Verdict(_) | AttemptError::Unsent(_) => unreachable,
    })
}

/// Report whether the gate looked at the token before it refused.
///
/// A full link and a gate of another upstream refuse without looking.
const fn looked_at_token(refusal: Refusal) -> bool {
    match refusal {
        Refusal::Unknown(_) => true,
        Refusal::NotRun(not_run) => !matches!(
            not_run.reason(),
            NotRunReason::LinkFull | NotRunReason::WrongUpstream
        ),
    }
}

/// Run a call on any upstream, again if that is harmless and within budget.
async fn run_free(
    cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    call: &mut Call,
) -> Result<Answer, Refusal> {
    let policy = Policy {
        weigh: cx.kind.weigh,
        ..Policy::default()
    };
    let mut tried: SmallVec<[UpstreamName; 4]> = SmallVec::new();
    // A call that stems from a retry earns nothing, so budgets don't feed each other.
    if !call.outer_retry {
        service.retries.earn(service.service.retry_percent);
        service.hedges.earn(cx.kind.hedge_percent);
    }
    let mut cx = cx;
    let mut last: Option<Refusal> = None;
    loop {
        let Some(candidate) = next_candidate(cx, service, &tried, &policy).await else {
            let none = || Attempt::begin().refuse(NotRunReason::NoUpstream).into();
            return Err(last.unwrap_or_else(none));
        };
        let refusal = match hedged(cx, service, &candidate, call).await {
            Ok(answer) => return Ok(answer),
            Err(e) => e.refusal(),
        };
        tried.push(candidate.upstream.name.clone());
        let replayable = matches!(call.body, CallBody::Whole(_));
        let context = RetryContext {
            idempotent: cx.kind.idempotent,
            replayable,
            bound: false,
            outer_retry: call.outer_retry,
            attempts: tried.len() as u32,
            max_attempts: cx.kind.attempts,
        };
        let reason = retry_reason(refusal, context).filter(|_| service.retries.try_spend());
        let Some(reason) = reason else {
            return Err(refusal);
        };
        cx.node.metrics.count_retry(reason);
        cx.retried = true;
        last = Some(refusal);
    }
}

async fn next_candidate(
    cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    tried: &[UpstreamName],
    policy: &Policy,
) -> Option<Arc<Candidate>> {
    let draw = || {
        let now = cx.node.clock.now();
        pick(&service.candidates, tried, policy, now, &mut cx.node.rng()).cloned()
    };
    if let Some(candidate) = draw() {
        return Some(candidate);
    }
    if !tried.is_empty() {
        return None;
    }
    wait_for_any_link(cx, service).await;
    draw()
}

/// Wait until some upstream of the service that is not leaving has a link.
async fn wait_for_any_link(cx: AttemptCx<'_>, service: &ServiceRoutes) {
    let waiting = service
        .candidates
        .iter()
        .filter(|c| !c.signals.is_leaving());
    let waits: Vec<_> = waiting
        .map(|candidate| Box::pin(wait_for_link(cx, candidate)))
        .collect();
    if waits.is_empty() {
        return;
    }
    let mut waits = waits;
    std::future::poll_fn(|task| {
        let ready = waits
            .iter_mut()
            .any(|wait| wait.as_mut().poll(task).is_ready());
        if ready {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
}

async fn wait_for_link(
    cx: AttemptCx<'_>,
    candidate: &Arc<Candidate>,
) -> Option<Arc<crate::link::LinkHandle>> {
    cx.node.want_link(candidate);
    let limit = Deadline::in_millis(cx.node.clock.now(), LINK_WAIT_MS).min(cx.deadline);
    candidate.slot.wait(cx.node.clock, limit).await
}
