//! Reads the host list from the platform at an interval.

use std::sync::Arc;

use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use crate::published::PublishedSource;
use crate::published::parse_hosts;
use mustardtiller_core::HostList;
use mustardtiller_core::HostReads;
use mustardtiller_core::MemberState;

/// Keep the board's host list up to date.
pub async fn control_hosts(node: Arc<Node>, platform: Arc<dyn PublishedSource>) {
    let mut rng = node.rng();
    let mut reads = HostReads::new(node.settings.spread.start_ms, node.settings.hosts_ms);
    let mut next_read = reads.first_read(node.clock.now(), &mut rng);
    loop {
        node.clock.sleep_until(next_read).await;
        node.metrics.count(CounterId::PlatformReads);
        let read = read_hosts(platform.as_ref()).await;
        next_read = reads.next_read(read.is_ok(), node.clock.now(), &mut rng);
        match read {
            Ok(list) => update_hosts(&node, list),
            Err(()) => node.metrics.count(CounterId::PlatformFailures),
        }
    }
}

async fn read_hosts(platform: &dyn PublishedSource) -> Result<HostList, ()> {
    let bytes = platform
        .hosts()
        .await
        .map_err(|e| Event::HostsFailed.log(e))?;
    let text = String::from_utf8_lossy(&bytes);
    let parsed = parse_hosts(&text).map_err(|line| Event::HostsMalformed.log(line))?;
    if let Some(line) = parsed.malformed.first() {
        Event::HostsMalformed.log(format_args!(
            "{line} (one of {} lines that are ignored)",
            parsed.malformed.len()
        ));
    }
    Ok(parsed.list)
}

fn update_hosts(node: &Node, list: HostList) {
    let own = list.state_of(&node.board.identity.upstream);
    let leaving = own == Some(MemberState::Leaving);
    if node.board.gate.set_listed_leaving(leaving) != leaving {
        node.log_leaving(leaving, "reported by the host list");
    }
    if *node.board.hosts.share() != list {
        node.board.hosts.publish(Arc::new(list));
    }
}
