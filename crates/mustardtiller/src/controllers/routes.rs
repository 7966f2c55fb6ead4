//! Derives routes from the configuration and the host list.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use smol::future;

use crate::board::ActiveRoute;
use crate::board::Candidate;
use crate::board::Routes;
use crate::board::ServiceRoutes;
use crate::board::Signals;
use crate::daemon::Node;
use crate::events::Event;
use crate::link::LinkSlot;
use mustardtiller_config::Configuration;
use mustardtiller_config::Service;
use mustardtiller_config::Upstream;
use mustardtiller_core::HostList;
use mustardtiller_core::MemberState;
use mustardtiller_core::Registration;
use mustardtiller_core::RegistrationState;
use mustardtiller_core::RetryBudget;
use mustardtiller_core::Splitter;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::subset;
use mustardtiller_core::subset_by_place;

/// Registered upstreams of one service and of the own place that an entry keeps links to.
const NEAR_LINKS: usize = 10;

/// Those of other places: enough to find a free slot among when the own place has none.
const FAR_LINKS: usize = 6;

/// Retries or hedges that one service may store.
const BUDGET_CAP: u32 = 10;

/// Time for requests on a link to end before it is closed, in milliseconds.
const RETIRE_MS: u64 = 600_000;

/// Time between two looks at a link that is to be closed, in milliseconds.
const RETIRE_LOOK_MS: u64 = 100;

/// Keep the routes in step with the configuration and the host list.
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

fn update(node: &Arc<Node>, configuration: &Configuration) {
    let hosts = node.board.hosts.share();
    let old = node.board.routes.share();
    let new = derive(node, configuration, &hosts, &old);
    let new = Arc::new(new);
    node.board.routes.publish(Arc::clone(&new));
    retire_gone(node, &old, &new);
    update_callers(node, configuration);
    if node.settings.discovery.is_none() {
        update_local(node, configuration);
    }
    node.limits_changed.notify(1);
}

/// Put the upstream beside this daemon on the board, as operators describe it.
fn update_local(node: &Node, configuration: &Configuration) {
    let own = configuration.upstream(&node.board.identity.upstream);
    let own = own.map(|(_, upstream)| Arc::clone(upstream));
    if own.is_none() {
        Event::NotConfigured.log(&node.board.identity.upstream);
    }
    node.board.local.publish(Arc::new(own));
}

