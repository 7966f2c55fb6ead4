//! The routing table, derived from configuration, registry and host list.

use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Candidate;
use mustardtiller_config::Kind;
use mustardtiller_config::Route;
use mustardtiller_config::Service;
use mustardtiller_core::CallerTimeout;
use mustardtiller_core::EjectionRule;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::RetryBudget;
use mustardtiller_core::ServiceName;
use mustardtiller_core::Splitter;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::Version;

/// A service and its upstreams.
#[derive(Debug)]
pub struct ServiceRoutes {
    /// The service's configuration.
    pub service: Arc<Service>,
    /// The upstreams in this entry's subset, among which it balances.
    pub candidates: Vec<Arc<Candidate>>,
    /// The other upstreams, used only for requests whose token names them.
    pub others: Vec<Arc<Candidate>>,
    /// Share of a retry that each first attempt adds to the budget, in percent.
    pub retry_percent: u32,
    /// The retry budget; shared between successive snapshots.
    pub retries: Arc<RetryBudget>,
    /// The budget of hedged requests; shared between successive snapshots.
    pub hedges: Arc<RetryBudget>,
}

impl ServiceRoutes {
    /// Return the same service with other upstreams; budgets are shared.
    #[must_use]
    pub fn with_upstreams(
        &self,
        candidates: Vec<Arc<Candidate>>,
        others: Vec<Arc<Candidate>>,
    ) -> Self {
        Self {
            service: Arc::clone(&self.service),
            candidates,
            others,
            retry_percent: self.retry_percent,
            retries: Arc::clone(&self.retries),
            hedges: Arc::clone(&self.hedges),
        }
    }

    /// Iterate over all upstreams of the service.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Candidate>> {
        self.candidates.iter().chain(&self.others)
    }

    /// Find an upstream of the service by name.
    #[must_use]
    pub fn find(&self, name: &UpstreamName) -> Option<&Arc<Candidate>> {
        self.all()
            .find(|candidate| candidate.upstream.name == *name)
    }

    /// Find the kind that matches a request.
    #[must_use]
    pub fn kind_of(&self, method: &str, path: &str) -> Option<&Arc<Kind>> {
        self.service.kind_of(method, path)
    }

    /// Return the rule by which upstreams of the service are ejected.
    #[must_use]
    pub fn ejection(&self) -> EjectionRule {
        EjectionRule {
            max_percent: self.service.eject_percent as usize,
            ..EjectionRule::default()
        }
    }
}

/// A route in force.
#[derive(Debug)]
pub struct ActiveRoute {
    /// The route's configuration.
    pub route: Arc<Route>,
    /// Splits requests between the parts by weight; shared between successive snapshots.
    pub splitter: Arc<Splitter>,
    /// The timeout with which callers start; shared between successive snapshots.
    pub caller_timeout: Arc<CallerTimeout>,
    /// The parts with only the upstreams in the route's regions; empty if all may serve it.
    pub homes: SmallVec<[Arc<ServiceRoutes>; 2]>,
}

impl ActiveRoute {
    /// Return a part of the route, with the upstreams that may serve it.
    fn part(&self, name: &ServiceName, routes: &Routes) -> Option<Arc<ServiceRoutes>> {
        let part = if self.route.regions.is_empty() {
            routes.services.get(name)
        } else {
            self.homes.iter().find(|home| home.service.name == *name)
        };
        part.cloned()
    }

    /// Choose the service for the next request, by the weights of the parts.
    fn pick_part(&self) -> &ServiceName {
        let parts = &self.route.parts;
        if let [only] = parts.as_slice() {
            return &only.service;
        }
        let weights: SmallVec<[u32; 4]> = parts.iter().map(|part| part.weight).collect();
        &parts[self.splitter.next(&weights)].service
    }
}

/// The service and kind of a request.
#[derive(Debug)]
pub struct RouteMatch {
    /// The service that gets the request.
    pub service: Arc<ServiceRoutes>,
    /// The kind, which defines how the request is handled.
    pub kind: Arc<Kind>,
    /// Time since the caller's first attempt, in microseconds; zero if this is it.
    pub elapsed_micros: u64,
}

