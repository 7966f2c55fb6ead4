//! Decodes a fetched artefact into the configuration model and validates it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use serde::de::DeserializeOwned;

use super::build::encode;
use super::parts::FORMAT;
use super::parts::FleetPart;
use super::parts::KindEntry;
use super::parts::Manifest;
use super::parts::RouteEntry;
use super::parts::ServicePart;
use super::parts::TokenEntry;
use super::parts::UpstreamEntry;
use crate::ArtefactError;
use crate::ArtefactErrorKind;
use crate::Caller;
use crate::CallerLimits;
use crate::DataCentre;
use crate::Fleet;
use crate::Kind;
use crate::Path;
use crate::Route;
use crate::RoutePart;
use crate::Service;
use crate::TokenRule;
use crate::Upstream;
use crate::digest_of;
use mustardtiller_core::ColdStart;
use mustardtiller_core::DataCentreName;
use mustardtiller_core::Digest;
use mustardtiller_core::Position;
use mustardtiller_core::Preference;
use mustardtiller_core::ServiceName;
use mustardtiller_core::StartRate;
use mustardtiller_core::Version;

/// A manifest and those of its parts that are held.
#[derive(Clone, Debug)]
pub struct Artefact {
    /// The decoded manifest.
    pub manifest: Manifest,
    /// The manifest as published, encoded.
    pub manifest_bytes: Vec<u8>,
    /// The parts by digest.
    pub parts: BTreeMap<Digest, Vec<u8>>,
}

impl Artefact {
    /// Decode a published manifest; add its parts with [`Artefact::add_part`].
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are damaged, have another format, or hold
    /// revision zero.
    pub fn from_manifest(bytes: Vec<u8>) -> Result<Self, ArtefactError> {
        let manifest: Manifest = decode("manifest", &bytes)?;
        if manifest.format != FORMAT {
            let context = format!(
                "manifest has format {}; the supported format is {FORMAT}",
                manifest.format
            );
            return Err(ArtefactError::new(ArtefactErrorKind::Format, context));
        }
        if manifest.revision == 0 {
            return Err(inconsistent(
                "manifest has revision 0; revisions start at 1".to_owned(),
            ));
        }
        Ok(Self {
            manifest,
            manifest_bytes: bytes,
            parts: BTreeMap::new(),
        })
    }

    /// Return the version: what the manifest states, and its digest.
    #[must_use]
    pub fn version(&self) -> Version {
        Version {
            serial: self.manifest.serial,
            era: self.manifest.era,
            revision: self.manifest.revision,
            digest: digest_of(&self.manifest_bytes),
        }
    }

    /// Report whether both hold the same, whatever their versions.
    #[must_use]
    pub fn same_content(&self, other: &Self) -> bool {
        let (own, other) = (&self.manifest, &other.manifest);
        own.fleet == other.fleet && own.services == other.services
    }

    /// Drop the parts, keeping only the manifest.
    #[must_use]
    pub fn without_parts(mut self) -> Self {
        self.parts.clear();
        self
    }

    /// Return the same content at another position.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest can't be encoded.
    pub fn with_position(&self, position: Position) -> Result<Self, ArtefactError> {
        self.with_order(self.manifest.serial, position)
    }

    /// Return the same content under another number of the document and position.
    ///
    /// # Errors
    ///
    /// Returns an error if the manifest can't be encoded.
    pub fn with_order(&self, serial: u64, position: Position) -> Result<Self, ArtefactError> {
        let mut manifest = self.manifest.clone();
        manifest.serial = serial;
        manifest.era = position.era;
        manifest.revision = position.revision;
        Ok(Self {
            manifest_bytes: encode("manifest", &manifest)?,
            manifest,
            parts: self.parts.clone(),
        })
    }

    /// Return the digests of the parts not yet added.
    #[must_use]
    pub fn missing(&self) -> Vec<Digest> {
        let services = self.manifest.services.iter();
        services
            .map(|service| Digest(service.digest))
            .chain([Digest(self.manifest.fleet)])
            .filter(|digest| !self.parts.contains_key(digest))
            .collect()
    }

    /// Add a fetched part.
    ///
    /// # Errors
    ///
    /// Returns an error if the content does not match the digest.
    pub fn add_part(&mut self, digest: Digest, bytes: Vec<u8>) -> Result<(), ArtefactError> {
        if digest_of(&bytes) != digest {
            let context = format!("content of part {digest} does not match its digest");
            return Err(ArtefactError::new(ArtefactErrorKind::Mismatch, context));
        }
        self.parts.insert(digest, bytes);
        Ok(())
    }

