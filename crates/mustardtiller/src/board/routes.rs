//! Where requests can go, derived from configuration and host list.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use smallvec::SmallVec;

use crate::board::Candidate;
use mustardtiller_config::Kind;
use mustardtiller_config::Route;
use mustardtiller_config::Service;
use mustardtiller_core::EjectionRule;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::RetryBudget;
use mustardtiller_core::ServiceName;
use mustardtiller_core::Splitter;
use mustardtiller_core::UpstreamName;

/// One service with the upstreams that this entry may choose.
#[derive(Debug)]
pub struct ServiceRoutes {
    /// The service's object.
    pub service: Arc<Service>,
    /// The upstreams in this entry's subset.
    pub candidates: Vec<Arc<Candidate>>,
    /// The other upstreams, reached only by token.
    pub others: Vec<Arc<Candidate>>,
    /// Retries earned by a first attempt, in percent.
    pub retry_percent: u32,
    /// Retries allowed; outlives snapshots.
    pub retries: Arc<RetryBudget>,
    /// Hedges allowed; outlives snapshots.
    pub hedges: Arc<RetryBudget>,
}

impl ServiceRoutes {
    /// Return every upstream of the service.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Candidate>> {
        self.candidates.iter().chain(&self.others)
    }

    /// Find any upstream of the service.
    #[must_use]
    pub fn find(&self, name: &UpstreamName) -> Option<&Arc<Candidate>> {
        self.all()
            .find(|candidate| candidate.upstream.name == *name)
    }

    /// Find the kind of a request.
    #[must_use]
    pub fn kind_of(&self, method: &str, path: &str) -> Option<&Arc<Kind>> {
        self.service.kind_of(method, path)
    }

    /// Return when upstreams of the service rest.
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
    /// The route's object.
    pub route: Arc<Route>,
    /// Deals its requests to its parts; outlives snapshots.
    pub splitter: Arc<Splitter>,
    /// The longest time that callers gave a request, in microseconds; outlives snapshots.
    pub caller_timeout_micros: Arc<AtomicU64>,
}

impl ActiveRoute {
    /// Return how long ago the caller began, in microseconds, judged by the time that it has left.
    ///
    /// Callers of one route begin with the same time. One that comes back after
    /// a refusal has less of it left, and is waited for since its first attempt.
    fn elapsed_micros(&self, left_micros: u64) -> u64 {
        let full = self
            .caller_timeout_micros
            .fetch_max(left_micros, Ordering::Relaxed);
        full.saturating_sub(left_micros)
    }

    fn next_part(&self) -> &ServiceName {
        let parts = &self.route.parts;
        if let [only] = parts.as_slice() {
            return &only.service;
        }
        let weights: SmallVec<[u32; 4]> = parts.iter().map(|part| part.weight).collect();
        &parts[self.splitter.next(&weights)].service
    }
}

/// Where a request goes, and how it is handled.
#[derive(Debug)]
pub struct RouteMatch {
    /// The service.
    pub service: Arc<ServiceRoutes>,
    /// How it is handled.
    pub kind: Arc<Kind>,
    /// How long ago its caller began, in microseconds; zero for a first attempt.
    pub elapsed_micros: u64,
}

/// Every service and route. Written by the routes controller.
#[derive(Debug, Default)]
pub struct Routes {
    /// The services by name.
    pub services: HashMap<ServiceName, Arc<ServiceRoutes>>,
    /// The services by HTTP host.
    pub hosts: HashMap<Arc<str>, Arc<ServiceRoutes>>,
    /// The routes by HTTP host and start of the path.
    pub routes: HashMap<Arc<str>, HashMap<Arc<str>, ActiveRoute>>,
}

impl Routes {
    /// Find where a request goes, and how it is handled.
    ///
    /// Each call deals one request to a part of its route. `left_micros` is the
    /// time that the caller still gives it.
    ///
    /// # Errors
    ///
    /// Returns why it goes nowhere.
    pub fn find(
        &self,
        host: &str,
        method: &str,
        path: &str,
        left_micros: Option<u64>,
    ) -> Result<RouteMatch, NotRunReason> {
        if let Some(active) = self.route_of(host, method, path) {
            let service = self.services.get(active.next_part());
            let service = service.ok_or(NotRunReason::NoService)?;
            return Ok(RouteMatch {
                service: Arc::clone(service),
                kind: Arc::clone(&active.route.kind),
                elapsed_micros: left_micros.map_or(0, |left| active.elapsed_micros(left)),
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

    /// Find how a request is handled, without dealing it to a service.
    #[must_use]
    pub fn kind_of(&self, host: &str, method: &str, path: &str) -> Option<Arc<Kind>> {
        if let Some(active) = self.route_of(host, method, path) {
            return Some(Arc::clone(&active.route.kind));
        }
        self.hosts.get(host)?.kind_of(method, path).cloned()
    }

    /// Find the route of the longest prefix.
    ///
    /// One look-up for each segment of the path, however many routes there are.
    fn route_of(&self, host: &str, method: &str, path: &str) -> Option<&ActiveRoute> {
        let routes = self.routes.get(host)?;
        let taken = |prefix: &str| {
            let active = routes.get(prefix)?;
            active.route.kind.matches(method, path).then_some(active)
        };
        let mut rest = path;
        loop {
            if let Some(active) = taken(rest) {
                return Some(active);
            }
            let inner = rest.strip_suffix('/').unwrap_or(rest);
            if inner.len() < rest.len() && !inner.is_empty() {
                rest = inner;
            } else {
                rest = &rest[..=inner.rfind('/')?];
            }
        }
    }
}
