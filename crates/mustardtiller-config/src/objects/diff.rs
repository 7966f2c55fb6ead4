//! What a change does, before it is published.

use std::collections::BTreeMap;

use crate::ObjectSet;

type Keys = BTreeMap<String, String>;

/// Compare two sets, one line a difference and one a consequence.
///
/// Lines start with `+` for a new object, `-` for one that is gone, `~` for a
/// changed key and `!` for a consequence to mind.
#[must_use]
pub fn diff(old: &ObjectSet, new: &ObjectSet) -> Vec<String> {
    let mut lines = Vec::new();
    for (heading, keys) in &old.written {
        match new.written.get(heading) {
            None => lines.push(format!("- [{heading}]")),
            Some(new_keys) => changed_keys(heading, keys, new_keys, &mut lines),
        }
    }
    for heading in new.written.keys() {
        if !old.written.contains_key(heading) {
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
            "! revision {} does not rise above {}: daemons will not take this set",
            new.fleet.revision, old.fleet.revision
        ));
    }
    for service in &old.services {
        let Some(successor) = new.services.iter().find(|s| s.name == service.name) else {
            lines.push(format!(
                "! service {} will be refused as unknown",
                service.name
            ));
            continue;
        };
        let gone = service
            .upstreams
            .iter()
            .filter(|upstream| successor.upstream(&upstream.name).is_none())
            .count();
        if gone * 2 > service.upstreams.len() {
            let total = service.upstreams.len();
            lines.push(format!(
                "! service {} loses {gone} of {total} upstreams",
                service.name
            ));
        }
    }
}
