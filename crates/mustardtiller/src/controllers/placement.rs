//! Derives from the configuration what may be served where this host stands.

use crate::daemon::Node;
use mustardtiller_config::Configuration;
use mustardtiller_core::DataCentreName;
use mustardtiller_core::RegionName;

/// Publish whether this data centre is out of service, and what its region may not serve.
pub fn update_placement(node: &Node, configuration: &Configuration) {
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
