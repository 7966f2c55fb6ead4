//! Derives from the configuration what the gate may serve, and how fast at first.

use std::collections::HashSet;

use crate::daemon::Node;
use mustardtiller_config::Configuration;
use mustardtiller_core::DataCentreName;
use mustardtiller_core::RegionName;

/// Publish what the gate follows of a configuration that is about to be published.
///
/// Of a first one, that is everything: until then the gate refuses all requests. Of a later
/// one, it is how fast the upstream may start and what the gate may serve besides; what it
/// may no longer serve follows in [`bind_gate`]. An entry that holds the configuration is
/// thus refused by none of the rules before it.
pub fn free_gate(node: &Node, configuration: &Configuration) {
    update_cold_rule(node, configuration);
    if node.board.configuration.read().is_none() {
        bind_gate(node, configuration);
        return;
    }
    node.board
        .placement
        .allow_all_but(&outside(node, configuration));
    if !is_evacuated(node, configuration) {
        node.note_evacuated(false);
    }
}

/// Publish all that the gate may not serve by a configuration that has been published.
///
/// A refusal by these rules comes after the configuration, so that an entry that gets one
/// can tell that its routes are older.
pub fn bind_gate(node: &Node, configuration: &Configuration) {
    if node
        .board
        .placement
        .set_outside(outside(node, configuration))
    {
        node.admission.wake();
    }
    node.note_evacuated(is_evacuated(node, configuration));
}

/// Publish what operators state about a cold start of this daemon's service.
fn update_cold_rule(node: &Node, configuration: &Configuration) {
    let Some(discovery) = &node.settings.discovery else {
        return;
    };
    let service = configuration.service(&discovery.service);
    let rule = service.and_then(|service| service.cold);
    node.board.gate.set_cold_rule(rule, node.clock.now());
}

/// Return the digests of the kinds whose routes the own region may not serve.
fn outside(node: &Node, configuration: &Configuration) -> HashSet<u32> {
    let region = region_of(node, configuration, &node.board.identity.data_centre);
    let routes = configuration.fleet.routes.iter();
    let outside = routes.filter(|route| !route.allows(region.as_ref()));
    outside.map(|route| route.kind.digest()).collect()
}

/// Report whether the own data centre is out of service.
fn is_evacuated(node: &Node, configuration: &Configuration) -> bool {
    let here = &node.board.identity.data_centre;
    configuration.fleet.is_evacuated(here)
}

/// Return the region of a data centre: as configured, else as in the settings.
pub fn region_of(
    node: &Node,
    configuration: &Configuration,
    data_centre: &DataCentreName,
) -> Option<RegionName> {
    let configured = configuration.fleet.region_of(data_centre);
    let region = configured.or_else(|| node.settings.regions.get(data_centre));
    region.cloned()
}
