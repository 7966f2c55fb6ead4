//! Settings of one daemon, read from an INI file and checked before it starts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use log::LevelFilter;

use mustardtiller_config::Document;
use mustardtiller_config::Fault;
use mustardtiller_config::Fields;
use mustardtiller_config::Section;
use mustardtiller_config::Source;
use mustardtiller_core::DataCentreName;
use mustardtiller_core::ReadScheduleRule;
use mustardtiller_core::RegionName;
use mustardtiller_core::RegistryViewRule;
use mustardtiller_core::ServiceName;
use mustardtiller_core::SpreadRule;
use mustardtiller_core::StopRule;
use mustardtiller_core::UpstreamName;

/// Default bound of connections from callers.
///
/// Each takes some 26 KB, so all of them take 53 MB of the 128 MB of the target.
const DEFAULT_CALLER_CONNECTIONS: u64 = 2_048;

/// Default time for which an answer may wait for its caller to read on, in milliseconds.
const DEFAULT_ANSWER_MS: u64 = 20_000;

/// Default memory of the host, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 160;

/// Accepted memory of the host, in megabytes; less has no room for the largest body.
const MEMORY_MB: RangeInclusive<u64> = 64..=1_048_576;

/// Values of the `log_level` setting.
const LOG_LEVELS: &[(&str, LevelFilter)] = &[
    ("error", LevelFilter::Error),
    ("warn", LevelFilter::Warn),
    ("info", LevelFilter::Info),
    ("debug", LevelFilter::Debug),
];

/// Values of the platform's `kind` setting.
const PLATFORM_KINDS: &[(&str, PlatformKind)] = &[
    ("artefacts", PlatformKind::Artefacts),
    ("store", PlatformKind::Store),
];

/// Longest duration accepted in a setting, in milliseconds.
const MAX_MILLIS: u64 = 3_600_000;

/// Kind of service that the platform provides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlatformKind {
    /// Serves artefacts written by `mustardtiller build`, and a host list.
    Artefacts,
    /// Metadata store with a configuration document and registrations of upstreams.
    Store,
}

/// Settings for discovery of upstreams that register themselves with the platform.
#[derive(Clone, Debug)]
pub struct DiscoverySettings {
    /// HTTP address of the upstream beside this daemon.
    pub upstream: SocketAddr,
    /// Service of that upstream.
    pub service: ServiceName,
    /// Timing of registry reads that daemons of one data centre share.
    pub read_schedule: ReadScheduleRule,
    /// How long registrations are kept that may have lapsed.
    pub view: RegistryViewRule,
    /// Price of a request to another data centre, in microseconds of waiting time.
    pub far_micros: u32,
    /// Additional price per kilobyte of its body, in microseconds of waiting time.
    pub far_micros_per_kb: u32,
    /// Most load probes of the upstream per second; zero disables them.
    ///
    /// A probe is sent only when a request is about to start and no recent answer has
    /// reported the load.
    pub load_probes_per_s: u32,
}

/// Limits on the fleet's retries to one service in a sliding window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryBounds {
    /// Retries per first attempt, in percent; `None` for the service's own value.
    pub percent: Option<u32>,
    /// Retries allowed beyond that share, for the whole fleet.
    pub spare: u32,
    /// Length of the window, in milliseconds; the daemon logs it but does not use it.
    pub window_ms: u64,
}

/// Highest cross-data centre price, in microseconds.
const MAX_FAR_MICROS: u64 = 10_000_000;

/// Default rate of load probes, per second.
///
/// At 50, each request that starts finds a load at most 20 ms old.
const DEFAULT_LOAD_PROBES_PER_S: u64 = 50;

/// Highest rate of load probes, per second.
const MAX_LOAD_PROBES_PER_S: u64 = 1_000;

