//! Detects links that have gone silent, and closes them.

use std::collections::HashMap;
use std::sync::Arc;

use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use mustardtiller_core::SilenceEffect;
use mustardtiller_core::SilenceRule;
use mustardtiller_core::SilenceWatch;

/// Time between two checks of every link, in milliseconds.
const ROUND_MS: u64 = 250;

/// Check every link once a round: ping it, or close it if it is silent.
pub async fn control_links(node: Arc<Node>) {
    let rule = SilenceRule::default();
    let mut watches: HashMap<usize, SilenceWatch> = HashMap::new();
    loop {
        node.clock.sleep_millis(ROUND_MS).await;
        let now = node.clock.now();
        let mut next = HashMap::with_capacity(watches.len());
        let routes = node.board.routes.share();
        let services = routes.services.values();
        for candidate in services.flat_map(|service| service.all()) {
            let Some(link) = candidate.link_slot.get() else {
                continue;
            };
            let mut watch = watches
                .remove(&Arc::as_ptr(&link).addr())
                .unwrap_or_default();
            let needs_exchange = link.needs_clock_exchange(now);
            match watch.step(&rule, link.open_streams(), link.frames(), needs_exchange) {
                SilenceEffect::Nothing => {}
                SilenceEffect::Ping => link.ping(now),
                SilenceEffect::Close => {
                    node.metrics.count(CounterId::LinksSilent);
                    Event::LinkSilent.log(&candidate.upstream.name);
                    link.close_silent();
                }
            }
            next.insert(Arc::as_ptr(&link).addr(), watch);
        }
        watches = next;
    }
}
