//! Measures by how much tasks run later than they are due.

use std::sync::Arc;

use crate::daemon::Node;
use crate::events::Event;
use mustardtiller_core::Deadline;

/// Time between two measurements, in milliseconds.
const INTERVAL_MS: u64 = 500;

/// Delay from which a measurement is logged, in milliseconds.
///
/// Callers allow a connection one second to be accepted.
const LOGGED_DELAY_MS: u64 = 500;

/// Keep the delay of tasks in the metrics, and log a long one.
///
/// With the counters of accepted and failed connections, it tells an entry that is
/// starved of processor time from one that has no descriptors left.
pub async fn control_delays(node: Arc<Node>) {
    loop {
        let due = Deadline::in_millis(node.clock.now(), INTERVAL_MS);
        node.clock.sleep_until(due).await;
        let delay_ms = node.clock.now().micros_since(due.instant()) / 1_000;
        let gauge = i64::try_from(delay_ms).unwrap_or(i64::MAX);
        node.metrics.gauges.task_delay_ms.set(gauge);
        if delay_ms >= LOGGED_DELAY_MS {
            let callers = node.metrics.gauges.caller_connections.get();
            let in_flight = node.metrics.gauges.entry_in_flight.get();
            Event::TasksDelayed.log(format_args!(
                "{delay_ms} ms, {callers} connections of callers, {in_flight} requests in flight"
            ));
        }
    }
}
