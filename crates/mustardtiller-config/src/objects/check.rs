//! Checks of a complete set of objects.

use std::collections::HashMap;
use std::fs;
use std::path::Path as FilePath;
use std::sync::Arc;

use snafu::Snafu;

use super::parse;
use super::references;
use super::references::KINDS;
use crate::Document;
use crate::Fault;
use crate::Fleet;
use crate::Kind;
use crate::ObjectSet;
use crate::Section;
use crate::Service;
use crate::Source;
use crate::Upstream;
use crate::ini::is_name;
use crate::ini::suggestion;
use mustardtiller_core::RegionName;

/// A directory that could not be read or did not pass the check.
#[derive(Debug)]
#[derive(Snafu)]
pub enum CheckError {
    /// A file or the directory could not be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// The path of the file or directory.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The directory has no file with the extension `.ini`.
    #[snafu(display("{path}: the directory has no .ini files"))]
    Empty {
        /// The path of the directory.
        path: String,
    },
    /// The set has faults.
    #[snafu(display("{} faults", faults.len()))]
    Faults {
        /// All faults, sorted by file and line.
        faults: Vec<Fault>,
    },
}

/// Check all `.ini` files of a directory as one set.
///
/// # Errors
///
/// Returns all faults of the set, or an error if a file can't be read or none exists.
pub fn check_dir(dir: &FilePath) -> Result<ObjectSet, CheckError> {
    let sources = read_dir(dir)?;
    check(&sources).map_err(|faults| CheckError::Faults { faults })
}

/// Check a complete set of objects.
///
/// # Errors
///
/// Returns all faults, sorted by file and line.
pub fn check(sources: &[Source]) -> Result<ObjectSet, Vec<Fault>> {
    let mut faults = Vec::new();
    let sections: Vec<Section> = sources
        .iter()
        .flat_map(|source| Document::read(source, &mut faults).sections)
        .collect();
    check_headings(&sections, &mut faults);
    check_references(&sections, &mut faults);
    let set = read_set(&sections, &mut faults);
    check_hosts(&sections, &set, &mut faults);
    check_kinds(&sections, &set, &mut faults);
    check_routes(&sections, &set, &mut faults);
    check_regions(&sections, &set, &mut faults);
    if faults.is_empty() {
        return Ok(set);
    }
    faults.sort();
    faults.dedup();
    Err(faults)
}

fn read_dir(dir: &FilePath) -> Result<Vec<Source>, CheckError> {
    let shown = |path: &FilePath| path.display().to_string();
    let read_error = |path: &FilePath, source| CheckError::Read {
        path: shown(path),
        source,
    };
    let entries = fs::read_dir(dir).map_err(|source| read_error(dir, source))?;
    let mut paths = Vec::new();
    for entry in entries {
        let path = entry.map_err(|source| read_error(dir, source))?.path();
        if path.extension().is_some_and(|extension| extension == "ini") {
            paths.push(path);
        }
    }
    paths.sort();
    if paths.is_empty() {
        return Err(CheckError::Empty { path: shown(dir) });
    }
    paths
        .iter()
        .map(|path| {
            let text = fs::read_to_string(path).map_err(|source| read_error(path, source))?;
            Ok(Source::new(shown(path), text))
        })
        .collect()
}

fn check_headings(sections: &[Section], faults: &mut Vec<Fault>) {
    for section in sections {
        if !KINDS.contains(&section.kind.as_str()) {
            let problem = format!("`{}` is not a kind of object", section.kind);
            faults.push(section.fault(section.line, problem, suggestion(&section.kind, KINDS)));
        } else if !is_name(&section.name) {
            let problem = format!("`{}` is not a valid name", section.name);
            let advice = "use 1 to 64 letters, digits, `-`, `_` or `.`";
            faults.push(section.fault(section.line, problem, advice));
        }
    }
    references::duplicate_objects(sections, faults);
    check_fleet(sections, faults);
}

