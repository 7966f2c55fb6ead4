//! Builds objects from sections, with one function per kind of object.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::Caller;
use crate::DataCentre;
use crate::Fault;
use crate::Fields;
use crate::Kind;
use crate::Path;
use crate::Route;
use crate::RoutePart;
use crate::Section;
use crate::Service;
use crate::TokenRule;
use crate::Upstream;
use mustardtiller_core::ColdStart;
use mustardtiller_core::Preference;
use mustardtiller_core::StartRate;
use mustardtiller_core::normal_host;

/// Values of the key `weigh`.
const WEIGH: &[(&str, Preference)] =
    &[("latency", Preference::Latency), ("cost", Preference::Cost)];

/// Values of the key `token`.
const TOKEN: &[(&str, TokenRule)] = &[
    ("ignored", TokenRule::Ignored),
    ("accepted", TokenRule::Accepted),
    ("needed", TokenRule::Needed),
];

/// HTTP methods that a kind or a route may list.
const METHODS: &[&str] = &["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Longest deadline or target latency of a kind or a route, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Lowest priority, which is also the default.
const LOWEST_PRIORITY: u64 = 9;

/// Largest one-way delay or price of a path, in microseconds.
const MAX_PATH_MICROS: u64 = 10_000_000;

/// Longest cold start of an upstream, in milliseconds.
const MAX_COLD_START_MS: u64 = 600_000;

/// Highest rate that a cold upstream may be stated to bear, in requests per second.
const MAX_COLD_PER_S: u64 = 1_000_000;

/// Thousandths in one.
const MILLI: u32 = 1_000;

/// A kind or an upstream, with the service that it refers to.
#[derive(Debug)]
pub struct Member<T> {
    /// The name of the service.
    pub service: String,
    /// Whether a kind sets `weigh` itself, so that the service's default does not apply.
    pub sets_weigh: bool,
    /// The kind or the upstream.
    pub object: T,
}

pub fn revision(section: &Section, faults: &mut Vec<Fault>) -> Option<u64> {
    let mut fields = Fields::new(section, faults);
    let revision = fields.number("revision", 1..=u64::MAX);
    fields.finish();
    revision
}

/// Read a data centre, and whether it is out of service.
pub fn data_centre(section: &Section, faults: &mut Vec<Fault>) -> (DataCentre, bool) {
    let mut fields = Fields::new(section, faults);
    let region = fields.text_opt("region").unwrap_or("main").into();
    let evacuated = fields.flag_or("evacuated", false);
    fields.finish();
    let data_centre = DataCentre {
        name: section.name.as_str().into(),
        region,
    };
    (data_centre, evacuated)
}

pub fn path(section: &Section, faults: &mut Vec<Fault>) -> Option<Path> {
    let mut fields = Fields::new(section, faults);
    let from = fields.name("from", "place");
    let to = fields.name("to", "place");
    let delay_micros = fields.number("delay_us", 0..=MAX_PATH_MICROS);
    let price_micros = fields.number_or("price_us", 0, 0..=MAX_PATH_MICROS);
    fields.finish();
    Some(Path {
        name: Arc::from(section.name.as_str()),
        from: from?.as_str().into(),
        to: to?.as_str().into(),
        delay_micros: delay_micros? as u32,
        price_micros: price_micros as u32,
    })
}

pub fn caller(section: &Section, faults: &mut Vec<Fault>) -> Caller {
    let mut fields = Fields::new(section, faults);
    let share = fields.number_or("share", 1, 1..=1_000) as u32;
    fields.finish();
    Caller {
        name: section.name.as_str().into(),
        share,
    }
}

pub fn service(section: &Section, faults: &mut Vec<Fault>) -> Service {
    let mut fields = Fields::new(section, faults);
    let mut hosts: Vec<Arc<str>> = fields
        .list("hosts")
        .iter()
        .map(|host| Arc::from(normal_host(host)))
        .collect();
    if hosts.is_empty() {
        hosts.push(Arc::from(normal_host(&section.name)));
    }
    let mut service = Service {
        name: section.name.as_str().into(),
        hosts,
        weigh: fields.choice_or("weigh", Preference::Latency, WEIGH),
        measure_milli_per_second: fields.number_or("measure_milli_per_s", 500, 0..=1_000_000),
        retry_percent: fields.number_or("retry_percent", 10, 0..=100) as u32,
        subset: fields.number_or("subset", 20, 1..=1_000) as u32,
        eject_percent: fields.number_or("eject_percent", 34, 0..=90) as u32,
        discovered: fields.flag_or("discovered", false),
        health_path: Arc::from(fields.text_opt("health_path").unwrap_or("/health")),
        cold: None,
        kinds: Vec::new(),
        upstreams: Vec::new(),
    };
    service.cold = read_cold(&mut fields, service.discovered);
    fields.finish();
    service
}

/// Read how upstreams bear a cold start; both keys are given, or neither.
fn read_cold(fields: &mut Fields<'_>, discovered: bool) -> Option<ColdStart> {
    let is_set = |fields: &mut Fields<'_>, key| fields.text_opt(key).is_some();
    let (has_length, has_rate) = (
        is_set(fields, "cold_start_ms"),
        is_set(fields, "cold_per_s"),
    );
    if !has_length && !has_rate {
        return None;
    }
    let length_ms = fields.number("cold_start_ms", 1..=MAX_COLD_START_MS);
    let per_s = fields.number("cold_per_s", 1..=MAX_COLD_PER_S);
    if !discovered {
        fields.add_at(
            "cold_per_s",
            "only upstreams that register themselves are asked whether they are cold",
            "set `discovered = yes`, or leave out both keys",
        );
    }
    Some(ColdStart {
        length_ms: length_ms?,
        rate: StartRate::from_milli(per_s? as u32 * MILLI),
    })
}

pub fn kind(section: &Section, faults: &mut Vec<Fault>) -> Option<Member<Kind>> {
    let mut fields = Fields::new(section, faults);
    let service = fields.name("service", "service");
    let handling = read_handling(section, &mut fields);
    fields.finish();
    let (object, sets_weigh) = handling?;
    Some(Member {
        service: service?,
        sets_weigh,
        object,
    })
}

pub fn route(section: &Section, faults: &mut Vec<Fault>) -> Option<Route> {
    let mut fields = Fields::new(section, faults);
    let host = fields.text("host", "give the HTTP host that the route matches");
    let parts = read_parts(&mut fields);
    let regions = fields.list("regions");
    let handling = read_handling(section, &mut fields);
    fields.finish();
    let (mut kind, _) = handling?;
    // Unlike a kind, a route matches every method unless it lists some.
    if !section.entries.iter().any(|entry| entry.key == "methods") {
        kind.methods.clear();
    }
    Some(Route {
        name: section.name.as_str().into(),
        host: Arc::from(normal_host(host?)),
        parts,
        regions: regions.iter().map(|name| name.as_str().into()).collect(),
        kind: Arc::new(kind),
    })
}

/// Read a route's list of `SERVICE` or `SERVICE:WEIGHT`; the default weight is 1.
fn read_parts(fields: &mut Fields<'_>) -> SmallVec<[RoutePart; 2]> {
    let services = fields.list("services");
    if services.is_empty() {
        fields.add_at(
            "services",
            "the route lists no service",
            "give one or more, such as `services = katalog:90 archive:10`",
        );
    }
    let mut parts = SmallVec::new();
    for service in &services {
        let (name, weight) = service.split_once(':').unwrap_or((service, "1"));
        match weight.parse::<u32>() {
            Ok(weight) if weight > 0 => parts.push(RoutePart {
                service: name.into(),
                weight,
            }),
            _ => fields.add_at(
                "services",
                format!("`{weight}` is not a weight"),
                "give a whole number above zero",
            ),
        }
    }
    parts
}

/// Read the keys that kinds and routes share, and whether `weigh` is set.
fn read_handling(section: &Section, fields: &mut Fields<'_>) -> Option<(Kind, bool)> {
    let methods = read_methods(fields);
    let path = fields.text_opt("path").unwrap_or("/");
    if !path.starts_with('/') {
        fields.add_at(
            "path",
            format!("`{path}` is not a path"),
            "start it with `/`",
        );
    }
    let idempotent = fields.flag_or("idempotent", false);
    let upload = fields.flag_or("upload", false);
    let urgent = fields.flag_or("urgent", false);
    let deadline_ms = fields.number("deadline_ms", 1..=MAX_DEADLINE_MS);
    let default_target = deadline_ms.unwrap_or(MAX_DEADLINE_MS);
    let target_ms = fields.number_or("target_ms", default_target, 1..=MAX_DEADLINE_MS);
    let priority = fields.number_or("priority", LOWEST_PRIORITY, 0..=LOWEST_PRIORITY) as u8;
    let attempts = fields.number_or("attempts", 2, 1..=5) as u32;
    let hedge_percent = fields.number_or("hedge_percent", 0, 0..=50) as u32;
    let sets_weigh = fields.text_opt("weigh").is_some();
    let weigh = fields.choice_or("weigh", Preference::Latency, WEIGH);
    let token = fields.choice_or("token", TokenRule::Ignored, TOKEN);
    if hedge_percent > 0 && !idempotent {
        let advice = "set `idempotent = yes` or `hedge_percent = 0`";
        fields.add_at(
            "hedge_percent",
            "only idempotent requests can be hedged",
            advice,
        );
    }
    if upload && token != TokenRule::Ignored {
        fields.add_at(
            "token",
            "uploads can't carry tokens",
            "set `token = ignored`",
        );
    }
    let kind = Kind {
        name: section.name.as_str().into(),
        methods,
        path: Arc::from(path),
        idempotent,
        upload,
        urgent,
        deadline_ms: deadline_ms?,
        target_ms,
        priority,
        attempts,
        hedge_percent,
        weigh,
        token,
    };
    Some((kind, sets_weigh))
}

fn read_methods(fields: &mut Fields<'_>) -> Vec<Arc<str>> {
    let methods = fields.list("methods");
    if methods.is_empty() {
        return vec![Arc::from("GET"), Arc::from("HEAD")];
    }
    for method in &methods {
        if !METHODS.contains(&method.as_str()) {
            let advice = format!("the known ones are: {}", METHODS.join(", "));
            fields.add_at(
                "methods",
                format!("`{method}` is not a supported method"),
                &advice,
            );
        }
    }
    methods
        .iter()
        .map(|method| Arc::from(method.as_str()))
        .collect()
}

pub fn upstream(section: &Section, faults: &mut Vec<Fault>) -> Option<Member<Upstream>> {
    let mut fields = Fields::new(section, faults);
    let service = fields.name("service", "service");
    let data_centre = fields.name("place", "place");
    let address = fields.address("address");
    let link = fields.address("link");
    let slots = fields.number("slots", 1..=10_000);
    let connections = fields.number_or("connections", 240, 1..=100_000);
    fields.finish();
    let object = Upstream {
        name: section.name.as_str().into(),
        data_centre: data_centre?.as_str().into(),
        address: address?,
        link: link?,
        slots: slots? as u32,
        connections: connections as u32,
    };
    Some(Member {
        service: service?,
        sets_weigh: false,
        object,
    })
}