/// Highest percentage accepted in a setting.
const MAX_PERCENT: u64 = 100;

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this daemon; without discovery also of the upstream beside it.
    pub upstream: UpstreamName,
    /// Data centre of the daemon and its upstream.
    pub data_centre: DataCentreName,
    /// Address of the entry, for callers.
    pub entry: SocketAddr,
    /// Address at which other daemons reach the gate, by TCP and UDP.
    pub link: SocketAddr,
    /// Address at which the gate listens; differs from `link` behind a forwarder.
    pub link_listen: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics: Option<SocketAddr>,
    /// Address of the readiness endpoint, polled by the platform.
    pub ready: Option<SocketAddr>,
    /// Caller of all calls to this entry; `None` if each call names its own.
    pub caller: Option<String>,
    /// Regions of data centres that the configuration does not describe.
    pub regions: HashMap<DataCentreName, RegionName>,
    /// Discovery of self-registered upstreams; `None` if operators configure them.
    pub discovery: Option<DiscoverySettings>,
    /// Limits on the fleet's retries.
    pub retries: RetryBounds,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Kind of that service.
    pub platform_kind: PlatformKind,
    /// Peers contacted before the host list is known.
    pub seeds: Vec<SocketAddr>,
    /// Services whose upstreams get links before the first request.
    pub preconnect: Vec<String>,
    /// Threads that run requests and controllers.
    pub threads: u64,
    /// Lowest severity that is logged.
    pub level: LevelFilter,
    /// Most log lines about requests, per second.
    pub request_lines: u32,
    /// Times of a planned stop.
    pub stop: StopRule,
    /// Timeout for a caller to send a request's head, in milliseconds.
    pub head_ms: u64,
    /// Timeout for each chunk of a streamed body, in milliseconds.
    ///
    /// A body that is held in memory must arrive completely within this time.
    pub piece_ms: u64,
    /// Largest body that is held in memory, in bytes.
    pub held_body_bytes: u64,
    /// Largest streamed body, in bytes.
    pub streamed_body_bytes: u64,
    /// Largest request head, in bytes.
    pub head_bytes: u64,
    /// Time for which an answer may wait for its caller to read on, in milliseconds.
    pub answer_ms: u64,
    /// Memory of the host, in megabytes.
    pub memory_mb: u64,
    /// Most connections from callers; idle ones are closed beyond it.
    pub caller_connections: u64,
    /// Duration of a cold upstream's ramp to full load, in milliseconds.
    pub ramp_ms: u64,
    /// Capacity of the gate's ledger, in tokens.
    pub ledger_tokens: u64,
    /// Time from minting to expiry of a token, in milliseconds.
    pub token_ms: u64,
    /// Timing and fan-out of configuration distribution.
    pub spread: SpreadRule,
    /// Interval between reads of the host list, in milliseconds.
    pub hosts_ms: u64,
}

