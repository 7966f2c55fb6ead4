//! Measured unit costs, read from `docs/slopes.ini`.

use mustardtiller::config::Document;
use mustardtiller::config::Fault;
use mustardtiller::config::Fields;
use mustardtiller::config::Section;
use mustardtiller::config::Source;

/// Largest accepted value of a slope.
const MAX_SLOPE: u64 = 1_000_000_000;

/// Measured unit costs of the control plane, as whole numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Slopes {
    /// Resident memory of an idle daemon without peers or upstreams, in bytes.
    pub rest_bytes: u64,
    /// Memory per upstream of the fleet, in bytes.
    pub upstream_bytes: u64,
    /// Memory per link, in bytes.
    pub link_bytes: u64,
    /// Size of the manifest per service, in bytes.
    pub manifest_service_bytes: u64,
    /// Size of the parts per upstream, in bytes.
    pub part_upstream_bytes: u64,
    /// Processor use of an idle daemon, in millionths of a core.
    pub rest_micro_cores: u64,
    /// Processor use per idle link, in millionths of a core.
    pub link_micro_cores: u64,
    /// Processor time of a change per upstream of the fleet, in nanoseconds.
    pub change_upstream_nanos: u64,
    /// Gossip sent and received, in bytes per second.
    pub gossip_bytes_per_s: u64,
    /// Size of a ping and its pong on an idle link with packet headers, in bytes.
    pub ping_bytes: u64,
    /// Interval between pings on an idle link, in seconds.
    pub ping_every_s: u64,
    /// Time of `mustardtiller check` per upstream, in microseconds.
    pub check_upstream_micros: u64,
}

impl Slopes {
    /// Parse slopes from the text of an INI file.
    ///
    /// # Errors
    ///
    /// Returns every fault in the text.
    pub fn read(source: &Source) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let document = Document::read(source, &mut faults);
        let section = document
            .sections
            .first()
            .cloned()
            .unwrap_or_else(|| Section {
                file: source.file.clone(),
                line: 1,
                kind: "slopes".to_owned(),
                name: String::new(),
                entries: Vec::new(),
            });
        let mut fields = Fields::new(&section, &mut faults);
        let mut slope = |key| fields.number(key, 0..=MAX_SLOPE).unwrap_or(0);
        let slopes = Self {
            rest_bytes: slope("rest_bytes"),
            upstream_bytes: slope("upstream_bytes"),
            link_bytes: slope("link_bytes"),
            manifest_service_bytes: slope("manifest_service_bytes"),
            part_upstream_bytes: slope("part_upstream_bytes"),
            rest_micro_cores: slope("rest_micro_cores"),
            link_micro_cores: slope("link_micro_cores"),
            change_upstream_nanos: slope("change_upstream_nanos"),
            gossip_bytes_per_s: slope("gossip_bytes_per_s"),
            ping_bytes: slope("ping_bytes"),
            ping_every_s: slope("ping_every_s"),
            check_upstream_micros: slope("check_upstream_micros"),
        };
        fields.finish();
        if faults.is_empty() {
            Ok(slopes)
        } else {
            Err(faults)
        }
    }
}
