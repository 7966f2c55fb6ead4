//! Encodes a checked set of objects as an artefact.

use std::collections::BTreeMap;

use serde::Serialize;

use super::parts::CallerEntry;
use super::parts::ColdEntry;
use super::parts::DataCentreEntry;
use super::parts::FORMAT;
use super::parts::FleetPart;
use super::parts::KindEntry;
use super::parts::LimitsEntry;
use super::parts::Manifest;
use super::parts::ManifestService;
use super::parts::PathEntry;
use super::parts::RouteEntry;
use super::parts::ServicePart;
use super::parts::TokenEntry;
use super::parts::UpstreamEntry;
use crate::Artefact;
use crate::ArtefactError;
use crate::ArtefactErrorKind;
use crate::Fleet;
use crate::Kind;
use crate::MAX_VALUE_BYTES;
use crate::ObjectSet;
use crate::Service;
use crate::TokenRule;
use crate::Upstream;
use crate::digest_of;
use mustardtiller_core::Digest;
use mustardtiller_core::Preference;

/// Build the artefact of a checked set.
///
/// # Errors
///
/// Returns an error if a value exceeds [`MAX_VALUE_BYTES`].
pub fn build(set: &ObjectSet) -> Result<Artefact, ArtefactError> {
    let mut parts = BTreeMap::new();
    let fleet = add_part(&mut parts, "fleet", &fleet_part(&set.fleet))?;
    let mut services = Vec::with_capacity(set.services.len());
    for service in &set.services {
        let part = service_part(service);
        let digest = add_part(&mut parts, service.name.as_str(), &part)?.0;
        services.push(ManifestService {
            name: part.name,
            hosts: part.hosts,
            digest,
        });
    }
    services.sort_by(|a, b| a.name.cmp(&b.name));
    let manifest = Manifest {
        format: FORMAT,
        serial: 0,
        era: 0,
        revision: set.fleet.revision,
        fleet: fleet.0,
        services,
    };
    let bytes = encode("manifest", &manifest)?;
    Ok(Artefact {
        manifest,
        manifest_bytes: bytes,
        parts,
    })
}

fn add_part<T: Serialize>(
    parts: &mut BTreeMap<Digest, Vec<u8>>,
    name: &str,
    part: &T,
) -> Result<Digest, ArtefactError> {
    let bytes = encode(name, part)?;
    let digest = digest_of(&bytes);
    parts.insert(digest, bytes);
    Ok(digest)
}

pub fn encode<T: Serialize>(name: &str, value: &T) -> Result<Vec<u8>, ArtefactError> {
    let bytes = postcard::to_allocvec(value)
        .map_err(|e| ArtefactError::new(ArtefactErrorKind::Damaged, format!("{name}: {e}")))?;
    if bytes.len() > MAX_VALUE_BYTES {
        let context = format!(
            "{name} is {} bytes long; the limit is {MAX_VALUE_BYTES} bytes",
            bytes.len()
        );
        return Err(ArtefactError::new(ArtefactErrorKind::TooLarge, context));
    }
    Ok(bytes)
}

fn fleet_part(fleet: &Fleet) -> FleetPart {
    let data_centres = fleet
        .data_centres
        .iter()
        .map(|data_centre| DataCentreEntry {
            name: data_centre.name.to_string(),
            region: data_centre.region.to_string(),
        });
    let paths = fleet.paths.iter().map(|path| PathEntry {
        name: path.name.to_string(),
        from: path.from.to_string(),
        to: path.to.to_string(),
        delay_micros: path.delay_micros,
        price_micros: path.price_micros,
    });
    let callers = fleet.callers.iter().map(|caller| CallerEntry {
        name: caller.name.to_string(),
        share: caller.share,
    });
    let routes = fleet.routes.iter().map(|route| RouteEntry {
        name: route.name.to_string(),
        host: route.host.to_string(),
        parts: route
            .parts
            .iter()
            .map(|part| (part.service.to_string(), part.weight))
            .collect(),
        regions: route.regions.iter().map(ToString::to_string).collect(),
        kind: kind_entry(&route.kind),
    });
    let limits = fleet.limits.map(|limits| LimitsEntry {
        head_bytes: limits.head_bytes,
        body_bytes: limits.body_bytes,
        head_ms: limits.head_ms,
        idle_ms: limits.idle_ms,
    });
    FleetPart {
        data_centres: data_centres.collect(),
        paths: paths.collect(),
        callers: callers.collect(),
        routes: routes.collect(),
        evacuated: fleet.evacuated.iter().map(ToString::to_string).collect(),
        limits,
    }
}

fn service_part(service: &Service) -> ServicePart {
    ServicePart {
        name: service.name.to_string(),
        hosts: service.hosts.iter().map(ToString::to_string).collect(),
        weigh_cost: service.weigh == Preference::Cost,
        measure_milli_per_second: service.measure_milli_per_second,
        retry_percent: service.retry_percent,
        subset: service.subset,
        eject_percent: service.eject_percent,
        discovered: service.discovered,
        health_path: service.health_path.to_string(),
        cold: service.cold.map(|cold| ColdEntry {
            length_ms: cold.length_ms,
            milli_per_s: cold.rate.as_milli(),
        }),
        kinds: service.kinds.iter().map(|kind| kind_entry(kind)).collect(),
        upstreams: service
            .upstreams
            .iter()
            .map(|u| upstream_entry(u))
            .collect(),
    }
}

fn kind_entry(kind: &Kind) -> KindEntry {
    KindEntry {
        name: kind.name.to_string(),
        methods: kind.methods.iter().map(ToString::to_string).collect(),
        path: kind.path.to_string(),
        idempotent: kind.idempotent,
        upload: kind.upload,
        urgent: kind.urgent,
        deadline_ms: kind.deadline_ms,
        target_ms: kind.target_ms,
        priority: kind.priority,
        attempts: kind.attempts,
        hedge_percent: kind.hedge_percent,
        weigh_cost: kind.weigh == Preference::Cost,
        token: match kind.token {
            TokenRule::Ignored => TokenEntry::Ignored,
            TokenRule::Accepted => TokenEntry::Accepted,
            TokenRule::Needed => TokenEntry::Needed,
        },
    }
}

fn upstream_entry(upstream: &Upstream) -> UpstreamEntry {
    UpstreamEntry {
        name: upstream.name.to_string(),
        data_centre: upstream.data_centre.to_string(),
        address: upstream.address,
        link: upstream.link,
        slots: upstream.slots,
        connections: upstream.connections,
    }
}
