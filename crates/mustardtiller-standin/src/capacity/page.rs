//! The table of `docs/CAPACITY.md`.

use std::fmt::Write as _;

use super::slopes::Slopes;

/// Seconds in a day.
const DAY_S: f64 = 86_400.0;

/// The size of a fleet and its rate of change.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of upstreams, each with its own daemon.
    pub upstreams: u64,
    /// Number of services.
    pub services: u64,
    /// Number of services that the callers of one daemon use.
    pub services_called: u64,
    /// Number of upstreams of a service that an entry keeps links to.
    pub subset: u64,
    /// Number of data centres.
    pub data_centres: u64,
    /// Number of configuration readers in each data centre.
    pub readers: u64,
    /// Configuration changes per day.
    pub changes_per_day: u64,
    /// Interval between reads of the host list, in seconds.
    pub hosts_every_s: u64,
}

/// Format the cost of each role at a fleet size as a Markdown table.
#[must_use]
pub fn capacity_table(slopes: &Slopes, size: &FleetSize) -> String {
    let cost = Cost::new(slopes, size);
    let mut text = String::from("| role | state | messages | processor | memory |\n");
    text += "| --- | --- | --- | --- | --- |\n";
    let row = |text: &mut String, cells: [String; 5]| {
        let _ = writeln!(text, "| {} |", cells.join(" | "));
    };
    row(
        &mut text,
        [
            "entry".to_owned(),
            format!("{} upstreams, {:.0} links", size.upstreams, cost.links),
            format!("{:.1} KB/s of pings", cost.ping_kb),
            format!("{:.3}% of a core", cost.link_percent),
            format!("{:.1} MB", cost.entry_mb),
        ],
    );
    row(
        &mut text,
        [
            "gate".to_owned(),
            format!("{:.0} links from entries", cost.links),
            format!("{:.1} KB/s of pings", cost.ping_kb),
            format!("{:.3}% of a core", cost.link_percent),
            format!("{:.1} MB", cost.link_mb),
        ],
    );
    row(
        &mut text,
        [
            "configuration reader".to_owned(),
            format!(
                "manifest {:.1} KB, parts {:.0} KB",
                cost.manifest_kb, cost.parts_kb
            ),
            format!(
                "{:.2} KB/s in, {:.1} reads/s in all",
                cost.change_kb, cost.reads
            ),
            format!("{:.3}% of a core", cost.change_percent),
            format!("{:.1} MB", cost.fleet_mb),
        ],
    );
    row(
        &mut text,
        [
            "gossiping peer".to_owned(),
            "one version".to_owned(),
            format!(
                "{:.2} KB/s of gossip, {:.2} KB/s of changes passed on",
                cost.gossip_kb, cost.change_kb
            ),
            "in the rest".to_owned(),
            "in the rest".to_owned(),
        ],
    );
    row(
        &mut text,
        [
            "host list".to_owned(),
            format!("{} hosts", size.upstreams),
            format!(
                "{:.0} reads/s in all, {:.2} KB/s",
                cost.host_reads, cost.hosts_kb
            ),
            "in the rest".to_owned(),
            "in the reader's".to_owned(),
        ],
    );
    row(
        &mut text,
        [
            "operators' command".to_owned(),
            format!("{} objects", size.upstreams + size.services * 3),
            "none".to_owned(),
            format!("{:.0} ms a check", cost.check_ms),
            "ends with it".to_owned(),
        ],
    );
    row(
        &mut text,
        [
            "**one daemon, all roles**".to_owned(),
            String::new(),
            format!("**{:.1} KB/s** of 17", cost.total_kb()),
            format!("**{:.2}%** of 2.4%", cost.total_percent()),
            format!("**{:.1} MB** of 128", cost.entry_mb + cost.link_mb),
        ],
    );
    let _ = writeln!(
        text,
        "\nReads of the platform in all: {:.0} a second of 2,000.",
        cost.reads + cost.host_reads
    );
    text
}

/// The figures in the table; percentages are of one core, KB and MB are decimal.
struct Cost {
    links: f64,
    ping_kb: f64,
    link_percent: f64,
    rest_percent: f64,
    entry_mb: f64,
    link_mb: f64,
    fleet_mb: f64,
    manifest_kb: f64,
    parts_kb: f64,
    change_kb: f64,
    change_percent: f64,
    gossip_kb: f64,
    reads: f64,
    host_reads: f64,
    hosts_kb: f64,
    check_ms: f64,
}

/// Size of one line of the host list, in bytes.
const HOST_LINE_BYTES: f64 = 40.0;

impl Cost {
    fn new(slopes: &Slopes, size: &FleetSize) -> Self {
        let upstreams = size.upstreams as f64;
        let links = (size.services_called * size.subset) as f64;
        let changes = size.changes_per_day as f64 / DAY_S;
        let manifest = (slopes.manifest_service_bytes * size.services) as f64;
        let part = slopes.part_upstream_bytes as f64 * upstreams / size.services as f64;
        let readers = (size.data_centres * size.readers) as f64;
        let link_mb = links * slopes.link_bytes as f64 / 1e6;
        let fleet_mb = upstreams * slopes.upstream_bytes as f64 / 1e6;
        Self {
            links,
            ping_kb: links * slopes.ping_bytes as f64 / slopes.ping_every_s as f64 / 1e3,
            link_percent: links * slopes.link_micro_cores as f64 / 1e4,
            rest_percent: slopes.rest_micro_cores as f64 / 1e4,
            entry_mb: slopes.rest_bytes as f64 / 1e6 + fleet_mb + link_mb,
            link_mb,
            fleet_mb,
            manifest_kb: manifest / 1e3,
            parts_kb: upstreams * slopes.part_upstream_bytes as f64 / 1e3,
            change_kb: (manifest + part) * changes / 1e3,
            change_percent: upstreams * slopes.change_upstream_nanos as f64 * changes / 1e7,
            gossip_kb: slopes.gossip_bytes_per_s as f64 / 1e3,
            // Each reader reads the manifest and a part per change, and its watch of
            // the manifest returns after 20 s without a change.
            reads: readers * changes * 2.0 + readers / 20.0,
            host_reads: upstreams / size.hosts_every_s as f64,
            hosts_kb: upstreams * HOST_LINE_BYTES / size.hosts_every_s as f64 / 1e3,
            check_ms: upstreams * slopes.check_upstream_micros as f64 / 1e3,
        }
    }

    fn total_kb(&self) -> f64 {
        2.0 * self.ping_kb + 2.0 * self.change_kb + self.gossip_kb + self.hosts_kb
    }

    fn total_percent(&self) -> f64 {
        self.rest_percent + 2.0 * self.link_percent + self.change_percent
    }
}
