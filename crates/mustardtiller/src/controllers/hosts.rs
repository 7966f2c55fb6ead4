//! Reads the host list.

use std::sync::Arc;

use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use crate::published::PublishedSource;
use crate::published::parse_hosts;
use mustardtiller_core::HostList;
use mustardtiller_core::MemberState;

/// Longest wait after a failed read, in milliseconds.
const MAX_RETRY_MS: u64 = 5_000;

/// Keep the host list on the board.
pub async fn control_hosts(node: Arc<Node>, platform: Arc<dyn PublishedSource>) {
    let mut rng = node.rng();
    let start_ms = node.settings.spread.start_ms;
    node.clock.sleep_millis(rng.u64(0..=start_ms)).await;
    let mut failures = 0_u32;
    loop {
        node.metrics.count(CounterId::PlatformReads);
        let wait = match read(platform.as_ref()).await {
            Ok(list) => {
                failures = 0;
                take(&node, list);
                node.settings.hosts_ms
            }
            Err(()) => {
                node.metrics.count(CounterId::PlatformFailures);
                failures += 1;
                (100 << failures.min(8))
                    .min(MAX_RETRY_MS)
                    .min(node.settings.hosts_ms)
            }
        };
        node.clock.sleep_millis(rng.u64(wait * 3 / 4..=wait)).await;
    }
}

async fn read(platform: &dyn PublishedSource) -> Result<HostList, ()> {
    let bytes = platform
        .hosts()
        .await
        .map_err(|e| Event::HostsFailed.log(e))?;
    let text = String::from_utf8_lossy(&bytes);
    parse_hosts(&text).map_err(|line| Event::HostsMalformed.log(line))
}

fn take(node: &Node, list: HostList) {
    let own = list.state_of(&node.board.identity.upstream);
    let leaving = own == Some(MemberState::Leaving);
    if node.board.gate.set_listed_leaving(leaving) != leaving {
        node.log_leaving(leaving, "the host list says so");
    }
    if *node.board.hosts.share() != list {
        node.board.hosts.publish(Arc::new(list));
    }
}