fn check_fleet(sections: &[Section], faults: &mut Vec<Fault>) {
    let mut fleets = sections.iter().filter(|section| section.kind == "fleet");
    let first = fleets.next();
    if first.is_none() {
        faults.push(Fault {
            file: sections
                .first()
                .map_or_else(String::new, |s| s.file.clone()),
            line: 1,
            object: String::new(),
            problem: "the set has no fleet".to_owned(),
            advice: "add a `[fleet NAME]` with its `revision`".to_owned(),
        });
    }
    for extra in fleets {
        faults.push(extra.fault(extra.line, "the set has more than one fleet", "keep one"));
    }
}

fn check_references(sections: &[Section], faults: &mut Vec<Fault>) {
    for (kind, key, to) in [
        ("kind", "service", "service"),
        ("upstream", "service", "service"),
        ("upstream", "place", "place"),
        ("path", "from", "place"),
        ("path", "to", "place"),
    ] {
        references::unknown_references(sections, kind, key, to, faults);
    }
    references::duplicate_values(sections, "upstream", &["address", "link"], faults);
    references::services_without(sections, "kind", faults);
    references::services_without(sections, "upstream", faults);
}

fn read_set(sections: &[Section], faults: &mut Vec<Fault>) -> ObjectSet {
    let mut fleet = Fleet {
        revision: 0,
        data_centres: Vec::new(),
        paths: Vec::new(),
        callers: Vec::new(),
        routes: Vec::new(),
        evacuated: Vec::new(),
        limits: None,
    };
    let mut services: Vec<Service> = Vec::new();
    let mut kinds: HashMap<String, Vec<Arc<Kind>>> = HashMap::new();
    let mut upstreams: HashMap<String, Vec<Arc<Upstream>>> = HashMap::new();
    let mut kinds_with_weigh: Vec<String> = Vec::new();
    for section in sections {
        match section.kind.as_str() {
            "fleet" => fleet.revision = parse::revision(section, faults).unwrap_or_default(),
            "place" => {
                let (data_centre, evacuated) = parse::data_centre(section, faults);
                if evacuated {
                    fleet.evacuated.push(data_centre.name.clone());
                }
                fleet.data_centres.push(data_centre);
            }
            "path" => fleet.paths.extend(parse::path(section, faults)),
            "caller" => fleet.callers.push(parse::caller(section, faults)),
            "service" => services.push(parse::service(section, faults)),
            "route" => fleet
                .routes
                .extend(parse::route(section, faults).map(Arc::new)),
            "kind" => {
                if let Some(kind) = parse::kind(section, faults) {
                    if kind.sets_weigh {
                        kinds_with_weigh.push(kind.object.name.to_string());
                    }
                    kinds
                        .entry(kind.service)
                        .or_default()
                        .push(Arc::new(kind.object));
                }
            }
            "upstream" => {
                if let Some(upstream) = parse::upstream(section, faults) {
                    let owner = upstreams.entry(upstream.service).or_default();
                    owner.push(Arc::new(upstream.object));
                }
            }
            _ => {}
        }
    }
    for service in &mut services {
        let name = service.name.as_str();
        service.upstreams = upstreams.remove(name).unwrap_or_default();
        service.kinds = kinds.remove(name).unwrap_or_default();
        finish_kinds(service, &kinds_with_weigh);
    }
    let entries = ObjectSet::entries_by_heading(sections);
    ObjectSet {
        fleet,
        services,
        entries,
    }
}

/// Apply the service's default `weigh` to its kinds, and sort them longest path first.
///
/// Kinds in `kinds_with_weigh` set the key themselves and keep their value.
fn finish_kinds(service: &mut Service, kinds_with_weigh: &[String]) {
    for kind in &mut service.kinds {
        if !kinds_with_weigh
            .iter()
            .any(|name| name == kind.name.as_str())
        {
            Arc::make_mut(kind).weigh = service.weigh;
        }
    }
    service.kinds.sort_by(|a, b| {
        let longest_first = b.path.len().cmp(&a.path.len());
        longest_first.then_with(|| a.name.cmp(&b.name))
    });
}

