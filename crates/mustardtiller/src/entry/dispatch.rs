//! Dispatch of a call: routing, offers to gates, retries and the outcome.

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
use crate::entry::pick::FarPrice;
use crate::entry::pick::pick;
use crate::entry::trace::Trace;
use crate::metrics::CounterId;
use mustardtiller_config::Kind;
use mustardtiller_config::TokenRule;
use mustardtiller_core::Attempt;
use mustardtiller_core::Availability;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
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
use mustardtiller_core::is_misplaced;
use mustardtiller_core::reached_upstream;
use mustardtiller_core::retry_reason;

/// Longest wait for a link to an upstream, in milliseconds.
const MAX_LINK_WAIT_MS: u64 = 1_000;

/// Divisor of the time to the target that limits the wait for a link with discovery.
const LINK_WAIT_DIVISOR: u64 = 4;

/// Largest accepted depth of a call.
///
/// It is far above the depth of any real tree of calls, and stops forwarding loops.
const MAX_DEPTH: u8 = 64;

/// Run a call and return its outcome.
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
            Outcome::Refused {
                refusal,
                return_at: trace.return_at(),
            }
        }
    }
}

/// Find the route of a call, and run the call at an upstream of its service.
async fn route(node: &Arc<Node>, call: &mut Call, trace: &mut Trace) -> Result<Answer, Refusal> {
    let token_at_arrival = call.token.clone();
    let found = find_route(node, call);
    let RouteMatch {
        service,
        kind,
        elapsed_micros,
    } = match found {
        Ok(found) => found,
        Err(reason) => return Err(refuse_unsent(token_at_arrival.as_ref(), reason)),
    };
    let kind_deadline = Deadline::in_millis(call.received_at, kind.deadline_ms);
    let deadline = call
        .deadline
        .map_or(kind_deadline, |deadline| deadline.min(kind_deadline));
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
    match token_at_arrival {
        Some(token) => run_with_token(cx, &service, &token, call, trace).await,
        None => run_without_token(cx, &service, call, trace).await,
    }
}

/// Return the target time of an answer, counted from the caller's first attempt.
fn target_of(call: &Call, kind: &Kind, elapsed_micros: u64) -> Deadline {
    let target_micros = (kind.target_ms * 1_000).saturating_sub(elapsed_micros);
    Deadline::at(call.received_at.plus_micros(target_micros))
}

fn find_route(node: &Node, call: &mut Call) -> Result<RouteMatch, NotRunReason> {
    if node.board.hosts.read().members.is_empty() {
        node.board.hosts_wanted.notify(1);
    }
    if node.board.configuration.read().is_none() {
        return Err(NotRunReason::NoConfiguration);
    }
    if call.depth > MAX_DEPTH {
        return Err(NotRunReason::BadRequest);
    }
    let routes = node.board.routes.read();
    let time_left_micros = call
        .deadline
        .map(|d| d.instant().micros_since(call.received_at));
    let found = routes.find(&call.host, &call.method, call.path(), time_left_micros)?;
    match (found.kind.token, &call.token) {
        (TokenRule::Ignored, _) => call.token = None,
        (TokenRule::Needed, None) => return Err(NotRunReason::TokenNeeded),
        (TokenRule::Accepted | TokenRule::Needed, _) => {}
    }
    Ok(found)
}

/// Refuse a call of which this entry has sent nothing.
///
/// If the call has a token, another entry may have sent a copy of it, so only
/// the token's gate can report "not run"; the outcome is unknown here.
fn refuse_unsent(token: Option<&Token>, reason: NotRunReason) -> Refusal {
    match token {
        None => Attempt::begin().refuse(reason).into(),
        Some(_) => Refusal::Unknown(UnknownReason::GateUnreachable),
    }
}

/// Run a call at the only gate that its token allows.
///
/// If the call's kind ignores tokens, any upstream may run it.
async fn run_with_token(
    cx: AttemptCx<'_>,
    service: &Arc<ServiceRoutes>,
    token: &Token,
    call: &mut Call,
    trace: &mut Trace,
) -> Result<Answer, Refusal> {
    if call.token.is_none() {
        return run_without_token(cx, service, call, trace).await;
    }
    let unreachable = Refusal::Unknown(UnknownReason::GateUnreachable);
    let candidate = service.find(&token.upstream).ok_or(unreachable)?;
    let link = wait_for_link(cx, candidate).await.ok_or(unreachable)?;
    if link.gate_incarnation() != token.gate {
        return Err(Refusal::Unknown(UnknownReason::IncarnationGone));
    }
    let result = attempt(cx, Attempt::begin(), candidate, call).await;
    result.map_err(|e| match e {
        AttemptError::Refused(refusal) if checked_token(refusal) => refusal,
        AttemptError::Lost(refusal) => refusal,
        AttemptError::Refused(_) | AttemptError::Unsent(_) => unreachable,
    })
}

