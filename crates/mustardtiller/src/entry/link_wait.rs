//! Waits for the links to upstreams' daemons.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;

use crate::board::Candidate;
use crate::board::ServiceRoutes;
use crate::entry::attempt::AttemptCx;
use crate::link::LinkHandle;
use mustardtiller_core::Deadline;

/// Longest wait for a link to an upstream, in milliseconds.
const MAX_LINK_WAIT_MS: u64 = 1_000;

/// Divisor of the time to the target that limits the wait for a link with discovery.
const LINK_WAIT_DIVISOR: u64 = 4;

/// Wait until an upstream of the service that is not leaving has a link.
pub async fn wait_for_any_link(cx: AttemptCx<'_>, service: &ServiceRoutes) {
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
    poll_fn(|task| {
        let ready = waits
            .iter_mut()
            .any(|wait| wait.as_mut().poll(task).is_ready());
        if ready {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}

pub async fn wait_for_link(
    cx: AttemptCx<'_>,
    candidate: &Arc<Candidate>,
) -> Option<Arc<LinkHandle>> {
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
