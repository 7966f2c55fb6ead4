//! The planned stop of a daemon.

use std::sync::Arc;

use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;
use mustardtiller_core::Deadline;

/// Time between two looks at what is in flight, in milliseconds.
const LOOK_MS: u64 = 20;

/// Lead the daemon from being asked to stop until it is empty.
///
/// First it says that it is leaving and goes on serving, so that callers and
/// other daemons turn away; then it takes no new request and finishes those
/// in flight; at the deadline it gives up and logs what is cut.
pub async fn control_stop(node: Arc<Node>) {
    node.board.phase.reached(Phase::Withdrawn).await;
    Event::StopAsked.log(format_args!("{} in flight", in_flight(&node)));
    node.clock.sleep_millis(node.settings.withdraw_ms).await;
    node.board.phase.advance(Phase::Draining);
    node.admission.wake();
    let deadline = Deadline::in_millis(node.clock.now(), node.settings.stop_ms);
    while in_flight(&node) > 0 {
        if deadline.has_passed(node.clock.now()) {
            Event::StopCut.log(format_args!("{} in flight", in_flight(&node)));
            break;
        }
        node.clock.sleep_millis(LOOK_MS).await;
    }
    node.board.phase.advance(Phase::Stopped);
}

/// Return the requests in flight at entry and gate.
fn in_flight(node: &Node) -> i64 {
    let connections = node.metrics.entry_in_flight.get();
    connections + i64::from(node.board.gate.in_flight()) + i64::from(node.board.gate.waiting())
}