/// Report whether the gate checked the token before it refused.
///
/// A full link and a gate of another upstream refuse before that check.
const fn checked_token(refusal: Refusal) -> bool {
    match refusal {
        Refusal::Unknown(_) => true,
        Refusal::NotRun(not_run) => !matches!(
            not_run.reason(),
            NotRunReason::LinkFull | NotRunReason::WrongUpstream
        ),
    }
}

/// Offers of a call with discovery, where gates forecast waiting times.
const FORECAST_OFFERS: OfferRule = OfferRule {
    immediate: 4,
    queued: 2,
};

/// Candidates sampled for one offer with discovery.
const FORECAST_DRAWS: usize = 6;

/// Cross-data centre price from which a call gets only queued offers, in microseconds.
const EXPENSIVE_PLACE_MICROS: u32 = 50_000;

/// Upstreams that a call was offered to, and the refusals.
#[derive(Debug, Default)]
struct OfferHistory {
    /// Upstreams that refused an immediate offer; they may get a queued one.
    busy: SmallVec<[UpstreamName; 4]>,
    /// Upstreams that get no further offer of this call.
    exhausted: SmallVec<[UpstreamName; 4]>,
    /// Upstreams whose gates refused because of where they stand; counted as no attempt.
    misplaced: u32,
    /// Attempts that reached an upstream or may have reached one.
    reached_attempts: u32,
    /// Most recent refusal.
    last_refusal: Option<Refusal>,
    /// Why the outcome is unknown, if an attempt may have run.
    unknown: Option<UnknownReason>,
}

impl OfferHistory {
    /// Return the upstreams to skip for the next offer.
    fn excluded(&self, queue_mode: QueueMode) -> SmallVec<[UpstreamName; 4]> {
        let mut names = self.exhausted.clone();
        if queue_mode == QueueMode::None {
            names.extend(self.busy.iter().cloned());
        }
        names
    }

    fn record_refusal(&mut self, name: &UpstreamName, queue_mode: QueueMode, refusal: Refusal) {
        self.last_refusal = Some(refusal);
        self.unknown = self.unknown.or(refusal.unknown());
        if reached_upstream(refusal) {
            self.reached_attempts += 1;
        }
        if is_misplaced(refusal) {
            self.misplaced += 1;
            self.exhausted.push(name.clone());
        } else if queue_mode == QueueMode::None && !reached_upstream(refusal) {
            self.busy.push(name.clone());
        } else {
            self.exhausted.push(name.clone());
        }
    }
}

/// Run a call on any upstream, with retries if safe and within budget.
async fn run_without_token(
    mut cx: AttemptCx<'_>,
    service: &Arc<ServiceRoutes>,
    call: &mut Call,
    trace: &mut Trace,
) -> Result<Answer, Refusal> {
    let mut service = Arc::clone(service);
    let price = FarPrice::of(cx.node, call);
    let mut offers = Offers::new(offer_rule(cx, call, price));
    let mut history = OfferHistory::default();
    // A call that stems from a retry earns no budget; otherwise retries at one depth
    // would pay for retries at the next.
    if !call.outer_retry {
        service.retries.earn(service.retry_percent);
        service.hedges.earn(cx.kind.hedge_percent);
    }
    while let Some(queue_mode) = offers.next() {
        cx.queue_mode = queue_mode;
        let Some(candidate) = next_candidate(cx, &service, &history, price).await else {
            if queue_mode == QueueMode::Queue {
                break;
            }
            offers.skip_immediate();
            continue;
        };
        let offer = trace.record_offer(cx, &candidate);
        let refusal = match hedged(cx, &service, &candidate, call).await {
            Ok(answer) => return Ok(answer),
            Err(e) => e.refusal(),
        };
        trace.record_refusal(offer, refusal);
        if !is_misplaced(refusal) {
            offers.record_refusal(queue_mode);
        }
        history.record_refusal(&candidate.upstream.name, queue_mode, refusal);
        let Some(reason) = reason_to_retry(cx, &service, call, &history, refusal) else {
            trace.note_return(earliest_start(&service, cx.node.clock.now()));
            return Err(refusal.after(history.unknown));
        };
        cx.node.metrics.count_retry(reason);
        cx.retried |= reached_upstream(refusal);
        service = renew_service(cx.node, call, service);
    }
    trace.note_return(earliest_start(&service, cx.node.clock.now()));
    let no_upstream = || Attempt::begin().refuse(NotRunReason::NoUpstream).into();
    Err(history
        .last_refusal
        .unwrap_or_else(no_upstream)
        .after(history.unknown))
}

