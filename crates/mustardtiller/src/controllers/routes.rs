//! Derives routes from the configuration, the host list and the registry.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use smol::future;

use crate::board::ActiveRoute;
use crate::board::Candidate;
use crate::board::Routes;
use crate::board::ServiceRoutes;
use crate::board::Signals;
use crate::controllers::choice::choose_candidates;
use crate::controllers::choice::derive_homes;
use crate::controllers::placement::region_of;
use crate::daemon::Node;
use crate::events::Event;
use crate::link::LinkSlot;
use mustardtiller_config::Configuration;
use mustardtiller_config::Service;
use mustardtiller_config::Upstream;
use mustardtiller_core::CallerTimeout;
use mustardtiller_core::HostList;
use mustardtiller_core::MemberState;
use mustardtiller_core::Registration;
use mustardtiller_core::RegistrationState;
use mustardtiller_core::RetryBudget;
use mustardtiller_core::Splitter;
use mustardtiller_core::UpstreamName;

/// Most retries or hedges that the budget of one service may accumulate.
const BUDGET_CAP: u32 = 10;

/// Longest wait for a removed upstream's open streams to end, in milliseconds.
///
/// Its link is closed after that.
const RETIRE_TIMEOUT_MS: u64 = 600_000;

/// Time between two checks of a removed upstream's open streams, in milliseconds.
const RETIRE_POLL_MS: u64 = 100;

/// Derive the routes again whenever the configuration, host list or registry changes.
pub async fn control_routes(node: Arc<Node>) {
    loop {
        let configured = node.board.configuration.listen();
        let listed = node.board.hosts.listen();
        let registered = node.board.registry.listen();
        let configuration = node.board.configuration.share();
        if let Some(configuration) = configuration.as_ref() {
            update(&node, configuration);
        }
        future::or(configured, future::or(listed, registered)).await;
    }
}

/// Derive and publish routes and callers; without discovery also the own upstream.
fn update(node: &Arc<Node>, configuration: &Configuration) {
    let hosts = node.board.hosts.share();
    let old = node.board.routes.share();
    let new = derive(node, configuration, &hosts, &old);
    let new = Arc::new(new);
    node.board.routes.publish(Arc::clone(&new));
    retire_removed(node, &old, &new);
    update_callers(node, configuration);
    if node.settings.discovery.is_none() {
        update_local(node, configuration);
    }
    node.limits_changed.notify(1);
}

/// Publish the upstream beside this daemon, as the configuration describes it.
fn update_local(node: &Node, configuration: &Configuration) {
    let own = configuration.upstream(&node.board.identity.upstream);
    let own = own.map(|(_, upstream)| Arc::clone(upstream));
    if own.is_none() {
        Event::NotConfigured.log(&node.board.identity.upstream);
    }
    node.board.own_upstream.publish(Arc::new(own));
}

fn derive(
    node: &Arc<Node>,
    configuration: &Configuration,
    hosts: &HostList,
    old: &Routes,
) -> Routes {
    let mut routes = Routes {
        version: configuration.version,
        ..Routes::default()
    };
    for service in configuration.services() {
        let previous = old.services.get(&service.name);
        let derived = derive_service(node, configuration, service, hosts, previous);
        let derived = Arc::new(derived);
        for host in &service.hosts {
            routes.hosts.insert(Arc::clone(host), Arc::clone(&derived));
        }
        routes.services.insert(service.name.clone(), derived);
    }
    for route in &configuration.fleet.routes {
        let previous = old.routes.get(&route.host);
        let previous = previous.and_then(|paths| paths.get(&route.kind.path));
        let splitter = previous.map_or_else(
            || Arc::new(Splitter::new(node.rng().u32(..))),
            |previous| Arc::clone(&previous.splitter),
        );
        let caller_timeout = previous.map_or_else(
            || Arc::new(CallerTimeout::default()),
            |previous| Arc::clone(&previous.caller_timeout),
        );
        let active = ActiveRoute {
            homes: derive_homes(node, configuration, route, &routes),
            route: Arc::clone(route),
            splitter,
            caller_timeout,
        };
        let paths = routes.routes.entry(Arc::clone(&route.host)).or_default();
        paths.insert(Arc::clone(&route.kind.path), active);
    }
    routes
}

fn derive_service(
    node: &Arc<Node>,
    configuration: &Configuration,
    service: &Arc<Service>,
    hosts: &HostList,
    previous: Option<&Arc<ServiceRoutes>>,
) -> ServiceRoutes {
    let mut all = Vec::new();
    for upstream in upstreams_of(node, service) {
        let candidate = derive_candidate(node, configuration, service, &upstream, previous);
        let leaving = is_leaving(node, hosts, &upstream.name);
        candidate.signals.set_listed_leaving(leaving);
        all.push(candidate);
    }
    let (candidates, others) = choose_candidates(node, configuration, service, all);
    let budget = || Arc::new(RetryBudget::new(BUDGET_CAP));
    let routes = ServiceRoutes {
        service: Arc::clone(service),
        candidates,
        others,
        retry_percent: retry_percent(node, service),
        retries: previous.map_or_else(
            || Arc::new(RetryBudget::new(retry_cap(node))),
            |previous| Arc::clone(&previous.retries),
        ),
        hedges: previous.map_or_else(budget, |previous| Arc::clone(&previous.hedges)),
    };
    // A discovered service has few links: connect them before the first request, as
    // for services that the settings name.
    if service.discovered || node.preconnects(service.name.as_str()) {
        node.ensure_links(&routes);
    }
    routes
}

