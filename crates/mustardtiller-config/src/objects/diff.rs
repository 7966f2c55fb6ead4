//! Differences between two sets and their consequences.

use std::collections::BTreeMap;

use crate::ObjectSet;
use mustardtiller_core::DataCentreName;

type Keys = BTreeMap<String, String>;

/// Compare two sets, with one line per difference or consequence.
///
/// Lines start with `+` for an added object, `-` for a removed one, `~` for a
/// changed key and `!` for a consequence that operators should review.
#[must_use]
pub fn diff(old: &ObjectSet, new: &ObjectSet) -> Vec<String> {
    let mut lines = Vec::new();
    for (heading, keys) in &old.entries {
        match new.entries.get(heading) {
            None => lines.push(format!("- [{heading}]")),
            Some(new_keys) => changed_keys(heading, keys, new_keys, &mut lines),
        }
    }
    for heading in new.entries.keys() {
        if !old.entries.contains_key(heading) {
            lines.push(format!("+ [{heading}]"));
        }
    }
    consequences(old, new, &mut lines);
    lines
}

fn changed_keys(heading: &str, old: &Keys, new: &Keys, lines: &mut Vec<String>) {
    for (key, value) in old {
        match new.get(key) {
            None => lines.push(format!("~ [{heading}] {key}: {value} -> (default)")),
            Some(other) if other != value => {
                lines.push(format!("~ [{heading}] {key}: {value} -> {other}"));
            }
            Some(_) => {}
        }
    }
    for (key, value) in new {
        if !old.contains_key(key) {
            lines.push(format!("~ [{heading}] {key}: (default) -> {value}"));
        }
    }
}

fn consequences(old: &ObjectSet, new: &ObjectSet, lines: &mut Vec<String>) {
    if !lines.is_empty() && new.fleet.revision <= old.fleet.revision {
        lines.push(format!(
            "! revision {} does not rise above {}: daemons will not accept this set",
            new.fleet.revision, old.fleet.revision
        ));
    }
    evacuations(old, new, lines);
    for service in &old.services {
        let Some(new_service) = new.services.iter().find(|s| s.name == service.name) else {
            lines.push(format!(
                "! service {} is removed: daemons will refuse its requests",
                service.name
            ));
            continue;
        };
        let removed = service
            .upstreams
            .iter()
            .filter(|upstream| new_service.upstream(&upstream.name).is_none())
            .count();
        if removed * 2 > service.upstreams.len() {
            let total = service.upstreams.len();
            lines.push(format!(
                "! service {} loses {removed} of {total} upstreams",
                service.name
            ));
        }
    }
}

/// Report the places that are taken out of service or back.
fn evacuations(old: &ObjectSet, new: &ObjectSet, lines: &mut Vec<String>) {
    let (before, after) = (&old.fleet.evacuated, &new.fleet.evacuated);
    for place in after.iter().filter(|place| !before.contains(place)) {
        lines.push(format!(
            "! place {place} is evacuated: its {} upstreams get no requests",
            upstreams_in(new, place)
        ));
    }
    for place in before.iter().filter(|place| !after.contains(place)) {
        lines.push(format!(
            "! place {place} is taken back: its {} upstreams get requests again",
            upstreams_in(new, place)
        ));
    }
    let places = &new.fleet.data_centres;
    let all_out = places.iter().all(|p| new.fleet.is_evacuated(&p.name));
    if all_out && !places.is_empty() {
        lines.push("! every place is evacuated: daemons will refuse all requests".to_owned());
    }
}

/// Count the configured upstreams in a place; those that register are not known here.
fn upstreams_in(set: &ObjectSet, place: &DataCentreName) -> usize {
    let upstreams = set.services.iter().flat_map(|service| &service.upstreams);
    upstreams.filter(|u| u.data_centre == *place).count()
}
