//! Checks of references between objects and of values that must be unique.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::Fault;
use crate::Section;

/// Kinds of object, in the order in which faults list them.
pub const KINDS: &[&str] = &[
    "fleet", "place", "path", "caller", "service", "route", "kind", "upstream",
];

/// Report references in `key` of objects of `kind` to unknown objects of kind `to`.
pub fn unknown_references(
    sections: &[Section],
    kind: &str,
    key: &str,
    to: &str,
    faults: &mut Vec<Fault>,
) {
    let known: Vec<&str> = names_of(sections, to);
    for section in sections.iter().filter(|section| section.kind == kind) {
        let Some(entry) = section.entries.iter().find(|entry| entry.key == key) else {
            continue;
        };
        if !known.contains(&entry.value.as_str()) {
            let problem = format!("there is no {to} `{}`", entry.value);
            let advice = crate::ini::suggestion(&entry.value, &known);
            faults.push(section.fault(entry.line, problem, advice));
        }
    }
}

/// Report objects that share their kind and name with an earlier one.
pub fn duplicate_objects(sections: &[Section], faults: &mut Vec<Fault>) {
    let mut seen: HashMap<String, &Section> = HashMap::new();
    for section in sections {
        if let Some(first) = seen.get(&section.heading()) {
            let advice = format!("the first is at {}:{}; keep one", first.file, first.line);
            faults.push(section.fault(section.line, "the object is defined twice", advice));
        } else {
            seen.insert(section.heading(), section);
        }
    }
}

/// Report objects of `kind` that share a value of any of `keys`.
pub fn duplicate_values(sections: &[Section], kind: &str, keys: &[&str], faults: &mut Vec<Fault>) {
    let mut seen: HashMap<&str, &Section> = HashMap::new();
    for section in sections.iter().filter(|section| section.kind == kind) {
        for entry in section
            .entries
            .iter()
            .filter(|e| keys.contains(&e.key.as_str()))
        {
            if let Some(first) = seen.insert(&entry.value, section) {
                let problem = format!("`{}` is already used by [{}]", entry.value, first.heading());
                faults.push(section.fault(entry.line, problem, "give each its own value"));
            }
        }
    }
}

/// Report services without any object of `kind`, unless their upstreams are discovered.
pub fn services_without(sections: &[Section], kind: &str, faults: &mut Vec<Fault>) {
    let discovered = |service: &Section| {
        let mut entries = service.entries.iter();
        entries.any(|entry| entry.key == "discovered" && entry.value == "yes")
    };
    let services = sections.iter().filter(|section| section.kind == "service");
    for service in services.filter(|service| !discovered(service)) {
        let refers = |section: &&Section| {
            let mut entries = section.entries.iter();
            section.kind == kind && entries.any(|e| e.key == "service" && e.value == service.name)
        };
        if !sections.iter().any(|section| refers(&section)) {
            let problem = format!("the service has no {kind}");
            let advice = format!("add a `[{kind} NAME]` with `service = {}`", service.name);
            faults.push(service.fault(service.line, problem, advice));
        }
    }
}

fn names_of<'a>(sections: &'a [Section], kind: &str) -> Vec<&'a str> {
    let names: BTreeSet<&str> = sections
        .iter()
        .filter(|section| section.kind == kind)
        .map(|section| section.name.as_str())
        .collect();
    names.into_iter().collect()
}
