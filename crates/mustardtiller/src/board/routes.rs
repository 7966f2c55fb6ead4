//! Where requests can go, derived from configuration and host list.

use std::collections::HashMap;
use std::sync::Arc;

use crate::board::Candidate;
use mustardtiller_config::Kind;
use mustardtiller_config::Service;
use mustardtiller_core::EjectionRule;
use mustardtiller_core::RetryBudget;
use mustardtiller_core::ServiceName;
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

/// Every service. Written by the routes controller.
#[derive(Debug, Default)]
pub struct Routes {
    /// The services by name.
    pub services: HashMap<ServiceName, Arc<ServiceRoutes>>,
    /// The services by HTTP host.
    pub hosts: HashMap<Arc<str>, Arc<ServiceRoutes>>,
}
