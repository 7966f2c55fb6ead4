//! A call from its service to its outcome.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Candidate;
use crate::board::RouteMatch;
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
use crate::entry::pick::PlacePrice;
use crate::entry::pick::pick;
use crate::entry::trace::Trace;
use crate::metrics::CounterId;
use mustardtiller_config::Kind;
use mustardtiller_config::TokenRule;
use mustardtiller_core::Attempt;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::OfferRule;
use mustardtiller_core::Offers;
use mustardtiller_core::Policy;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Refusal;
use mustardtiller_core::RetryContext;
use mustardtiller_core::RetryReason;
use mustardtiller_core::Token;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::reached_upstream;
use mustardtiller_core::retry_reason;

/// Time that a call waits for the first link of a service, in milliseconds.
const LINK_WAIT_MS: u64 = 1_000;

/// Share of the time for an answer of full worth that a call waits for a link, as a divisor.
const LINK_WAIT_DIVISOR: u64 = 4;

/// Deepest call that is taken; far beyond any tree of calls, it ends loops.
const MAX_DEPTH: u8 = 64;

/// Run a call and say what became of it.
pub async fn dispatch(node: &Arc<Node>, mut call: Call) -> Outcome {
    node.metrics.count(CounterId::Requests);
    let mut trace = Trace::default();
    let result = route(node, &mut call, &mut trace).await;
    trace.finish(node, &call, &result);
    match result {
        Ok(answer) => {
            node.metrics.count(CounterId::Answered);
            Outcome::Answered(answer)
        }
        Err(refusal) => {
            node.metrics.count_refusal(refusal);
            Outcome::Refused(refusal)
        }
    }
}

async fn route(node: &Arc<Node>, call: &mut Call, trace: &mut Trace) -> Result<Answer, Refusal> {
    let bound = call.token.clone();
    let found = find(node, call);
    let RouteMatch {
        service,
        kind,
        elapsed_micros,
    } = match found {
        Ok(found) => found,
        Err(reason) => return Err(refuse_unsent(bound.as_ref(), reason)),
    };
    let own = Deadline::in_millis(call.began, kind.deadline_ms);
    let deadline = call.deadline.map_or(own, |deadline| deadline.min(own));
    let cx = AttemptCx {
        node,
        kind: &kind,
        deadline,
        target: target_of(call, &kind, elapsed_micros).min(deadline),
        retried: call.outer_retry,
        queue_mode: QueueMode::Queue,
    };
    trace.begin(&kind, &service.service.name, cx.target, cx.deadline);
    node.ensure_links(&service);
    match bound {
        Some(token) => run_bound(cx, &service, &token, call, trace).await,
        None => run_free(cx, &service, call, trace).await,
    }
}

/// Return until when an answer has its full worth, counted from the caller's first attempt.
fn target_of(call: &Call, kind: &Kind, elapsed_micros: u64) -> Deadline {
    let from_now = (kind.target_ms * 1_000).saturating_sub(elapsed_micros);
    Deadline::at(call.began.plus_micros(from_now))
}

