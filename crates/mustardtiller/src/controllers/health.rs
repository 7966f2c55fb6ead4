//! Lets upstreams rest that fail too often.

use std::sync::Arc;

use crate::board::Candidate;
use crate::board::ServiceRoutes;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use mustardtiller_core::Instant;
use mustardtiller_core::may_eject;

/// Look at error rates whenever a request has found one high.
pub async fn control_health(node: Arc<Node>) {
    loop {
        let unhealthy = node.board.unhealthy.listen();
        let routes = node.board.routes.share();
        let now = node.clock.now();
        for service in routes.services.values() {
            rest_failing(&node, service, now);
        }
        unhealthy.await;
    }
}

fn rest_failing(node: &Node, service: &ServiceRoutes, now: Instant) {
    let rule = service.ejection();
    let is_ejected = |candidate: &&Arc<Candidate>| candidate.signals.is_ejected(now);
    let mut ejected = service.candidates.iter().filter(is_ejected).count();
    for candidate in service.candidates.iter().filter(|c| !is_ejected(c)) {
        let signals = &candidate.signals;
        let failing = signals.error_rate().as_milli() >= rule.threshold_milli;
        if !failing || !may_eject(&rule, service.candidates.len(), ejected) {
            continue;
        }
        ejected += 1;
        let until = rule.eject_until(signals.ejections(), now);
        signals.eject_until(until.instant());
        node.metrics.count(CounterId::Ejections);
        Event::UpstreamEjected.log(&candidate.upstream.name);
    }
}
