//! A checked set of objects.

use std::collections::BTreeMap;

use crate::Fleet;
use crate::Section;
use crate::Service;

/// A whole set of objects that passed every check.
#[derive(Clone, Debug)]
pub struct ObjectSet {
    /// What holds for the fleet.
    pub fleet: Fleet,
    /// The services with their kinds and upstreams.
    pub services: Vec<Service>,
    /// Every object as written, by heading, for comparison.
    pub(crate) written: BTreeMap<String, BTreeMap<String, String>>,
}

impl ObjectSet {
    /// Join objects that were described in another form than INI.
    #[must_use]
    pub const fn from_parts(fleet: Fleet, services: Vec<Service>) -> Self {
        Self {
            fleet,
            services,
            written: BTreeMap::new(),
        }
    }

    pub(crate) fn written_form(sections: &[Section]) -> BTreeMap<String, BTreeMap<String, String>> {
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
