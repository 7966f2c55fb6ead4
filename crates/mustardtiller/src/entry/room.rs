//! What gates have reported of their room, as it bears on a call.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Candidate;
use crate::board::ServiceRoutes;
use crate::entry::attempt::AttemptCx;
use mustardtiller_core::Availability;
use mustardtiller_core::Instant;
use mustardtiller_core::OfferRule;
use mustardtiller_core::RefusedCall;
use mustardtiller_core::ReturnTime;
use mustardtiller_core::ReturnWindow;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::may_avoid;

/// Return the upstreams that shed with slots free, if they are few among the service's.
pub fn avoided(service: &ServiceRoutes, now: Instant) -> SmallVec<[UpstreamName; 4]> {
    let (mut live, mut shedding) = (0, 0);
    for candidate in live_at_home(service, now) {
        live += 1;
        shedding += usize::from(candidate.signals.is_shedding(now));
    }
    if !may_avoid(&service.ejection(), live, shedding) {
        return SmallVec::new();
    }
    let candidates = service.candidates.iter();
    candidates
        .filter(|candidate| candidate.signals.is_shedding(now))
        .map(|candidate| candidate.upstream.name.clone())
        .collect()
}

/// Return the upstreams of the own region that take requests.
fn live_at_home(service: &ServiceRoutes, now: Instant) -> impl Iterator<Item = &Candidate> {
    live(service, now).filter(|candidate| !candidate.in_other_region)
}

/// Return the upstreams of all regions that take requests.
fn live(service: &ServiceRoutes, now: Instant) -> impl Iterator<Item = &Candidate> {
    let candidates = service.candidates.iter().map(Arc::as_ref);
    candidates.filter(move |candidate| candidate.sample(now).availability == Availability::Live)
}

/// Count the upstreams of the own region that may have a free slot, by their last reports.
pub fn free_at_home(service: &ServiceRoutes, excluded: &[UpstreamName], now: Instant) -> u32 {
    live_at_home(service, now)
        .filter(|candidate| may_be_free(candidate, now))
        .filter(|candidate| !excluded.contains(&candidate.upstream.name))
        .count() as u32
}

fn may_be_free(candidate: &Candidate, now: Instant) -> bool {
    let signals = &candidate.signals;
    !signals.is_shedding(now) && signals.slot_at() <= now
}

/// Return when the caller of a refused call should come back, if that is known.
///
/// Without discovery, gates forecast nothing, and only the rates that upstreams named
/// say when one takes the next request.
pub fn return_time(cx: AttemptCx<'_>, service: &ServiceRoutes) -> Option<ReturnTime> {
    match cx.node.settings.discovery {
        Some(_) => Some(ReturnTime::Within(return_window(cx, service))),
        None => earliest_start(service, cx.node.clock.now()).map(ReturnTime::NotBefore),
    }
}

/// Return when the first upstream of a service takes another request.
///
/// Returns `None` unless all live ones have named a rate.
fn earliest_start(service: &ServiceRoutes, now: Instant) -> Option<Instant> {
    let starts: Option<SmallVec<[Instant; 16]>> = live(service, now)
        .map(|candidate| candidate.signals.next_start(now))
        .collect();
    starts?.into_iter().min()
}

fn return_window(cx: AttemptCx<'_>, service: &ServiceRoutes) -> ReturnWindow {
    let now = cx.node.clock.now();
    let place_at = live(service, now)
        .filter(|candidate| !candidate.signals.is_shedding(now))
        .map(|candidate| place_at(candidate, now))
        .min();
    let latencies = || live(service, now).map(|c| u64::from(c.signals.latency_micros()));
    let mean_micros = latencies()
        .sum::<u64>()
        .checked_div(latencies().count() as u64);
    let refused = RefusedCall {
        now,
        service_micros: mean_micros.unwrap_or_default(),
        target: cx.target,
        deadline: cx.deadline,
    };
    refused.return_window(place_at)
}

/// Return when an upstream is likely to take another request, by its gate's last report.
fn place_at(candidate: &Candidate, now: Instant) -> Instant {
    let signals = &candidate.signals;
    let start_at = signals.next_start(now).unwrap_or(now);
    start_at.max(signals.slot_at())
}

/// Adapt the offers of a call to what gates have reported.
pub fn rule_for_load(cx: AttemptCx<'_>, service: &ServiceRoutes, rule: OfferRule) -> OfferRule {
    if cx.node.settings.discovery.is_none() {
        return rule;
    }
    let now = cx.node.clock.now();
    let kind_digest = cx.kind.digest();
    let mut candidates = service.candidates.iter();
    let nested = candidates.any(|c| c.signals.nested_kinds().contains(kind_digest));
    // A nested call is short, and is best run where the upstream isn't slow, which only
    // an offer for an immediate start finds out.
    if nested {
        return rule;
    }
    // An immediate offer is also how a call leaves a region that is full.
    let free = live(service, now).filter(|candidate| may_be_free(candidate, now));
    rule.with_room(free.count() as u32)
}
