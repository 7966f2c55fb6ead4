//! The check of a whole set of objects.

use std::collections::HashMap;
use std::fs;
use std::path::Path as FilePath;
use std::sync::Arc;

use snafu::Snafu;

use super::parse;
use super::refer;
use super::refer::KINDS;
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

/// Why a directory could not be checked or did not pass.
#[derive(Debug)]
#[derive(Snafu)]
pub enum CheckError {
    /// A file or the directory could not be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// The path.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The directory has no file that ends in `.ini`.
    #[snafu(display("{path}: no file ends in .ini"))]
    Empty {
        /// The path.
        path: String,
    },
    /// The set has faults.
    #[snafu(display("{} faults", faults.len()))]
    Faults {
        /// Every fault, in the order of files and lines.
        faults: Vec<Fault>,
    },
}

/// Check every `.ini` file of a directory together.
///
/// # Errors
///
/// Returns every fault of the set at once, or the file that can't be read.
pub fn check_dir(dir: &FilePath) -> Result<ObjectSet, CheckError> {
    let sources = read_dir(dir)?;
    check(&sources).map_err(|faults| CheckError::Faults { faults })
}

/// Check a whole set of objects.
///
/// # Errors
///
/// Returns every fault, in the order of files and lines.
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
            let problem = format!("`{}` is no kind of object", section.kind);
            faults.push(section.fault(section.line, problem, suggestion(&section.kind, KINDS)));
        } else if !is_name(&section.name) {
            let problem = format!("`{}` is no name", section.name);
            let advice = "use letters, digits, `-`, `_` and `.`, 64 at most";
            faults.push(section.fault(section.line, problem, advice));
        }
    }
    refer::unique_names(sections, faults);
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
    for second in fleets {
        faults.push(second.fault(second.line, "the set has two fleets", "keep one"));
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
        refer::refer(sections, kind, key, to, faults);
    }
    refer::unique_values(sections, "upstream", &["address", "link"], faults);
    refer::inhabited(sections, "kind", faults);
    refer::inhabited(sections, "upstream", faults);
}

fn read_set(sections: &[Section], faults: &mut Vec<Fault>) -> ObjectSet {
    let mut fleet = Fleet {
        revision: 0,
        places: Vec::new(),
        paths: Vec::new(),
        callers: Vec::new(),
        routes: Vec::new(),
        limits: None,
    };
    let mut services: Vec<Service> = Vec::new();
    let mut kinds: HashMap<String, Vec<Arc<Kind>>> = HashMap::new();
    let mut upstreams: HashMap<String, Vec<Arc<Upstream>>> = HashMap::new();
    let mut own_weigh: Vec<String> = Vec::new();
    for section in sections {
        match section.kind.as_str() {
            "fleet" => fleet.revision = parse::revision(section, faults).unwrap_or_default(),
            "place" => fleet.places.push(parse::place(section, faults)),
            "path" => fleet.paths.extend(parse::path(section, faults)),
            "caller" => fleet.callers.push(parse::caller(section, faults)),
            "service" => services.push(parse::service(section, faults)),
            "route" => fleet
                .routes
                .extend(parse::route(section, faults).map(Arc::new)),
            "kind" => {
                if let Some(kind) = parse::kind(section, faults) {
                    if kind.own_weigh {
                        own_weigh.push(kind.object.name.to_string());
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
        finish_kinds(service, &own_weigh);
    }
    let written = ObjectSet::written_form(sections);
    ObjectSet {
        fleet,
        services,
        written,
    }
}

/// Give kinds their service's weighing, and put the longest path first.
fn finish_kinds(service: &mut Service, own_weigh: &[String]) {
    for kind in &mut service.kinds {
        if !own_weigh.iter().any(|name| name == kind.name.as_str()) {
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
            if let Some(section) = find(sections, "service", service.name.as_str()) {
                let problem = format!("host `{host}` is taken by [service {}]", first.name);
                faults.push(section.fault(section.line_of("hosts"), problem, "give each its own"));
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
            let section = find(sections, "kind", kind.name.as_str());
            if let (Some(other), Some(section)) = (clash, section) {
                let problem = format!("it matches the same requests as [kind {}]", other.name);
                let advice = "give them other paths or methods";
                faults.push(section.fault(section.line, problem, advice));
            }
        }
    }
}

/// Report routes that lead to no service or take the same requests.
fn check_routes(sections: &[Section], set: &ObjectSet, faults: &mut Vec<Fault>) {
    let known: Vec<&str> = set.services.iter().map(|s| s.name.as_str()).collect();
    for (index, route) in set.fleet.routes.iter().enumerate() {
        let Some(section) = find(sections, "route", route.name.as_str()) else {
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
            let problem = format!("it takes the same requests as [route {}]", other.name);
            faults.push(section.fault(section.line, problem, "give them other hosts or paths"));
        }
    }
}

fn find<'a>(sections: &'a [Section], kind: &str, name: &str) -> Option<&'a Section> {
    sections.iter().find(|s| s.kind == kind && s.name == name)
}