impl Settings {
    /// Parse settings from an INI text.
    ///
    /// # Errors
    ///
    /// Returns all faults at once, in order of lines.
    ///
    /// # Examples
    ///
    /// ```
    /// use mustardtiller::Settings;
    /// use mustardtiller::config::Source;
    ///
    /// let faults = Settings::read(&Source::new("d.ini", "[daemon]\nupsteam = a\n")).unwrap_err();
    /// assert!(faults.iter().any(|f| f.advice == "did you mean `upstream`?"));
    /// ```
    pub fn read(source: &Source) -> Result<Self, Vec<Fault>> {
        let mut faults = Vec::new();
        let document = Document::read(source, &mut faults);
        check_sections(&document, &mut faults);
        let settings = Self::from_document(source, &document, &mut faults);
        faults.sort();
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(faults),
        }
    }

    fn from_document(
        source: &Source,
        document: &Document,
        faults: &mut Vec<Fault>,
    ) -> Option<Self> {
        let daemon = section(source, document, "daemon");
        let platform = section(source, document, "platform");
        let limits = section(source, document, "limits");
        let spread = section(source, document, "spread");
        let discovery = document.sections.iter().find(|s| s.kind == "discovery");
        let probes = read_probes(&section(source, document, "probes"), faults);
        let discovery = discovery.map(|section| read_discovery(section, probes, faults));
        let retries = read_retries(&section(source, document, "retries"), faults);
        let (platform, platform_kind) = read_platform(&platform, faults);
        let (spread, hosts_ms) = read_spread(&spread, faults);
        let limits = Limits::read(&limits, faults);
        let mut fields = Fields::new(&daemon, faults);
        let upstream = fields.name("upstream", "upstream");
        let data_centre = fields.name("place", "place");
        let entry = fields.address("entry");
        let link = fields.address("link");
        let link_listen = fields.address_opt("link_listen");
        let metrics = fields.address_opt("metrics");
        let ready = fields.address_opt("ready");
        let caller = fields.text_opt("caller").map(str::to_owned);
        let seeds = read_seeds(&mut fields);
        let preconnect = fields.list("calls");
        let threads = fields.number_or("threads", 2, 1..=64);
        let level = fields.choice_or("log_level", LevelFilter::Info, LOG_LEVELS);
        let request_lines = fields.number_or("request_lines_per_s", 40, 0..=100_000) as u32;
        let withdraw_ms = fields.number_or("withdraw_ms", 1_000, 0..=MAX_MILLIS);
        let stop_ms = fields.number_or("stop_ms", 30_000, 0..=MAX_MILLIS);
        fields.finish();
        let stop = StopRule {
            withdraw_ms,
            stop_ms,
            grace_ms: read_grace(&section(source, document, "stop"), faults),
        };
        Some(Self {
            upstream: upstream?.as_str().into(),
            data_centre: data_centre?.as_str().into(),
            entry: entry?,
            link: link?,
            link_listen: link_listen.or(link)?,
            metrics,
            ready,
            caller,
            regions: regions_of(&section(source, document, "regions")),
            discovery: match discovery {
                Some(discovery) => Some(discovery?),
                None => None,
            },
            retries,
            platform: platform?,
            platform_kind,
            seeds,
            preconnect,
            threads,
            level,
            request_lines,
            stop,
            head_ms: limits.head_ms,
            piece_ms: limits.piece_ms,
            held_body_bytes: limits.held_body_bytes,
            streamed_body_bytes: limits.streamed_body_bytes,
            head_bytes: limits.head_bytes,
            answer_ms: limits.answer_ms,
            memory_mb: limits.memory_mb,
            caller_connections: limits.caller_connections,
            ramp_ms: limits.ramp_ms,
            ledger_tokens: limits.ledger_tokens,
            token_ms: limits.token_ms,
            spread,
            hosts_ms,
        })
    }
}

/// Values of the `[limits]` section.
struct Limits {
    head_ms: u64,
    piece_ms: u64,
    held_body_bytes: u64,
    streamed_body_bytes: u64,
    head_bytes: u64,
    answer_ms: u64,
    memory_mb: u64,
    caller_connections: u64,
    ramp_ms: u64,
    ledger_tokens: u64,
    token_ms: u64,
}

impl Limits {
    fn read(section: &Section, faults: &mut Vec<Fault>) -> Self {
        let mut fields = Fields::new(section, faults);
        let limits = Self {
            head_ms: fields.number_or("head_ms", 5_000, 10..=MAX_MILLIS),
            piece_ms: fields.number_or("piece_ms", 10_000, 10..=MAX_MILLIS),
            held_body_bytes: fields.number_or("held_body_bytes", 65_536, 0..=1_000_000),
            streamed_body_bytes: fields.number_or("streamed_body_bytes", 8 << 30, 0..=u64::MAX),
            head_bytes: fields.number_or("head_bytes", 32_768, 8_192..=262_144),
            answer_ms: fields.number_or("answer_ms", DEFAULT_ANSWER_MS, 10..=MAX_MILLIS),
            memory_mb: fields.number_or("memory_mb", DEFAULT_MEMORY_MB, MEMORY_MB),
            caller_connections: fields.number_or(
                "caller_connections",
                DEFAULT_CALLER_CONNECTIONS,
                1..=1_000_000,
            ),
            ramp_ms: fields.number_or("ramp_ms", 2_000, 0..=MAX_MILLIS),
            ledger_tokens: fields.number_or("ledger_tokens", 65_536, 1..=1_000_000),
            token_ms: fields.number_or("token_ms", 600_000, 1_000..=MAX_MILLIS),
        };
        fields.finish();
        limits
    }
}

