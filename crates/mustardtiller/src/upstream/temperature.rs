//! What probes and failed exchanges say of the upstream's temperature.

use crate::board::ReadingStart;
use crate::daemon::Node;
use crate::events::Event;

/// Record a health answer's statement of how long the upstream stays cold.
///
/// A change is logged, told to entries, and wakes requests that wait for a start.
pub fn note_temperature(node: &Node, begun: ReadingStart, cold_ms: Option<u64>) {
    let gate = &node.board.gate;
    let Some(rule) = gate.cold.rule() else {
        return;
    };
    let changed = gate.cold.finish_reading(begun, cold_ms, node.clock.now());
    node.admission.wake();
    let Some(cold) = changed else {
        return;
    };
    node.metrics.gauges.upstream_cold.set(i64::from(cold));
    gate.slowdown.slow_changed.notify(usize::MAX);
    if cold {
        Event::UpstreamCold.log(format_args!(
            "for {} ms; it bears {} thousandths a second",
            cold_ms.map_or(rule.length_ms, |ms| ms.min(rule.length_ms)),
            rule.rate.as_milli()
        ));
    } else {
        Event::UpstreamWarm.log("a health answer says so");
    }
}

/// Count the upstream as possibly cold until a health answer says otherwise.
pub fn doubt_temperature(node: &Node) {
    if node.board.gate.cold.rule().is_some() {
        node.board.gate.cold.raise_doubt();
        if node.load_probes.allowed(node) {
            node.load_probes.request();
        }
    }
}
