//! Moves the gate's limit with the upstream's latency.

use std::sync::Arc;

use smol::future;

use crate::daemon::Node;
use crate::events::Event;
use crate::events::LeftOutRecord;
use mustardtiller_core::KneeDetector;
use mustardtiller_core::Limiter;
use mustardtiller_core::LimiterBounds;

/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 100;

/// Time between two looks at how an upstream fares when it is full, in milliseconds.
const KNEE_STEP_MS: u64 = 500;

/// Share of the slots below which the limit does not fall, as a divisor.
const FLOOR_DIVISOR: u32 = 2;

/// Keep the gate's limit, and tell of lines that were left out of the log.
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
            let filled = knee.step(gate.take_knee_window(), node.clock.now());
            gate.set_slots(slots);
            if gate.limit() != filled {
                Event::SlotsFilled.log(format_args!("{filled} of {slots}"));
                gate.set_limit(filled);
                node.metrics.slots_filled.set(i64::from(filled));
                node.admission.wake();
            }
            let left_out = node.lines.take_suppressed();
            if left_out > 0 {
                Event::LinesDropped.record(&LeftOutRecord { lines: left_out });
            }
            future::or(changed, node.clock.sleep_millis(KNEE_STEP_MS)).await;
            continue;
        }
        let before = node.board.gate.limit();
        let limit = limiter.step(node.board.gate.take_window());
        node.board.gate.set_slots(limit);
        node.board.gate.set_limit(limit);
        if limit > before {
            node.admission.wake();
        }
        future::or(changed, node.clock.sleep_millis(STEP_MS)).await;
    }
}
