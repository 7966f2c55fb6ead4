//! The graceful stop of a daemon.

use std::sync::Arc;

use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;
use mustardtiller_core::Deadline;

/// Time between two checks of what is in flight, in milliseconds.
const POLL_MS: u64 = 20;

/// Time for the last frames on links to be sent and read, in milliseconds.
const LINGER_MS: u64 = 200;

/// Stop the daemon in steps once it is asked to stop.
///
/// First the daemon announces that it is leaving and goes on serving, so that
/// callers and other daemons move to other hosts. Then it refuses new requests
/// and finishes those in flight. At the deadline it stops and logs how many are
/// still in flight.
pub async fn control_stop(node: Arc<Node>) {
    node.board.phase.reached(Phase::Withdrawn).await;
    Event::StopRequested.log(format_args!("{} in flight", in_flight(&node)));
    node.clock.sleep_millis(node.settings.withdraw_ms).await;
    node.board.phase.advance(Phase::Draining);
    node.admission.wake();
    let deadline = Deadline::in_millis(node.clock.now(), node.settings.stop_ms);
    while in_flight(&node) > 0 {
        if deadline.has_passed(node.clock.now()) {
            Event::StopTimedOut.log(format_args!("{} in flight", in_flight(&node)));
            break;
        }
        node.clock.sleep_millis(POLL_MS).await;
    }
    node.clock.sleep_millis(LINGER_MS).await;
    node.board.phase.advance(Phase::Stopped);
}

/// Count what is in flight: callers' connections, and requests at the gate.
///
/// While draining, a caller's connection closes once its answer has been written.
fn in_flight(node: &Node) -> i64 {
    let callers = node.metrics.caller_connections.get();
    callers + i64::from(node.board.gate.in_flight()) + i64::from(node.board.gate.waiting())
}