fn check_hosts(sections: &[Section], set: &ObjectSet, faults: &mut Vec<Fault>) {
    let mut owners: HashMap<&str, &Service> = HashMap::new();
    for service in &set.services {
        for host in &service.hosts {
            let Some(first) = owners.insert(host, service) else {
                continue;
            };
            if let Some(section) = find_section(sections, "service", service.name.as_str()) {
                let problem = format!("host `{host}` is already used by [service {}]", first.name);
                faults.push(section.fault(
                    section.line_of("hosts"),
                    problem,
                    "give each service its own hosts",
                ));
            }
        }
    }
}

/// Report kinds of one service that match the same requests.
fn check_kinds(sections: &[Section], set: &ObjectSet, faults: &mut Vec<Fault>) {
    for service in &set.services {
        for (index, kind) in service.kinds.iter().enumerate() {
            let clash = service.kinds[..index].iter().find(|other| {
                other.path == kind.path && other.methods.iter().any(|m| kind.methods.contains(m))
            });
            let section = find_section(sections, "kind", kind.name.as_str());
            if let (Some(other), Some(section)) = (clash, section) {
                let problem = format!("it matches the same requests as [kind {}]", other.name);
                let advice = "give them other paths or methods";
                faults.push(section.fault(section.line, problem, advice));
            }
        }
    }
}

/// Report routes to unknown services and routes that match the same requests.
fn check_routes(sections: &[Section], set: &ObjectSet, faults: &mut Vec<Fault>) {
    let known: Vec<&str> = set.services.iter().map(|s| s.name.as_str()).collect();
    for (index, route) in set.fleet.routes.iter().enumerate() {
        let Some(section) = find_section(sections, "route", route.name.as_str()) else {
            continue;
        };
        for part in &route.parts {
            let name = part.service.as_str();
            if !known.contains(&name) {
                let problem = format!("there is no service `{name}`");
                let advice = suggestion(name, &known);
                faults.push(section.fault(section.line_of("services"), problem, advice));
            }
        }
        let clash = set.fleet.routes[..index]
            .iter()
            .find(|other| other.host == route.host && other.kind.path == route.kind.path);
        if let Some(other) = clash {
            let problem = format!("it matches the same requests as [route {}]", other.name);
            faults.push(section.fault(section.line, problem, "give them other hosts or paths"));
        }
    }
}

/// Report routes whose regions have no place, or that a kind shares its name with.
///
/// Gates know what they may serve by the names of kinds and routes.
fn check_regions(sections: &[Section], set: &ObjectSet, faults: &mut Vec<Fault>) {
    let places = set.fleet.data_centres.iter();
    let known: Vec<&str> = places.map(|place| place.region.as_str()).collect();
    for route in &set.fleet.routes {
        let Some(section) = find_section(sections, "route", route.name.as_str()) else {
            continue;
        };
        let kinds = set.services.iter().flat_map(|service| &service.kinds);
        let same_name = kinds.filter(|kind| kind.name == route.kind.name).count();
        if same_name > 0 && !route.regions.is_empty() {
            let problem = "a kind has the same name as this route with regions";
            faults.push(section.fault(section.line, problem, "give them different names"));
        }
        let unknown = route.regions.iter().map(RegionName::as_str);
        for region in unknown.filter(|region| !known.contains(region)) {
            let problem = format!("no place is in region `{region}`");
            let line = section.line_of("regions");
            faults.push(section.fault(line, problem, suggestion(region, &known)));
        }
    }
}

fn find_section<'a>(sections: &'a [Section], kind: &str, name: &str) -> Option<&'a Section> {
    sections.iter().find(|s| s.kind == kind && s.name == name)
}
