//! Identifies the upstream beside this daemon when discovery is on.

use std::sync::Arc;

use smol::future;

use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use crate::settings::DiscoverySettings;
use crate::upstream::ProbeReport;
use crate::upstream::doubt_temperature;
use crate::upstream::note_temperature;
use crate::upstream::probe;
use mustardtiller_config::Upstream;
use mustardtiller_core::RegistrationState;

/// Time between two health probes of an upstream that does not answer, in milliseconds.
const RETRY_MS: u64 = 200;

/// Least time between two health probes of an upstream that answers, in milliseconds.
const MIN_INTERVAL_MS: u64 = 100;

/// Failed health probes in a row after which the upstream counts as down.
const DOWN_AFTER_FAILURES: u32 = 2;

/// Keep the upstream beside this daemon on the board.
///
/// It is probed while it is unknown or does not answer, and when a request, a load
/// probe or the registry suggests that it is gone or was replaced. There is no
/// periodic probe: its answers to requests carry its load.
pub async fn control_local(node: Arc<Node>) {
    let Some(discovery) = node.settings.discovery.clone() else {
        return;
    };
    watch_upstream(&node, &discovery).await;
}

/// Probe the upstream whenever it may be gone or replaced, until the daemon drains.
async fn watch_upstream(node: &Arc<Node>, discovery: &DiscoverySettings) {
    let mut failures = 0;
    while node.board.phase.read() < Phase::Draining {
        let recheck = node.board.recheck_local.listen();
        let registered = node.board.registry.listen();
        update_leaving(node, discovery);
        node.metrics.count(CounterId::Measurements);
        match probe(node, discovery).await {
            Ok(probed) => {
                failures = 0;
                apply_probe(node, discovery, &probed);
                note_temperature(node, probed.begun, probed.cold_ms);
            }
            Err(cause) => {
                node.metrics.count(CounterId::MeasurementsFailed);
                failures += 1;
                doubt_temperature(node);
                if failures == DOWN_AFTER_FAILURES && !node.board.gate.set_down(true) {
                    Event::UpstreamDown.log(cause);
                }
                node.clock.sleep_millis(RETRY_MS).await;
                continue;
            }
        }
        wait_for_change(node, discovery, recheck, registered).await;
        node.clock.sleep_millis(MIN_INTERVAL_MS).await;
    }
}

/// Wait until another upstream may be at the address, or the daemon drains.
async fn wait_for_change(
    node: &Node,
    discovery: &DiscoverySettings,
    recheck: event_listener::EventListener,
    registered: event_listener::EventListener,
) {
    let recheck = async {
        recheck.await;
    };
    let changed = async {
        let mut registered = registered;
        loop {
            registered.await;
            registered = node.board.registry.listen();
            update_leaving(node, discovery);
            let registry = node.board.registry.read();
            let listed = registry.at_address(discovery.upstream);
            if listed.is_some_and(|entry| !node.serves(entry.name.as_str())) {
                return;
            }
        }
    };
    let stopped = node.board.phase.reached(Phase::Draining);
    future::or(recheck, future::or(changed, stopped)).await;
}

/// Record whether the own upstream is leaving, by its registration.
///
/// If its registration has disappeared, it left without announcing it, unless
/// another upstream is registered at its address.
fn update_leaving(node: &Node, discovery: &DiscoverySettings) {
    let registry = node.board.registry.read();
    let Some(local) = node.own_upstream() else {
        return;
    };
    let leaving = match registry.get(local.name.as_str()) {
        Some(entry) => entry.state == RegistrationState::Draining,
        // An upstream that was never registered is new, not leaving.
        None => {
            node.board.gate.was_registered() && registry.at_address(discovery.upstream).is_none()
        }
    };
    if let Some(entry) = registry.get(local.name.as_str()) {
        let gate = &node.board.gate;
        gate.set_registered();
        let now = node.clock.now();
        gate.cold
            .note_registration(entry.started_ms, entry.cold, now);
        if node.board.gate.end_announcement(entry.started_ms) {
            node.log_leaving(false, "it has started again");
        }
    }
    if node.board.gate.set_listed_leaving(leaving) != leaving {
        node.log_leaving(leaving, "reported by its registration");
    }
}

/// Record what a health probe found: slowdown, reachability, name and slots.
fn apply_probe(node: &Node, discovery: &DiscoverySettings, probed: &ProbeReport) {
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
    if known
        .as_ref()
        .is_some_and(|known| known.name == probed.name && known.slots == slots)
    {
        return;
    }
    if known.is_some_and(|known| known.name != probed.name) {
        gate.forget_announcements(node.clock.now());
    }
    Event::OwnUpstreamIdentified.log(format_args!("{} with {slots} slots", probed.name));
    let upstream = Upstream {
        name: probed.name.clone(),
        data_centre: node.board.identity.data_centre.clone(),
        address: discovery.upstream,
        link: node.settings.link,
        slots,
        connections: u32::MAX,
    };
    node.board
        .own_upstream
        .publish(Arc::new(Some(Arc::new(upstream))));
    node.adopt_notice();
    node.limits_changed.notify(1);
    update_leaving(node, discovery);
}
