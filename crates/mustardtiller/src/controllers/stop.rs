//! The graceful stop of a daemon.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;

/// Time between two checks of what is in flight, in milliseconds.
const POLL_MS: u64 = 20;

/// Time for the last frames on links to be sent and read, in milliseconds.
const LINGER_MS: u64 = 200;

/// Stop the daemon in steps once it is asked to stop.
///
/// First the daemon announces that it is leaving and goes on serving what can end in
/// time, so that callers and other daemons move to other hosts. Then it refuses new
/// requests and finishes those in flight, until none has been for a while. At the end
/// of the [`StopSchedule`](mustardtiller_core::StopSchedule) it stops and logs how many
/// are still in flight. Last, it waits until the callers whose connections the kernel
/// had accepted have their refusals.
pub async fn control_stop(node: Arc<Node>) {
    node.board.phase.reached(Phase::Withdrawn).await;
    let schedule = node.settings.stop.schedule(node.clock.now());
    node.board.stop.publish(Arc::new(Some(schedule)));
    Event::StopRequested.log(format_args!("{} in flight", in_flight(&node)));
    node.clock.sleep_until(schedule.refuses_from).await;
    node.board.phase.advance(Phase::Draining);
    node.admission.wake();
    // A request may begin between two checks, and the last frames need time.
    let mut quiet_since = node.clock.now();
    loop {
        let now = node.clock.now();
        if in_flight(&node) > 0 {
            quiet_since = now;
        } else if now.micros_since(quiet_since) >= LINGER_MS * 1_000 {
            break;
        }
        if schedule.work_ends.has_passed(now) {
            let left = in_flight(&node);
            if left > 0 {
                Event::StopTimedOut.log(format_args!("{left} in flight"));
                node.clock.sleep_millis(LINGER_MS).await;
            }
            break;
        }
        node.clock.sleep_millis(POLL_MS).await;
    }
    node.board.phase.advance(Phase::Closing);
    // The entry closes its listener, so that no caller can prolong this.
    while node.board.closes_owed.load(Ordering::SeqCst) > 0
        && !schedule.answers_end.has_passed(node.clock.now())
    {
        node.clock.sleep_millis(POLL_MS).await;
    }
    node.board.phase.advance(Phase::Stopped);
}

/// Count what is in flight: callers' connections, and requests at the gate.
///
/// While draining, a caller's connection closes once its answer has been written.
fn in_flight(node: &Node) -> i64 {
    let callers = node.metrics.gauges.caller_connections.get();
    callers + i64::from(node.board.gate.in_flight()) + i64::from(node.board.gate.waiting())
}
