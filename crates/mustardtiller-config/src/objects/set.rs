//! Checked sets of objects.

use std::collections::BTreeMap;

use crate::Fleet;
use crate::Section;
use crate::Service;

/// A complete set of objects that passed every check.
#[derive(Clone, Debug)]
pub struct ObjectSet {
    /// Configuration that applies to the whole fleet.
    pub fleet: Fleet,
    /// The services with their kinds and upstreams.
    pub services: Vec<Service>,
    /// The keys and values of every object as written, by heading; compared by `diff`.
    pub(crate) entries: BTreeMap<String, BTreeMap<String, String>>,
}

impl ObjectSet {
    /// Create a set from objects that do not come from INI files.
    #[must_use]
    pub const fn from_parts(fleet: Fleet, services: Vec<Service>) -> Self {
        Self {
            fleet,
            services,
            entries: BTreeMap::new(),
        }
    }

    pub(crate) fn entries_by_heading(
        sections: &[Section],
    ) -> BTreeMap<String, BTreeMap<String, String>> {
        sections
            .iter()
            .map(|section| {
                let entries = section.entries.iter();
                let keys = entries.map(|e| (e.key.clone(), e.value.clone())).collect();
                (section.heading(), keys)
            })
            .collect()
    }
}