fn derive(
    node: &Arc<Node>,
    configuration: &Configuration,
    hosts: &HostList,
    old: &Routes,
) -> Routes {
    let mut routes = Routes::default();
    for service in configuration.services() {
        let before = old.services.get(&service.name);
        let derived = derive_service(node, configuration, service, hosts, before);
        let derived = Arc::new(derived);
        for host in &service.hosts {
            routes.hosts.insert(Arc::clone(host), Arc::clone(&derived));
        }
        routes.services.insert(service.name.clone(), derived);
    }
    for route in &configuration.fleet.routes {
        let before = old.routes.get(&route.host);
        let before = before.and_then(|paths| paths.get(&route.kind.path));
        let splitter = before.map_or_else(
            || Arc::new(Splitter::new(node.rng().u32(..))),
            |before| Arc::clone(&before.splitter),
        );
        let caller_timeout_micros = before.map_or_else(
            || Arc::new(AtomicU64::new(0)),
            |before| Arc::clone(&before.caller_timeout_micros),
        );
        let active = ActiveRoute {
            route: Arc::clone(route),
            splitter,
            caller_timeout_micros,
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
    before: Option<&Arc<ServiceRoutes>>,
) -> ServiceRoutes {
    let upstreams = upstreams_of(node, service);
    let names: Vec<&UpstreamName> = upstreams.iter().map(|u| &u.name).collect();
    let me = node.board.identity.upstream.as_str();
    let chosen = if service.discovered {
        let here = &node.board.identity.place;
        let is_near = |index: usize| upstreams[index].place == *here;
        let me = node.member_name();
        subset_by_place(me.as_str(), &names, is_near, NEAR_LINKS, FAR_LINKS)
    } else {
        subset(me, &names, service.subset as usize)
    };
    let mut candidates = Vec::with_capacity(chosen.len());
    let mut others = Vec::new();
    for (index, upstream) in upstreams.iter().enumerate() {
        let candidate = derive_candidate(node, configuration, service, upstream, before);
        let leaving = is_leaving(node, hosts, &upstream.name);
        candidate.signals.set_listed_leaving(leaving);
        if chosen.binary_search(&index).is_ok() {
            candidates.push(candidate);
        } else {
            others.push(candidate);
        }
    }
    let budget = || Arc::new(RetryBudget::new(BUDGET_CAP));
    let routes = ServiceRoutes {
        service: Arc::clone(service),
        candidates,
        others,
        retry_percent: retry_percent(node, service),
        retries: before.map_or_else(
            || Arc::new(RetryBudget::new(retry_cap(node))),
            |before| Arc::clone(&before.retries),
        ),
        hedges: before.map_or_else(budget, |before| Arc::clone(&before.hedges)),
    };
    // Where links are few, they are up before the first request needs them.
    if service.discovered || node.calls_at_once(service.name.as_str()) {
        node.ensure_links(&routes);
    }
    routes
}

/// Return the upstreams that operators name, or those that registered themselves.
fn upstreams_of(node: &Node, service: &Service) -> Vec<Arc<Upstream>> {
    if !service.discovered {
        return service.upstreams.clone();
    }
    let registry = node.board.registry.read();
    // A host that started again has two entries until the old one lapses.
    let registered = registry
        .entries()
        .filter(|entry| entry.service == service.name && registry.is_newest(entry));
    registered
        .map(|entry| Arc::new(discovered_upstream(node, entry)))
        .collect()
}

/// Describe a registered upstream.
///
/// Its daemon stands on the same host and takes links at the port that is ours.
fn discovered_upstream(node: &Node, entry: &Registration) -> Upstream {
    Upstream {
        name: entry.name.clone(),
        place: entry.place.clone(),
        address: entry.address,
        link: link_of(node, entry.address),
        slots: entry.slots,
        connections: u32::MAX,
    }
}

/// Return where the daemon beside a registered upstream takes links.
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

/// Share of the fleet's allowance of retries that daemons spend, in percent.
///
/// The rest covers calls that a repeated run makes, which nobody here counts.
const RETRY_USE_PERCENT: u32 = 50;

/// Return what a first attempt earns, in percent of a retry.
fn retry_percent(node: &Node, service: &Service) -> u32 {
    let fleet = node.board.retries.read().percent;
    fleet.map_or(service.retry_percent, |percent| {
        percent * RETRY_USE_PERCENT / 100
    })
}

/// Return how many retries this daemon may store: its part of what the fleet may.
fn retry_cap(node: &Node) -> u32 {
    let bounds = node.board.retries.share();
    if bounds.percent.is_none() {
        return BUDGET_CAP;
    }
    let daemons = node.board.registry.read().len().max(1) as u32;
    (bounds.spare * RETRY_USE_PERCENT / 100 / daemons).max(1)
}

/// Carry over signals and link of an upstream that stays where it is.
fn derive_candidate(
    node: &Node,
    configuration: &Configuration,
    service: &Service,
    upstream: &Arc<Upstream>,
    before: Option<&Arc<ServiceRoutes>>,
) -> Arc<Candidate> {
    let here = &node.board.identity.place;
    let path = configuration.path(here, &upstream.place);
    let price_micros = path.map_or(0, |path| path.delay_micros * 2 + path.price_micros);
    let known = before
        .and_then(|before| before.find(&upstream.name))
        .filter(|known| known.upstream.link == upstream.link);
    let signals = known.map_or_else(
        || Arc::new(Signals::new(upstream.slots)),
        |known| Arc::clone(&known.signals),
    );
    let slot = known.map_or_else(
        || Arc::new(LinkSlot::new()),
        |known| Arc::clone(&known.slot),
    );
    Arc::new(Candidate {
        upstream: Arc::clone(upstream),
        service: service.name.clone(),
        in_other_place: upstream.place != *here,
        price_micros,
        signals,
        slot,
    })
}

/// Close the links of upstreams that are gone, once nothing is on them.
fn retire_gone(node: &Arc<Node>, old: &Routes, new: &Routes) {
    let kept: HashSet<usize> = all(new)
        .map(|candidate| Arc::as_ptr(&candidate.slot).addr())
        .collect();
    for candidate in all(old) {
        if !kept.contains(&Arc::as_ptr(&candidate.slot).addr()) {
            let retiring = retire(Arc::clone(node), Arc::clone(candidate));
            node.spawn(retiring);
        }
    }
}

fn all(routes: &Routes) -> impl Iterator<Item = &Arc<Candidate>> {
    routes.services.values().flat_map(|service| service.all())
}

async fn retire(node: Arc<Node>, candidate: Arc<Candidate>) {
    for _ in 0..RETIRE_MS / RETIRE_LOOK_MS {
        match candidate.slot.get() {
            Some(link) if link.open_streams() > 0 => {
                node.clock.sleep_millis(RETIRE_LOOK_MS).await;
            }
            _ => break,
        }
    }
    candidate.slot.retire();
}

fn update_callers(node: &Node, configuration: &Configuration) {
    let callers: Vec<_> = configuration
        .fleet
        .callers
        .iter()
        .map(|caller| (caller.name.clone(), caller.share))
        .collect();
    let next = node.board.gate.callers.read().next(&callers);
    node.board.gate.callers.publish(Arc::new(next));
}
