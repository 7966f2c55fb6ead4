//! The offers of a call to gates: candidates, retries and the final refusal.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Candidate;
use crate::board::ServiceRoutes;
use crate::entry::attempt::AttemptCx;
use crate::entry::call::Answer;
use crate::entry::call::Call;
use crate::entry::call::CallBody;
use crate::entry::hedge::hedged;
use crate::entry::link_wait::wait_for_any_link;
use crate::entry::pick::FarPrice;
use crate::entry::pick::Reach;
use crate::entry::pick::pick;
use crate::entry::room::avoided;
use crate::entry::room::free_at_home;
use crate::entry::room::return_time;
use crate::entry::room::rule_for_load;
use crate::entry::trace::Trace;
use crate::entry::view_wait::ViewWait;
use crate::entry::view_wait::is_other_view;
use crate::entry::view_wait::renew_service;
use crate::metrics::CounterId;
use mustardtiller_core::Attempt;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::OfferRule;
use mustardtiller_core::OfferScope;
use mustardtiller_core::Offers;
use mustardtiller_core::Policy;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Refusal;
use mustardtiller_core::RetryContext;
use mustardtiller_core::RetryReason;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::is_misplaced;
use mustardtiller_core::reached_upstream;
use mustardtiller_core::retry_reason;

/// Offers of a call with discovery, where gates forecast waiting times.
const FORECAST_OFFERS: OfferRule = OfferRule {
    immediate: 4,
    queued: 2,
};

/// Candidates sampled for one offer with discovery.
const FORECAST_DRAWS: usize = 6;

/// Gates with another view of the route's regions that a call asks before it waits.
const MAX_OTHER_VIEWS: usize = 3;

/// Cross-data centre price from which a call gets only queued offers, in microseconds.
const EXPENSIVE_PLACE_MICROS: u32 = 50_000;

/// Upstreams that a call was offered to, and the refusals.
#[derive(Debug, Default)]
struct OfferHistory {
    /// Upstreams that refused an immediate offer; they may get a queued one.
    busy: SmallVec<[UpstreamName; 4]>,
    /// Upstreams that get no further offer of this call.
    exhausted: SmallVec<[UpstreamName; 4]>,
    /// Upstreams whose gates hold another view of the route's regions.
    other_view: SmallVec<[UpstreamName; 4]>,
    /// Exhausted upstreams whose data centre is out of service; counted as no attempt.
    evacuated: u32,
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
        names.extend(self.other_view.iter().cloned());
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
        if is_other_view(refusal) {
            self.other_view.push(name.clone());
        } else if is_misplaced(refusal) {
            self.evacuated += 1;
            self.exhausted.push(name.clone());
        } else if queue_mode == QueueMode::None && !reached_upstream(refusal) {
            self.busy.push(name.clone());
        } else {
            self.exhausted.push(name.clone());
        }
    }
}

/// Run a call on any upstream, with retries if safe and within budget.
pub async fn run_without_token(
    mut cx: AttemptCx<'_>,
    service: &Arc<ServiceRoutes>,
    call: &mut Call,
    trace: &mut Trace,
) -> Result<Answer, Refusal> {
    let mut service = Arc::clone(service);
    let price = FarPrice::of(cx.node, call);
    let rule = offer_rule(cx, call, price);
    let mut offers = Offers::new(rule_for_load(cx, &service, rule));
    let mut history = OfferHistory::default();
    let mut view_wait = ViewWait::default();
    let mut version = cx.node.board.routes.read().version;
    // A call that stems from a retry earns no budget; otherwise retries at one depth
    // would pay for retries at the next.
    if !call.outer_retry {
        service.retries.earn(service.retry_percent);
        service.hedges.earn(cx.kind.hedge_percent);
    }
    // Each offer has the deadline of the call, or that of a stop of this daemon.
    let whole = cx;
    while let Some(queue_mode) = offers.next() {
        cx.queue_mode = queue_mode;
        cx.deadline = match whole.work_deadline() {
            Ok(deadline) => deadline,
            Err(reason) => {
                let refusal: Refusal = Attempt::begin().refuse(reason).into();
                return Err(refusal.after(history.unknown));
            }
        };
        cx.target = whole.target.min(cx.deadline);
        let Some(candidate) = next_candidate(cx, &service, &history, price).await else {
            if queue_mode == QueueMode::None {
                offers.skip_immediate();
                continue;
            }
            if history.other_view.is_empty() || !view_wait.wait(cx, version).await {
                break;
            }
            version = cx.node.board.routes.read().version;
            history.other_view.clear();
            service = renew_service(cx.node, call, service);
            continue;
        };
        if candidate.in_other_region {
            cx.node.metrics.count(CounterId::OffersElsewhere);
        }
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
            trace.note_return(return_time(cx, &service));
            return Err(refusal.after(history.unknown));
        };
        cx.node.metrics.count_retry(reason);
        cx.retried |= reached_upstream(refusal);
        service = renew_service(cx.node, call, service);
    }
    trace.note_return(return_time(cx, &service));
    let no_upstream = || Attempt::begin().refuse(NotRunReason::NoUpstream).into();
    Err(history
        .last_refusal
        .unwrap_or_else(no_upstream)
        .after(history.unknown))
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
    // A retry after the deadline could only take from the budget of the others.
    if cx.deadline.has_passed(cx.node.clock.now()) {
        return None;
    }
    let has_forecasts = cx.node.settings.discovery.is_some();
    let attempts = if has_forecasts {
        history.reached_attempts
    } else {
        (history.exhausted.len() + history.busy.len()) as u32 - history.evacuated
    };
    let context = RetryContext {
        idempotent: cx.kind.idempotent,
        // A gate refuses such a call before it reads a body.
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
    if history.other_view.len() >= MAX_OTHER_VIEWS {
        return None;
    }
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
    let avoided = avoided(service, cx.node.clock.now());
    let draw_without = |excluded: &[UpstreamName], scope| {
        let now = cx.node.clock.now();
        let reach = Reach {
            price,
            scope,
            left_micros: cx.target.instant().micros_since(now),
        };
        let rng = &mut cx.node.rng();
        let candidates = &service.candidates;
        let mode = cx.queue_mode;
        pick(candidates, excluded, mode, &policy, reach, now, rng).cloned()
    };
    let draw_in = |scope| {
        let mut all = excluded.clone();
        all.extend(avoided.iter().cloned());
        draw_without(&all, scope).or_else(|| match cx.queue_mode {
            QueueMode::Queue => draw_without(&excluded, scope),
            QueueMode::None => None,
        })
    };
    let draw = || {
        let regions = service.candidates.iter().any(|c| c.in_other_region);
        if cx.node.settings.discovery.is_none() || !regions {
            return draw_in(OfferScope::Any);
        }
        let free = free_at_home(service, &excluded, cx.node.clock.now());
        let scope = OfferScope::of_offer(cx.queue_mode, history.busy.len() as u32, free);
        draw_in(scope).or_else(|| draw_in(scope.otherwise(cx.queue_mode)?))
    };
    if let Some(candidate) = draw() {
        return Some(candidate);
    }
    if history
        .last_refusal
        .is_some_and(|refusal| !is_misplaced(refusal))
    {
        return None;
    }
    wait_for_any_link(cx, service).await;
    draw()
}
