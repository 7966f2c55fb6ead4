//! Which upstreams of a service an entry balances among, and those of a route's regions.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Candidate;
use crate::board::Routes;
use crate::board::ServiceRoutes;
use crate::daemon::Node;
use mustardtiller_config::Configuration;
use mustardtiller_config::Route;
use mustardtiller_config::Service;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::subset;
use mustardtiller_core::subset_by_group;

/// Links that an entry keeps to registered upstreams of a service in its own data centre.
const NEAR_LINKS: usize = 10;

/// Links that an entry keeps to registered upstreams of a service in other data centres.
///
/// These are enough to find a free slot when its own data centre has none.
const FAR_LINKS: usize = 6;

/// How many of these are in other regions, if there are any.
const REGION_LINKS: usize = 2;

/// Derive the parts of a route with only the upstreams in its regions.
pub fn derive_homes(
    node: &Arc<Node>,
    configuration: &Configuration,
    route: &Route,
    routes: &Routes,
) -> SmallVec<[Arc<ServiceRoutes>; 2]> {
    let mut homes = SmallVec::new();
    if route.regions.is_empty() {
        return homes;
    }
    let services = route.parts.iter().map(|part| &part.service);
    for all in services.filter_map(|name| routes.services.get(name)) {
        let allowed = all.all().filter(|c| route.allows(c.region.as_ref()));
        let allowed = allowed.cloned().collect();
        let (candidates, others) = choose_candidates(node, configuration, &all.service, allowed);
        let home = all.with_upstreams(candidates, others);
        if all.service.discovered || node.preconnects(all.service.name.as_str()) {
            node.ensure_links(&home);
        }
        homes.push(Arc::new(home));
    }
    homes
}

/// Divide the upstreams that may serve into those that this entry balances among and others.
///
/// Those of a data centre out of service are others. An entry that has none of its own
/// data centre for that reason keeps as many links as one that has.
pub fn choose_candidates(
    node: &Node,
    configuration: &Configuration,
    service: &Service,
    all: Vec<Arc<Candidate>>,
) -> (Vec<Arc<Candidate>>, Vec<Arc<Candidate>>) {
    let (mut open, mut others): (Vec<_>, Vec<_>) = all.into_iter().partition(|c| !c.evacuated);
    let names: Vec<&UpstreamName> = open.iter().map(|c| &c.upstream.name).collect();
    let chosen = if service.discovered {
        let group_of = |index: usize| {
            let candidate: &Candidate = &open[index];
            usize::from(candidate.in_other_data_centre) + usize::from(candidate.in_other_region)
        };
        let member = node.member_name();
        subset_by_group(
            member.as_str(),
            &names,
            group_of,
            &link_counts(node, configuration, &open),
        )
    } else {
        let own_name = node.board.identity.upstream.as_str();
        subset(own_name, &names, service.subset as usize)
    };
    let mut index = 0;
    let unchosen = open.extract_if(.., |_| {
        index += 1;
        chosen.binary_search(&(index - 1)).is_err()
    });
    others.extend(unchosen);
    (open, others)
}

/// Return how many links to keep in the own data centre, in others and in other regions.
fn link_counts(node: &Node, configuration: &Configuration, open: &[Arc<Candidate>]) -> [usize; 3] {
    let elsewhere = open.iter().filter(|c| c.in_other_region).count();
    let here = &node.board.identity.data_centre;
    let far = if configuration.fleet.is_evacuated(here) {
        NEAR_LINKS + FAR_LINKS
    } else {
        FAR_LINKS
    };
    match elsewhere {
        0 => [NEAR_LINKS, far, 0],
        all if all == open.len() => [0, 0, FAR_LINKS],
        _ => [NEAR_LINKS, far - REGION_LINKS, REGION_LINKS],
    }
}
