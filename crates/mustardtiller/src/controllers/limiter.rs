//! Adapts the gate's concurrency limit to the upstream's latency.

use std::sync::Arc;

use smol::future;

use crate::daemon::Node;
use crate::events::Event;
use crate::events::LinesDroppedRecord;
use mustardtiller_core::KneeDetector;
use mustardtiller_core::Limiter;
use mustardtiller_core::LimiterBounds;

/// Time between two steps of the latency-based limit, in milliseconds.
const STEP_MS: u64 = 100;

/// Time between two steps of the knee detection, in milliseconds.
const KNEE_STEP_MS: u64 = 500;

/// Divisor of the slots that gives the lowest latency-based limit.
const FLOOR_DIVISOR: u32 = 2;

/// Keep the gate's concurrency limit up to date.
///
/// Without discovery, the limit follows the upstream's latency. With discovery, it
/// is lowered while the service times show that a full upstream completes fewer
/// requests; each step then also logs the number of dropped log lines.
pub async fn control_limiter(node: Arc<Node>) {
    let mut limiter = Limiter::new(LimiterBounds { floor: 1, slots: 1 });
    let mut knee = KneeDetector::new(1);
    let mut slots = 0;
    loop {
        let changed = node.limits_changed.listen();
        if let Some(upstream) = node.own_upstream()
            && upstream.slots != slots
        {
            slots = upstream.slots;
            knee = KneeDetector::new(slots);
            let floor = (slots / FLOOR_DIVISOR).max(1);
            limiter = Limiter::new(LimiterBounds { floor, slots });
        }
        if node.settings.discovery.is_some() {
            let gate = &node.board.gate;
            let limit = knee.step(gate.take_knee_window(), node.clock.now());
            gate.set_slots(slots);
            if gate.limit() != limit {
                Event::LimitChanged.log(format_args!("{limit} of {slots}"));
                gate.set_limit(limit);
                node.metrics.gauges.slots_filled.set(i64::from(limit));
                node.admission.wake();
            }
            if let Some(nested) = gate.sources.evaluate() {
                let count = nested.0.count_ones();
                Event::NestedKindsLearned.log(format_args!("{count}"));
                node.metrics.gauges.nested_kinds.set(i64::from(count));
            }
            let dropped = node.log_lines.take_dropped() + node.rejection_lines.take_dropped();
            if dropped > 0 {
                Event::LinesDropped.record(&LinesDroppedRecord { lines: dropped });
            }
            future::or(changed, node.clock.sleep_millis(KNEE_STEP_MS)).await;
            continue;
        }
        let previous = node.board.gate.limit();
        let limit = limiter.step(node.board.gate.take_window());
        node.board.gate.set_slots(limit);
        node.board.gate.set_limit(limit);
        if limit > previous {
            node.admission.wake();
        }
        future::or(changed, node.clock.sleep_millis(STEP_MS)).await;
    }
}