fn read_platform(section: &Section, faults: &mut Vec<Fault>) -> (Option<SocketAddr>, PlatformKind) {
    let mut fields = Fields::new(section, faults);
    let address = fields.address("address");
    let kind = fields.choice_or("kind", PlatformKind::Artefacts, PLATFORM_KINDS);
    fields.finish();
    (address, kind)
}

fn read_spread(section: &Section, faults: &mut Vec<Fault>) -> (SpreadRule, u64) {
    let default = SpreadRule::default();
    let mut fields = Fields::new(section, faults);
    let rule = SpreadRule {
        readers: fields.number_or("readers", default.readers as u64, 1..=100) as usize,
        fanout: fields.number_or("fanout", default.fanout as u64, 1..=20) as usize,
        gossip_ms: fields.number_or("gossip_ms", default.gossip_ms, 20..=MAX_MILLIS),
        watch_step_ms: fields.number_or("watch_step_ms", default.watch_step_ms, 20..=MAX_MILLIS),
        max_watch_ms: default.max_watch_ms,
        idle_read_ms: fields.number_or("idle_read_ms", default.idle_read_ms, 20..=MAX_MILLIS),
        retry_ms: fields.number_or("retry_ms", default.retry_ms, 10..=MAX_MILLIS),
        max_retry_ms: fields.number_or("max_retry_ms", default.max_retry_ms, 10..=MAX_MILLIS),
        start_ms: fields.number_or("start_ms", default.start_ms, 0..=MAX_MILLIS),
        alone_ms: fields.number_or("alone_ms", default.alone_ms, 0..=MAX_MILLIS),
        fetch_ms: fields.number_or("fetch_ms", default.fetch_ms, 10..=MAX_MILLIS),
        fetch_hedge_ms: fields.number_or("fetch_hedge_ms", default.fetch_hedge_ms, 10..=MAX_MILLIS),
        silence_ms: fields.number_or("silence_ms", default.silence_ms, 50..=MAX_MILLIS),
        peers_ms: fields.number_or("peers_ms", default.peers_ms, 0..=MAX_MILLIS),
    };
    let hosts_ms = fields.number_or("hosts_ms", 60_000, 20..=MAX_MILLIS);
    fields.finish();
    (rule, hosts_ms)
}

/// Read the rate of load probes from the `[probes]` section.
fn read_probes(section: &Section, faults: &mut Vec<Fault>) -> u32 {
    let mut fields = Fields::new(section, faults);
    let per_s = fields.number_or(
        "per_s",
        DEFAULT_LOAD_PROBES_PER_S,
        0..=MAX_LOAD_PROBES_PER_S,
    );
    fields.finish();
    per_s as u32
}