fn find(node: &Node, call: &mut Call) -> Result<RouteMatch, NotRunReason> {
    if node.board.configuration.read().is_none() {
        return Err(NotRunReason::NoConfiguration);
    }
    if call.depth > MAX_DEPTH {
        return Err(NotRunReason::BadRequest);
    }
    let routes = node.board.routes.read();
    let left = call.deadline.map(|d| d.instant().micros_since(call.began));
    let found = routes.find(&call.host, &call.method, call.path(), left)?;
    match (found.kind.token, &call.token) {
        (TokenRule::Ignored, _) => call.token = None,
        (TokenRule::Needed, None) => return Err(NotRunReason::TokenNeeded),
        (TokenRule::Accepted | TokenRule::Needed, _) => {}
    }
    Ok(found)
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
    trace: &mut Trace,
) -> Result<Answer, Refusal> {
    if call.token.is_none() {
        return run_free(cx, service, call, trace).await;
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

/// Offers of a call where upstreams register themselves and their gates forecast.
const FORECAST_OFFERS: OfferRule = OfferRule {
    immediate: 4,
    queued: 2,
};

/// Upstreams looked at for one offer where gates forecast.
const FORECAST_DRAWS: usize = 6;

/// Price of another place from which a call waits rather than goes there, in microseconds.
const DEAR_MICROS: u32 = 50_000;

/// What a call has tried.
#[derive(Debug, Default)]
struct Tried {
    /// Upstreams that refused to start the call at once.
    busy: SmallVec<[UpstreamName; 4]>,
    /// Upstreams that are not tried again.
    spent: SmallVec<[UpstreamName; 4]>,
    /// Attempts that reached an upstream, or may have.
    reached: u32,
    /// The last refusal.
    last: Option<Refusal>,
    /// Why it can't be known whether an attempt ran, if one may have.
    unknown: Option<UnknownReason>,
}

impl Tried {
    /// Return the upstreams that the next offer passes by.
    fn excluded(&self, queue_mode: QueueMode) -> SmallVec<[UpstreamName; 4]> {
        let mut names = self.spent.clone();
        if queue_mode == QueueMode::None {
            names.extend(self.busy.iter().cloned());
        }
        names
    }

    fn note(&mut self, name: &UpstreamName, queue_mode: QueueMode, refusal: Refusal) {
        self.last = Some(refusal);
        self.unknown = self.unknown.or(refusal.unknown());
        if reached_upstream(refusal) {
            self.reached += 1;
        }
        if queue_mode == QueueMode::None && !reached_upstream(refusal) {
            self.busy.push(name.clone());
        } else {
            self.spent.push(name.clone());
        }
    }
}

/// Run a call on any upstream, again if that is harmless and within budget.
async fn run_free(
    mut cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    call: &mut Call,
    trace: &mut Trace,
) -> Result<Answer, Refusal> {
    let place = PlacePrice::of(cx.node, call);
    let mut offers = Offers::new(offer_rule(cx, call, place));
    let mut tried = Tried::default();
    // A call that stems from a retry earns nothing, so budgets don't feed each other.
    if !call.outer_retry {
        service.retries.earn(service.retry_percent);
        service.hedges.earn(cx.kind.hedge_percent);
    }
    while let Some(queue_mode) = offers.next() {
        cx.queue_mode = queue_mode;
        let Some(candidate) = next_candidate(cx, service, &tried, place).await else {
            if queue_mode == QueueMode::Queue {
                break;
            }
            offers.skip_immediate();
            continue;
        };
        let offer = trace.offer(cx, &candidate);
        let refusal = match hedged(cx, service, &candidate, call).await {
            Ok(answer) => return Ok(answer),
            Err(e) => e.refusal(),
        };
        trace.refused(offer, refusal);
        offers.refused(queue_mode);
        tried.note(&candidate.upstream.name, queue_mode, refusal);
        let Some(reason) = may_go_on(cx, service, call, &tried, refusal) else {
            return Err(refusal.after(tried.unknown));
        };
        cx.node.metrics.count_retry(reason);
        cx.retried |= reached_upstream(refusal);
    }
    let none = || Attempt::begin().refuse(NotRunReason::NoUpstream).into();
    Err(tried.last.unwrap_or_else(none).after(tried.unknown))
}

fn offer_rule(cx: AttemptCx<'_>, call: &Call, place: PlacePrice) -> OfferRule {
    if cx.node.settings.discovery.is_none() {
        return OfferRule {
            immediate: 0,
            queued: cx.kind.attempts,
        };
    }
    // A body that is dear to move waits near, and one that streams is offered once.
    match call.body {
        CallBody::Streamed { .. } => OfferRule {
            immediate: 0,
            queued: 1,
        },
        CallBody::Buffered(_) if place.far_micros >= DEAR_MICROS => OfferRule {
            immediate: 0,
            ..FORECAST_OFFERS
        },
        CallBody::Buffered(_) => FORECAST_OFFERS,
    }
}

/// Return why a refused call is tried again, or `None` if it is not.
fn may_go_on(
    cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    call: &Call,
    tried: &Tried,
    refusal: Refusal,
) -> Option<RetryReason> {
    let forecasts = cx.node.settings.discovery.is_some();
    let attempts = if forecasts {
        tried.reached
    } else {
        (tried.spent.len() + tried.busy.len()) as u32
    };
    let context = RetryContext {
        idempotent: cx.kind.idempotent,
        replayable: matches!(call.body, CallBody::Buffered(_)),
        bound: false,
        outer_retry: call.outer_retry,
        attempts,
        max_attempts: cx.kind.attempts,
    };
    let free = forecasts && !reached_upstream(refusal);
    retry_reason(refusal, context).filter(|_| free || service.retries.try_spend())
}

async fn next_candidate(
    cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    tried: &Tried,
    place: PlacePrice,
) -> Option<Arc<Candidate>> {
    let usual = Policy::default();
    let draws = match cx.node.settings.discovery {
        // Gates that forecast turn the crowd away, so more may be looked at.
        Some(_) => FORECAST_DRAWS,
        None => usual.draws,
    };
    let policy = Policy {
        weigh: cx.kind.weigh,
        draws,
        ..usual
    };
    let excluded = tried.excluded(cx.queue_mode);
    let draw = || {
        let now = cx.node.clock.now();
        let rng = &mut cx.node.rng();
        pick(&service.candidates, &excluded, &policy, place, now, rng).cloned()
    };
    if let Some(candidate) = draw() {
        return Some(candidate);
    }
    if tried.last.is_some() {
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
    cx.node.ensure_link(candidate);
    let now = cx.node.clock.now();
    let mut limit = Deadline::in_millis(now, LINK_WAIT_MS).min(cx.deadline);
    if cx.node.settings.discovery.is_some() {
        // One that waits longer is no longer answered in time: it may as well be told.
        let left = cx.target.remaining(now).as_millis() as u64;
        limit = limit.min(Deadline::in_millis(now, left / LINK_WAIT_DIVISOR));
    }
    candidate.slot.wait(cx.node.clock, limit).await
}