/// Return the service with the upstreams that may serve the call now.
///
/// The routes may have changed while the call waited at a gate.
fn renew_service(node: &Node, call: &Call, service: Arc<ServiceRoutes>) -> Arc<ServiceRoutes> {
    let routes = node.board.routes.read();
    let name = &service.service.name;
    let renewed = routes.renew(&call.host, &call.method, call.path(), name);
    renewed.unwrap_or(service)
}

/// Return when the first upstream of a service takes another request.
///
/// Returns `None` unless the rates that they named keep all of them from it now.
fn earliest_start(service: &ServiceRoutes, now: Instant) -> Option<Instant> {
    let live = service
        .candidates
        .iter()
        .filter(|candidate| candidate.sample(now).availability == Availability::Live);
    let starts: Option<SmallVec<[Instant; 16]>> = live
        .map(|candidate| candidate.signals.next_start(now))
        .collect();
    starts?.into_iter().min()
}

fn offer_rule(cx: AttemptCx<'_>, call: &Call, price: FarPrice) -> OfferRule {
    if cx.node.settings.discovery.is_none() {
        return OfferRule {
            immediate: 0,
            queued: cx.kind.attempts,
        };
    }
    // A call whose body is expensive to move queues at a nearby gate instead of looking
    // for a free slot in other data centres. A streamed body can be sent only once, so its
    // call gets a single offer.
    match call.body {
        CallBody::Streamed { .. } => OfferRule {
            immediate: 0,
            queued: 1,
        },
        CallBody::Buffered(_) if price.micros >= EXPENSIVE_PLACE_MICROS => OfferRule {
            immediate: 0,
            ..FORECAST_OFFERS
        },
        CallBody::Buffered(_) => FORECAST_OFFERS,
    }
}

/// Return the reason to retry a refused call, or `None` if it is final.
fn reason_to_retry(
    cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    call: &Call,
    history: &OfferHistory,
    refusal: Refusal,
) -> Option<RetryReason> {
    let has_forecasts = cx.node.settings.discovery.is_some();
    let attempts = if has_forecasts {
        history.reached_attempts
    } else {
        (history.exhausted.len() + history.busy.len()) as u32 - history.misplaced
    };
    let context = RetryContext {
        idempotent: cx.kind.idempotent,
        replayable: matches!(call.body, CallBody::Buffered(_)) || is_misplaced(refusal),
        bound: false,
        outer_retry: call.outer_retry && !is_misplaced(refusal),
        attempts,
        max_attempts: cx.kind.attempts,
    };
    let unbudgeted = is_misplaced(refusal) || (has_forecasts && !reached_upstream(refusal));
    retry_reason(refusal, context).filter(|_| unbudgeted || service.retries.try_spend())
}

async fn next_candidate(
    cx: AttemptCx<'_>,
    service: &ServiceRoutes,
    history: &OfferHistory,
    price: FarPrice,
) -> Option<Arc<Candidate>> {
    let default_policy = Policy::default();
    let draws = match cx.node.settings.discovery {
        // More draws can make entries herd on one upstream. Gates that forecast refuse
        // the excess, so more candidates may be sampled.
        Some(_) => FORECAST_DRAWS,
        None => default_policy.draws,
    };
    let policy = Policy {
        weigh: cx.kind.weigh,
        draws,
        ..default_policy
    };
    let excluded = history.excluded(cx.queue_mode);
    let draw = || {
        let now = cx.node.clock.now();
        let rng = &mut cx.node.rng();
        pick(
            &service.candidates,
            &excluded,
            cx.queue_mode,
            &policy,
            price,
            now,
            rng,
        )
        .cloned()
    };
    if let Some(candidate) = draw() {
        return Some(candidate);
    }
    if history.last_refusal.is_some() {
        return None;
    }
    wait_for_any_link(cx, service).await;
    draw()
}

/// Wait until an upstream of the service that is not leaving has a link.
async fn wait_for_any_link(cx: AttemptCx<'_>, service: &ServiceRoutes) {
    let candidates = service
        .candidates
        .iter()
        .filter(|c| !c.signals.is_leaving());
    let waits: Vec<_> = candidates
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
    let mut limit = Deadline::in_millis(now, MAX_LINK_WAIT_MS).min(cx.deadline);
    if cx.node.settings.discovery.is_some() {
        // After a longer wait the answer would be late, so the call is refused early.
        let target_left_ms = cx.target.remaining(now).as_millis() as u64;
        limit = limit.min(Deadline::in_millis(now, target_left_ms / LINK_WAIT_DIVISOR));
    }
    candidate.link_slot.wait(cx.node.clock, limit).await
}