    pub(crate) fn hosts(&self) -> HashMap<Arc<str>, ServiceName> {
        let mut hosts = HashMap::new();
        for service in &self.manifest.services {
            let name = ServiceName::new(&service.name);
            for host in &service.hosts {
                hosts.insert(Arc::from(host.as_str()), name.clone());
            }
        }
        hosts
    }

    pub(crate) fn fleet(&self) -> Result<Fleet, ArtefactError> {
        let part: FleetPart = decode("fleet", self.part("fleet", self.manifest.fleet)?)?;
        let fleet = fleet_from(&part, self.manifest.revision);
        check_paths(&fleet)?;
        check_evacuated(&fleet)?;
        Ok(fleet)
    }

    fn part(&self, name: &str, digest: [u8; 16]) -> Result<&[u8], ArtefactError> {
        let bytes = self.parts.get(&Digest(digest));
        bytes.map(Vec::as_slice).ok_or_else(|| {
            ArtefactError::new(
                ArtefactErrorKind::Missing,
                format!("part {name} is missing"),
            )
        })
    }

    pub(crate) fn services(&self, fleet: &Fleet) -> Result<Vec<Service>, ArtefactError> {
        let data_centres: HashSet<&DataCentreName> = fleet
            .data_centres
            .iter()
            .map(|data_centre| &data_centre.name)
            .collect();
        let mut services = Vec::new();
        let mut links = HashSet::new();
        for listed in &self.manifest.services {
            let part: ServicePart = decode(&listed.name, self.part(&listed.name, listed.digest)?)?;
            if part.name != listed.name {
                return Err(inconsistent(format!(
                    "part of service {} describes service {}",
                    listed.name, part.name
                )));
            }
            let service = service_from(&part);
            check_service(&service, &data_centres)?;
            for upstream in &service.upstreams {
                if !links.insert(upstream.link) {
                    return Err(inconsistent(format!(
                        "link address {} is used by two upstreams",
                        upstream.link
                    )));
                }
            }
            services.push(service);
        }
        check_routes(fleet, &services)?;
        Ok(services)
    }
}

fn decode<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, ArtefactError> {
    let damaged = |text: String| ArtefactError::new(ArtefactErrorKind::Damaged, text);
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => Err(damaged(format!("{name}: {} trailing bytes", rest.len()))),
        Err(e) => Err(damaged(format!("{name}: {e}"))),
    }
}

fn inconsistent(context: String) -> ArtefactError {
    ArtefactError::new(ArtefactErrorKind::Inconsistent, context)
}

fn check_paths(fleet: &Fleet) -> Result<(), ArtefactError> {
    let known = |name: &DataCentreName| {
        fleet
            .data_centres
            .iter()
            .any(|data_centre| data_centre.name == *name)
    };
    match fleet
        .paths
        .iter()
        .find(|path| !known(&path.from) || !known(&path.to))
    {
        Some(path) => Err(inconsistent(format!(
            "path {} refers to an unknown place",
            path.name
        ))),
        None => Ok(()),
    }
}

/// Check that data centres out of service are described, if any are.
///
/// Where upstreams register themselves, no data centre is described.
fn check_evacuated(fleet: &Fleet) -> Result<(), ArtefactError> {
    let unknown = fleet
        .evacuated
        .iter()
        .find(|name| !fleet.data_centres.is_empty() && fleet.region_of(name).is_none());
    match unknown {
        Some(name) => Err(inconsistent(format!(
            "the evacuated place {name} is unknown"
        ))),
        None => Ok(()),
    }
}

fn check_routes(fleet: &Fleet, services: &[Service]) -> Result<(), ArtefactError> {
    let known: HashSet<&ServiceName> = services.iter().map(|service| &service.name).collect();
    for route in &fleet.routes {
        let weight: u64 = route.parts.iter().map(|part| u64::from(part.weight)).sum();
        if weight == 0 {
            return Err(inconsistent(format!(
                "route {} has no service with a weight above zero",
                route.name
            )));
        }
        if let Some(part) = route.parts.iter().find(|p| !known.contains(&p.service)) {
            let context = format!(
                "route {} refers to unknown service {}",
                route.name, part.service
            );
            return Err(inconsistent(context));
        }
    }
    Ok(())
}

