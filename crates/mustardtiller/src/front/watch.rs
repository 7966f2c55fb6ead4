//! Watches a request body while its caller sends it.

use std::sync::Arc;

use crate::board::CallerConnection;
use crate::board::Phase;
use crate::daemon::Node;
use crate::metrics::CounterId;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::StalledBody;

/// Watches one request body, and says when a stalled one is given up.
#[derive(Clone, Debug)]
pub struct BodyWatch {
    node: Arc<Node>,
    caller: Arc<CallerConnection>,
}

impl BodyWatch {
    /// Watch a body that arrives on a caller's connection.
    pub const fn new(node: Arc<Node>, caller: Arc<CallerConnection>) -> Self {
        Self { node, caller }
    }

    /// Return the daemon's node.
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Record that the daemon begins to wait for bytes; returns since when.
    pub fn begin_wait(&self) -> Instant {
        let now = self.node.clock.now();
        self.caller.begin_wait(now);
        now
    }

    /// Record that bytes have come, or that none are awaited.
    pub fn end_wait(&self) {
        self.caller.end_wait();
    }

    /// Record that the end of the body has been read.
    pub fn end_body(&self) {
        self.end_wait();
        self.caller.end_body();
    }

    /// Return why a body is refused for which the daemon has waited since `since`.
    pub fn refusal(&self, since: Instant) -> Option<NotRunReason> {
        let stalled = StalledBody {
            stalled_micros: self.node.clock.now().micros_since(since),
            is_dismissed: self.caller.is_dismissed(),
            is_stopping: self.node.board.phase.read() >= Phase::Draining,
            under_pressure: self.node.board.held.is_under_pressure(),
        };
        let refusal = stalled.refusal();
        if refusal.is_some() {
            self.node.metrics.count(CounterId::BodiesStalled);
        }
        refusal
    }
}