/// The routing table. Written by the routes controller.
#[derive(Debug, Default)]
pub struct Routes {
    /// The version of the configuration from which they are derived; its revision is zero
    /// before the first.
    pub version: Version,
    /// The services by name.
    pub services: HashMap<ServiceName, Arc<ServiceRoutes>>,
    /// The services by HTTP host.
    pub hosts: HashMap<Arc<str>, Arc<ServiceRoutes>>,
    /// The routes by HTTP host and path prefix.
    pub routes: HashMap<Arc<str>, HashMap<Arc<str>, ActiveRoute>>,
}

impl Routes {
    /// Find the service and kind of a request.
    ///
    /// Each look-up counts as one request in the split between the parts of a
    /// route. `left_micros` is the time to the caller's deadline, in microseconds. The
    /// time since the caller's first attempt counts, because the caller's own caller has
    /// been waiting since then.
    ///
    /// # Errors
    ///
    /// Returns an error if no service or kind matches the request. It holds for the version
    /// of these routes; [`Board::refuse_miss`](crate::Board::refuse_miss) gives the reason for
    /// the caller.
    pub fn find(
        &self,
        host: &str,
        method: &str,
        path: &str,
        left_micros: Option<u64>,
        now: Instant,
    ) -> Result<RouteMatch, NotRunReason> {
        if let Some(active) = self.route_of(host, method, path) {
            let service = active.part(active.pick_part(), self);
            return Ok(RouteMatch {
                service: service.ok_or(NotRunReason::NoService)?,
                kind: Arc::clone(&active.route.kind),
                elapsed_micros: left_micros
                    .map_or(0, |left| active.caller_timeout.elapsed_micros(left, now)),
            });
        }
        let Some(service) = self.hosts.get(host) else {
            let routed = !self.routes.is_empty();
            return Err(if routed {
                NotRunReason::NoKind
            } else {
                NotRunReason::NoService
            });
        };
        let kind = service.kind_of(method, path).ok_or(NotRunReason::NoKind)?;
        Ok(RouteMatch {
            service: Arc::clone(service),
            kind: Arc::clone(kind),
            elapsed_micros: 0,
        })
    }

    /// Find a request's service again, with the upstreams that may serve it now.
    ///
    /// Returns `None` if the service no longer serves such requests.
    #[must_use]
    pub fn renew(
        &self,
        host: &str,
        method: &str,
        path: &str,
        service: &ServiceName,
    ) -> Option<Arc<ServiceRoutes>> {
        let Some(active) = self.route_of(host, method, path) else {
            return self.services.get(service).cloned();
        };
        let mut parts = active.route.parts.iter();
        parts.find(|part| part.service == *service)?;
        active.part(service, self)
    }

    /// Find the kind of a request without counting it in a route's split.
    #[must_use]
    pub fn kind_of(&self, host: &str, method: &str, path: &str) -> Option<Arc<Kind>> {
        if let Some(active) = self.route_of(host, method, path) {
            return Some(Arc::clone(&active.route.kind));
        }
        self.hosts.get(host)?.kind_of(method, path).cloned()
    }

    /// Find the route with the longest matching path prefix.
    ///
    /// The cost is at most two look-ups per path segment, independent of the number
    /// of routes.
    fn route_of(&self, host: &str, method: &str, path: &str) -> Option<&ActiveRoute> {
        let routes = self.routes.get(host)?;
        let matching = |prefix: &str| {
            let active = routes.get(prefix)?;
            active.route.kind.matches(method, path).then_some(active)
        };
        let mut prefix = path;
        loop {
            if let Some(active) = matching(prefix) {
                return Some(active);
            }
            let trimmed = prefix.strip_suffix('/').unwrap_or(prefix);
            if trimmed.len() < prefix.len() && !trimmed.is_empty() {
                prefix = trimmed;
            } else {
                prefix = &prefix[..=trimmed.rfind('/')?];
            }
        }
    }
}