/// Return a service's configured upstreams, or with discovery its registered ones.
fn upstreams_of(node: &Node, service: &Service) -> Vec<Arc<Upstream>> {
    if !service.discovered {
        return service.upstreams.clone();
    }
    let registry = node.board.registry.read();
    // After a restart, a host has two entries until the old one expires.
    let registered = registry
        .entries()
        .filter(|entry| entry.service == service.name && registry.is_newest(entry));
    registered
        .map(|entry| Arc::new(discovered_upstream(node, entry)))
        .collect()
}

/// Describe a registered upstream.
///
/// Its daemon runs on the same host and accepts links on the same port as this one.
fn discovered_upstream(node: &Node, entry: &Registration) -> Upstream {
    Upstream {
        name: entry.name.clone(),
        data_centre: entry.data_centre.clone(),
        address: entry.address,
        link: link_of(node, entry.address),
        slots: entry.slots,
        connections: u32::MAX,
    }
}

/// Return the link address of the daemon beside a registered upstream.
pub fn link_of(node: &Node, upstream: SocketAddr) -> SocketAddr {
    SocketAddr::new(upstream.ip(), node.settings.link.port())
}

fn is_leaving(node: &Node, hosts: &HostList, name: &UpstreamName) -> bool {
    let registry = node.board.registry.read();
    match registry.get(name.as_str()) {
        Some(entry) => entry.state == RegistrationState::Draining,
        None => hosts.state_of(name) == Some(MemberState::Leaving),
    }
}

/// Share of the fleet's retry budget that daemons spend, in percent.
///
/// The rest covers the calls that an upstream makes while it runs a request
/// again, which daemons do not count as retries.
const RETRY_USE_PERCENT: u32 = 50;

/// Return the share of a retry that a first attempt adds to the budget, in percent.
fn retry_percent(node: &Node, service: &Service) -> u32 {
    let fleet = node.board.retries.read().percent;
    fleet.map_or(service.retry_percent, |percent| {
        percent * RETRY_USE_PERCENT / 100
    })
}

/// Return the cap of this daemon's retry budget: an even share of the fleet's.
fn retry_cap(node: &Node) -> u32 {
    let bounds = node.board.retries.share();
    if bounds.percent.is_none() {
        return BUDGET_CAP;
    }
    let daemons = node.board.registry.read().len().max(1) as u32;
    (bounds.spare * RETRY_USE_PERCENT / 100 / daemons).max(1)
}

/// Derive a candidate; signals and link are kept if the link's address is unchanged.
fn derive_candidate(
    node: &Node,
    configuration: &Configuration,
    service: &Service,
    upstream: &Arc<Upstream>,
    previous: Option<&Arc<ServiceRoutes>>,
) -> Arc<Candidate> {
    let here = &node.board.identity.data_centre;
    let path = configuration.path(here, &upstream.data_centre);
    let region = region_of(node, configuration, &upstream.data_centre);
    let own_region = region_of(node, configuration, here);
    let price_micros = path.map_or(0, |path| path.delay_micros * 2 + path.price_micros);
    let known = previous
        .and_then(|previous| previous.find(&upstream.name))
        .filter(|known| known.upstream.link == upstream.link);
    let signals = known.map_or_else(
        || Arc::new(Signals::new(upstream.slots)),
        |known| Arc::clone(&known.signals),
    );
    let link_slot = known.map_or_else(
        || Arc::new(LinkSlot::new()),
        |known| Arc::clone(&known.link_slot),
    );
    let registry = node.board.registry.read();
    let started_ms = registry
        .get(upstream.name.as_str())
        .map_or(0, |entry| entry.started_ms);
    if known.is_some_and(|known| known.started_ms > 0 && started_ms > known.started_ms) {
        signals.forget_announcement();
    }
    Arc::new(Candidate {
        started_ms,
        upstream: Arc::clone(upstream),
        service: service.name.clone(),
        in_other_data_centre: upstream.data_centre != *here,
        in_other_region: region.is_some() && own_region.is_some() && region != own_region,
        region,
        evacuated: configuration.fleet.is_evacuated(&upstream.data_centre),
        price_micros,
        signals,
        link_slot,
    })
}

/// Close the links of removed upstreams once their streams have ended.
fn retire_removed(node: &Arc<Node>, old: &Routes, new: &Routes) {
    let kept: HashSet<usize> = all_candidates(new)
        .map(|candidate| Arc::as_ptr(&candidate.link_slot).addr())
        .collect();
    for candidate in all_candidates(old) {
        if !kept.contains(&Arc::as_ptr(&candidate.link_slot).addr()) {
            let retiring = retire(Arc::clone(node), Arc::clone(candidate));
            node.spawn(retiring);
        }
    }
}

fn all_candidates(routes: &Routes) -> impl Iterator<Item = &Arc<Candidate>> {
    routes.services.values().flat_map(|service| service.all())
}

async fn retire(node: Arc<Node>, candidate: Arc<Candidate>) {
    for _ in 0..RETIRE_TIMEOUT_MS / RETIRE_POLL_MS {
        match candidate.link_slot.get() {
            Some(link) if link.open_streams() > 0 => {
                node.clock.sleep_millis(RETIRE_POLL_MS).await;
            }
            _ => break,
        }
    }
    candidate.link_slot.retire();
}

/// Publish the configured callers, keeping the usage of those that remain.
fn update_callers(node: &Node, configuration: &Configuration) {
    let callers: Vec<_> = configuration
        .fleet
        .callers
        .iter()
        .map(|caller| (caller.name.clone(), caller.share))
        .collect();
    let next = node.board.gate.callers.read().with_callers(&callers);
    node.board.gate.callers.publish(Arc::new(next));
}
