//! Waits until an entry and the gates that refused it agree on a route's regions.

use std::sync::Arc;

use smol::future;

use crate::board::ServiceRoutes;
use crate::daemon::Node;
use crate::entry::attempt::AttemptCx;
use crate::entry::call::Call;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Refusal;
use mustardtiller_core::Version;

/// Longest time in which a configuration reaches all daemons in touch, in milliseconds.
const SPREAD_MS: u64 = 2_000;

/// First time after which gates that refused are asked again, in milliseconds; doubles.
const ASK_AGAIN_MS: u64 = 100;

/// Most times that this time doubles.
const MAX_DOUBLINGS: u32 = 4;

/// How long a call waits for the views of its entry and of gates to agree.
///
/// Either may hold the older configuration, and the entry's routes follow its
/// configuration a moment later.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewWait {
    until: Option<Deadline>,
    /// Number of waits so far.
    waits: u32,
}

impl ViewWait {
    /// Wait for routes of another version than `refused`, or until gates may be asked again.
    ///
    /// Returns false if the views should have agreed by now.
    pub async fn wait(&mut self, cx: AttemptCx<'_>, refused: Version) -> bool {
        let now = cx.node.clock.now();
        let limit = || Deadline::in_millis(now, SPREAD_MS).min(cx.deadline);
        let until = *self.until.get_or_insert_with(limit);
        if until.has_passed(now) {
            return false;
        }
        let longest_ms = ASK_AGAIN_MS << self.waits.min(MAX_DOUBLINGS);
        // Calls that were refused together ask again apart.
        let wait_ms = cx.node.rng().u64(longest_ms * 3 / 4..=longest_ms);
        self.waits += 1;
        let ask_again = until.min(Deadline::in_millis(now, wait_ms));
        let renewed = wait_for_version(cx.node, refused);
        future::or(renewed, cx.node.clock.sleep_until(ask_again)).await;
        true
    }
}

/// Wait until routes are derived from another version of the configuration.
async fn wait_for_version(node: &Node, refused: Version) {
    loop {
        let changed = node.board.routes.listen();
        if node.board.routes.read().version != refused {
            return;
        }
        changed.await;
    }
}

/// Report whether a gate refused by another view of the route's regions.
pub const fn is_other_view(refusal: Refusal) -> bool {
    match refusal {
        Refusal::NotRun(not_run) => matches!(not_run.reason(), NotRunReason::OutsideRegion),
        Refusal::Unknown(_) => false,
    }
}

/// Return the service with the upstreams that may serve the call now.
///
/// The routes may have changed while the call waited at a gate.
pub fn renew_service(node: &Node, call: &Call, service: Arc<ServiceRoutes>) -> Arc<ServiceRoutes> {
    let routes = node.board.routes.read();
    let name = &service.service.name;
    let renewed = routes.renew(&call.host, &call.method, call.path(), name);
    renewed.unwrap_or(service)
}
