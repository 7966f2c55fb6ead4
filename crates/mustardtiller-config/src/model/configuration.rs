//! A validated configuration, indexed for lookup.

use std::collections::HashMap;
use std::sync::Arc;

use crate::Artefact;
use crate::ArtefactError;
use crate::Caller;
use crate::Fleet;
use crate::Path;
use crate::Service;
use crate::Upstream;
use mustardtiller_core::CallerName;
use mustardtiller_core::DataCentreName;
use mustardtiller_core::ServiceName;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::Version;

/// A validated configuration, indexed for lookup by name, host and data centre.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// Configuration that applies to the whole fleet.
    pub fleet: Fleet,
    services: HashMap<ServiceName, Arc<Service>>,
    hosts: HashMap<Arc<str>, ServiceName>,
    /// The service of each upstream.
    owners: HashMap<UpstreamName, ServiceName>,
    callers: HashMap<CallerName, Caller>,
    paths: HashMap<(DataCentreName, DataCentreName), Path>,
}

impl Configuration {
    /// Decode, validate and join all parts of an artefact.
    ///
    /// # Errors
    ///
    /// Returns an error if any part is missing, damaged or inconsistent; no part of
    /// the artefact is then used.
    pub fn assemble(artefact: &Artefact) -> Result<Self, ArtefactError> {
        let fleet = artefact.fleet()?;
        let services = artefact.services(&fleet)?;
        let version = artefact.version();
        Ok(Self::join(version, fleet, services, artefact.hosts()))
    }

    /// Return a service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Return the name of the service that serves an HTTP host.
    #[must_use]
    pub fn service_of_host(&self, host: &str) -> Option<&ServiceName> {
        self.hosts.get(host)
    }

    /// Return all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Return an upstream by name, with its service.
    #[must_use]
    pub fn upstream(&self, name: &UpstreamName) -> Option<(&Arc<Service>, &Arc<Upstream>)> {
        let service = self.services.get(self.owners.get(name)?)?;
        Some((service, service.upstream(name)?))
    }

    /// Return a caller by name.
    #[must_use]
    pub fn caller(&self, name: &str) -> Option<&Caller> {
        self.callers.get(name)
    }

    /// Return the path between two data centres, in either direction.
    #[must_use]
    pub fn path(&self, from: &DataCentreName, to: &DataCentreName) -> Option<&Path> {
        self.paths.get(&(from.clone(), to.clone()))
    }

    fn join(
        version: Version,
        fleet: Fleet,
        services: Vec<Service>,
        hosts: HashMap<Arc<str>, ServiceName>,
    ) -> Self {
        let callers = fleet
            .callers
            .iter()
            .map(|c| (c.name.clone(), c.clone()))
            .collect();
        let mut paths = HashMap::new();
        for path in &fleet.paths {
            paths.insert((path.from.clone(), path.to.clone()), path.clone());
            paths.insert((path.to.clone(), path.from.clone()), path.clone());
        }
        let owners = services
            .iter()
            .flat_map(|service| service.upstreams.iter().map(move |u| (u, &service.name)))
            .map(|(upstream, owner)| (upstream.name.clone(), owner.clone()))
            .collect();
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Self {
            version,
            fleet,
            services,
            hosts,
            owners,
            callers,
            paths,
        }
    }
}
