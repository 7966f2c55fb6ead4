//! Learns which upstream stands beside this daemon where it registers itself.

use std::sync::Arc;

use smol::future;

use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use crate::settings::DiscoverySettings;
use crate::upstream::ProbeReport;
use crate::upstream::probe;
use mustardtiller_config::Upstream;
use mustardtiller_core::RegistrationState;

/// Time between two probes of an upstream that does not answer, in milliseconds.
const RETRY_MS: u64 = 200;

/// Least time between two probes of one that does, in milliseconds.
const PAUSE_MS: u64 = 100;

/// Failed probes in a row after which the upstream counts as down.
const DOWN_AFTER: u32 = 2;

/// Keep the upstream beside this daemon on the board.
///
/// It is probed when nothing is known of it or something speaks against what
/// is known, never at a fixed rate: its answers tell the rest.
pub async fn control_local(node: Arc<Node>) {
    let Some(discovery) = node.settings.discovery.clone() else {
        return;
    };
    let mut failures = 0;
    while node.board.phase.read() < Phase::Draining {
        let doubted = node.board.recheck_local.listen();
        let registered = node.board.registry.listen();
        note_registration(&node, &discovery);
        node.metrics.count(CounterId::Measurements);
        match probe(&node, &discovery).await {
            Ok(probed) => {
                failures = 0;
                take(&node, &discovery, &probed);
            }
            Err(cause) => {
                node.metrics.count(CounterId::MeasurementsFailed);
                failures += 1;
                if failures == DOWN_AFTER && !node.board.gate.set_down(true) {
                    Event::UpstreamDown.log(cause);
                }
                node.clock.sleep_millis(RETRY_MS).await;
                continue;
            }
        }
        wait_for_doubt(&node, &discovery, doubted, registered).await;
        node.clock.sleep_millis(PAUSE_MS).await;
    }
}

/// Wait until something speaks against what is known.
async fn wait_for_doubt(
    node: &Node,
    discovery: &DiscoverySettings,
    doubted: event_listener::EventListener,
    registered: event_listener::EventListener,
) {
    let doubted = async {
        doubted.await;
    };
    let changed = async {
        let mut registered = registered;
        loop {
            registered.await;
            registered = node.board.registry.listen();
            note_registration(node, discovery);
            let registry = node.board.registry.read();
            let listed = registry.at_address(discovery.upstream);
            if listed.is_some_and(|entry| !node.serves(entry.name.as_str())) {
                return;
            }
        }
    };
    let stopped = node.board.phase.reached(Phase::Draining);
    future::or(doubted, future::or(changed, stopped)).await;
}

/// Note whether the own upstream's registration says that it leaves.
///
/// One that was registered and no longer is has left without a word.
fn note_registration(node: &Node, discovery: &DiscoverySettings) {
    let registry = node.board.registry.read();
    let Some(local) = node.own_upstream() else {
        return;
    };
    let leaving = match registry.get(local.name.as_str()) {
        Some(entry) => entry.state == RegistrationState::Draining,
        // Before it has registered, it is only new.
        None => {
            node.board.gate.was_registered() && registry.at_address(discovery.upstream).is_none()
        }
    };
    if registry.get(local.name.as_str()).is_some() {
        node.board.gate.set_registered();
    }
    if node.board.gate.set_listed_leaving(leaving) != leaving {
        node.log_leaving(leaving, "its registration says so");
    }
}

fn take(node: &Node, discovery: &DiscoverySettings, probed: &ProbeReport) {
    let gate = &node.board.gate;
    if let Some(load) = probed.load {
        gate.slowdown.set(load.work_percent, node.clock.now());
    }
    if gate.set_down(false) {
        Event::UpstreamUp.log(&probed.name);
        node.admission.wake();
    }
    let known = node.own_upstream();
    let slots = probed.load.map_or(1, |load| load.slots.max(1));
    if known.is_some_and(|known| known.name == probed.name && known.slots == slots) {
        return;
    }
    Event::LocalUpstream.log(format_args!("{} with {slots} slots", probed.name));
    let upstream = Upstream {
        name: probed.name.clone(),
        place: node.board.identity.place.clone(),
        address: discovery.upstream,
        link: node.settings.link,
        slots,
        connections: u32::MAX,
    };
    node.board.local.publish(Arc::new(Some(Arc::new(upstream))));
    node.limits_changed.notify(1);
    note_registration(node, discovery);
}