fn read_discovery(
    section: &Section,
    load_probes_per_s: u32,
    faults: &mut Vec<Fault>,
) -> Option<DiscoverySettings> {
    let default = ReadScheduleRule::default();
    let mut fields = Fields::new(section, faults);
    let upstream = fields.address("upstream");
    let service = fields.name("service", "service");
    let read_schedule = ReadScheduleRule {
        listen_ms: fields.number_or("listen_ms", default.listen_ms, 0..=MAX_MILLIS),
        idle_listen_ms: fields.number_or("idle_listen_ms", default.idle_listen_ms, 0..=MAX_MILLIS),
        read_ms: fields.number_or("read_ms", default.read_ms, 20..=MAX_MILLIS),
        step_ms: fields.number_or("step_ms", default.step_ms, 10..=MAX_MILLIS),
        retry_ms: fields.number_or("retry_ms", default.retry_ms, 10..=MAX_MILLIS),
        max_retry_ms: fields.number_or("max_retry_ms", default.max_retry_ms, 10..=MAX_MILLIS),
        ..default
    };
    let view = RegistryViewRule::default();
    let view = RegistryViewRule {
        lapse_ms: fields.number_or("lapse_ms", view.lapse_ms, 0..=MAX_MILLIS),
        ..view
    };
    let far_micros = fields.number_or("far_us", 0, 0..=MAX_FAR_MICROS) as u32;
    let far_micros_per_kb = fields.number_or("far_us_per_kb", 0, 0..=MAX_FAR_MICROS) as u32;
    fields.finish();
    Some(DiscoverySettings {
        upstream: upstream?,
        service: service?.as_str().into(),
        read_schedule,
        view,
        far_micros,
        far_micros_per_kb,
        load_probes_per_s,
    })
}

/// Read the time after which a stopping process is killed from the `[stop]` section.
fn read_grace(section: &Section, faults: &mut Vec<Fault>) -> Option<u64> {
    let mut fields = Fields::new(section, faults);
    let is_set = section.entries.iter().any(|entry| entry.key == "grace_ms");
    let grace_ms = fields.number_or("grace_ms", 0, 0..=MAX_MILLIS);
    fields.finish();
    is_set.then_some(grace_ms)
}

fn read_retries(section: &Section, faults: &mut Vec<Fault>) -> RetryBounds {
    let mut fields = Fields::new(section, faults);
    let is_set = section.entries.iter().any(|entry| entry.key == "percent");
    let percent = fields.number_or("percent", 0, 0..=MAX_PERCENT) as u32;
    let retries = RetryBounds {
        percent: is_set.then_some(percent),
        spare: fields.number_or("spare", 10, 0..=1_000_000) as u32,
        window_ms: fields.number_or("window_ms", 10_000, 100..=MAX_MILLIS),
    };
    fields.finish();
    retries
}

/// Read the `[regions]` section: a region by the name of each data centre.
fn regions_of(section: &Section) -> HashMap<DataCentreName, RegionName> {
    let entries = section.entries.iter();
    entries
        .map(|entry| (entry.key.as_str().into(), entry.value.as_str().into()))
        .collect()
}

fn read_seeds(fields: &mut Fields<'_>) -> Vec<SocketAddr> {
    let list = fields.list("seeds");
    let mut seeds = Vec::new();
    for word in &list {
        match word.parse() {
            Ok(seed) => seeds.push(seed),
            Err(_) => fields.add_at(
                "seeds",
                format!("`{word}` is not an address"),
                "give IP addresses and ports, such as 127.0.0.1:9080",
            ),
        }
    }
    seeds
}

fn check_sections(document: &Document, faults: &mut Vec<Fault>) {
    let known = [
        "daemon",
        "platform",
        "limits",
        "spread",
        "discovery",
        "retries",
        "probes",
        "regions",
        "stop",
    ];
    for (index, section) in document.sections.iter().enumerate() {
        if !known.contains(&section.kind.as_str()) || !section.name.is_empty() {
            let problem = format!("`[{}]` is not a section of the settings", section.heading());
            let advice = format!("the known ones are: {}", known.join(", "));
            faults.push(section.fault(section.line, problem, advice));
        }
        if document.sections[..index]
            .iter()
            .any(|s| s.kind == section.kind)
        {
            faults.push(section.fault(section.line, "the section is defined twice", "keep one"));
        }
    }
}

/// Return the section, or an empty one so that missing keys are reported.
fn section(source: &Source, document: &Document, kind: &str) -> Section {
    let found = document
        .sections
        .iter()
        .find(|section| section.kind == kind);
    found.cloned().unwrap_or_else(|| Section {
        file: source.file.clone(),
        line: 1,
        kind: kind.to_owned(),
        name: String::new(),
        entries: Vec::new(),
    })
}
