//! Derives from the configuration what the gate may serve, and how fast at first.

use crate::daemon::Node;
use mustardtiller_config::Configuration;
use mustardtiller_core::DataCentreName;
use mustardtiller_core::RegionName;

/// Publish all that the gate follows of a configuration.
///
/// This comes before the configuration itself: a gate without one refuses all requests,
/// so none of them runs by a rule that is older than the configuration it saw.
pub fn update_gate(node: &Node, configuration: &Configuration) {
    update_cold_rule(node, configuration);
    update_placement(node, configuration);
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

/// Publish whether this data centre is out of service, and what its region may not serve.
fn update_placement(node: &Node, configuration: &Configuration) {
    let here = &node.board.identity.data_centre;
    let region = region_of(node, configuration, here);
    let routes = configuration.fleet.routes.iter();
    let outside = routes
        .filter(|route| !route.allows(region.as_ref()))
        .map(|route| route.kind.digest());
    if node.board.placement.set_outside(outside.collect()) {
        node.admission.wake();
    }
    node.note_evacuated(configuration.fleet.is_evacuated(here));
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