fn check_service(
    service: &Service,
    data_centres: &HashSet<&DataCentreName>,
) -> Result<(), ArtefactError> {
    let is_static = !service.discovered;
    if is_static && (service.upstreams.is_empty() || service.kinds.is_empty()) {
        return Err(inconsistent(format!(
            "service {} has no upstreams or no kinds",
            service.name
        )));
    }
    match service
        .upstreams
        .iter()
        .find(|u| !data_centres.contains(&u.data_centre) || u.slots == 0)
    {
        Some(upstream) => Err(inconsistent(format!(
            "upstream {} has an unknown place or no slots",
            upstream.name
        ))),
        None => Ok(()),
    }
}

fn fleet_from(part: &FleetPart, revision: u64) -> Fleet {
    let data_centres = part.data_centres.iter().map(|data_centre| DataCentre {
        name: data_centre.name.as_str().into(),
        region: data_centre.region.as_str().into(),
    });
    let paths = part.paths.iter().map(|path| Path {
        name: Arc::from(path.name.as_str()),
        from: path.from.as_str().into(),
        to: path.to.as_str().into(),
        delay_micros: path.delay_micros,
        price_micros: path.price_micros,
    });
    let callers = part.callers.iter().map(|caller| Caller {
        name: caller.name.as_str().into(),
        share: caller.share,
    });
    let limits = part.limits.map(|limits| CallerLimits {
        head_bytes: limits.head_bytes,
        body_bytes: limits.body_bytes,
        head_ms: limits.head_ms,
        idle_ms: limits.idle_ms,
    });
    let routes = part.routes.iter().map(|entry| Arc::new(route_from(entry)));
    Fleet {
        revision,
        data_centres: data_centres.collect(),
        paths: paths.collect(),
        callers: callers.collect(),
        routes: routes.collect(),
        evacuated: part.evacuated.iter().map(|n| n.as_str().into()).collect(),
        limits,
    }
}

fn route_from(entry: &RouteEntry) -> Route {
    let parts = entry.parts.iter().map(|(service, weight)| RoutePart {
        service: service.as_str().into(),
        weight: *weight,
    });
    Route {
        name: entry.name.as_str().into(),
        host: Arc::from(entry.host.as_str()),
        parts: parts.collect(),
        regions: entry.regions.iter().map(|n| n.as_str().into()).collect(),
        kind: Arc::new(kind_from(&entry.kind)),
    }
}

fn service_from(part: &ServicePart) -> Service {
    Service {
        name: part.name.as_str().into(),
        hosts: part
            .hosts
            .iter()
            .map(|host| Arc::from(host.as_str()))
            .collect(),
        weigh: preference_from(part.weigh_cost),
        measure_milli_per_second: part.measure_milli_per_second,
        retry_percent: part.retry_percent,
        subset: part.subset,
        eject_percent: part.eject_percent,
        discovered: part.discovered,
        health_path: Arc::from(part.health_path.as_str()),
        cold: part.cold.map(|cold| ColdStart {
            length_ms: cold.length_ms,
            rate: StartRate::from_milli(cold.milli_per_s),
        }),
        kinds: part
            .kinds
            .iter()
            .map(|kind| Arc::new(kind_from(kind)))
            .collect(),
        upstreams: part
            .upstreams
            .iter()
            .map(|u| Arc::new(upstream_from(u)))
            .collect(),
    }
}

fn kind_from(entry: &KindEntry) -> Kind {
    Kind {
        name: entry.name.as_str().into(),
        methods: entry
            .methods
            .iter()
            .map(|m| Arc::from(m.as_str()))
            .collect(),
        path: Arc::from(entry.path.as_str()),
        idempotent: entry.idempotent,
        upload: entry.upload,
        urgent: entry.urgent,
        deadline_ms: entry.deadline_ms,
        target_ms: entry.target_ms,
        priority: entry.priority,
        attempts: entry.attempts,
        hedge_percent: entry.hedge_percent,
        weigh: preference_from(entry.weigh_cost),
        token: match entry.token {
            TokenEntry::Ignored => TokenRule::Ignored,
            TokenEntry::Accepted => TokenRule::Accepted,
            TokenEntry::Needed => TokenRule::Needed,
        },
    }
}

const fn preference_from(cost: bool) -> Preference {
    if cost {
        Preference::Cost
    } else {
        Preference::Latency
    }
}

fn upstream_from(entry: &UpstreamEntry) -> Upstream {
    Upstream {
        name: entry.name.as_str().into(),
        data_centre: entry.data_centre.as_str().into(),
        address: entry.address,
        link: entry.link,
        slots: entry.slots,
        connections: entry.connections,
    }
}
