//! The published form of a configuration. Generated codecs, plain types.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The format that this program writes and reads.
pub const FORMAT: u16 = 2;

/// The list of the parts of one revision.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Manifest {
    /// The format of the manifest and the parts.
    pub format: u16,
    /// The operators' revision.
    pub revision: u64,
    /// The digest of the fleet part.
    pub fleet: [u8; 16],
    /// The services.
    pub services: Vec<ManifestService>,
}

/// What the manifest says of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ManifestService {
    /// Its name.
    pub name: String,
    /// The HTTP hosts that it answers to.
    pub hosts: Vec<String>,
    /// The digest of its part.
    pub digest: [u8; 16],
}

/// What holds for the fleet as a whole.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FleetPart {
    /// Places and their regions.
    pub places: Vec<PlaceEntry>,
    /// Paths between places.
    pub paths: Vec<PathEntry>,
    /// Callers and their shares.
    pub callers: Vec<CallerEntry>,
    /// Routes.
    pub routes: Vec<RouteEntry>,
    /// What callers may send.
    pub limits: Option<LimitsEntry>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LimitsEntry {
    /// Largest head, in bytes.
    pub head_bytes: u64,
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Time for a head, in milliseconds.
    pub head_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RouteEntry {
    /// Its name.
    pub name: String,
    /// The HTTP host.
    pub host: String,
    /// Services and their weights.
    pub parts: Vec<(String, u32)>,
    /// How its requests are handled.
    pub kind: KindEntry,
}

/// A place.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlaceEntry {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
}

/// A path between two places.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PathEntry {
    /// Its name.
    pub name: String,
    /// One end.
    pub from: String,
    /// The other end.
    pub to: String,
    /// One-way delay, in microseconds.
    pub delay_micros: u32,
    /// Price of a call, in microseconds.
    pub price_micros: u32,
}

/// A caller.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallerEntry {
    /// Its name.
    pub name: String,
    /// Its share.
    pub share: u32,
}

/// One service with its kinds and upstreams.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServicePart {
    /// Its name.
    pub name: String,
    /// The HTTP hosts that it answers to.
    pub hosts: Vec<String>,
    /// Cost is weighed more than latency.
    pub weigh_cost: bool,
    /// Measurements of an upstream, in thousandths a second.
    pub measure_milli_per_second: u64,
    /// Retries earned by a first attempt, in percent.
    pub retry_percent: u32,
    /// Upstreams an entry keeps links to.
    pub subset: u32,
    /// Share of upstreams that may rest at once, in percent.
    pub eject_percent: u32,
    /// Its upstreams register themselves.
    pub discovered: bool,
    /// Where its upstreams answer for their health.
    pub health_path: String,
    /// The kinds of request.
    pub kinds: Vec<KindEntry>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamEntry>,
}

/// Whether a kind takes tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum TokenEntry {
    /// Not looked at.
    Ignored,
    /// May be there.
    Accepted,
    /// Must be there.
    Needed,
}

/// A kind of request.
#[expect(clippy::struct_excessive_bools, reason = "the operators' own flags")]
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KindEntry {
    /// Its name.
    pub name: String,
    /// The methods.
    pub methods: Vec<String>,
    /// The start of the path.
    pub path: String,
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// Its body is streamed.
    pub upload: bool,
    /// It goes before ordinary requests.
    pub urgent: bool,
    /// Time for a request, in milliseconds.
    pub deadline_ms: u64,
    /// Time for the full worth of an answer, in milliseconds.
    pub target_ms: u64,
    /// Rank; zero goes first.
    pub priority: u8,
    /// Attempts, the first included.
    pub attempts: u32,
    /// Share that may be hedged, in percent.
    pub hedge_percent: u32,
    /// Cost is weighed more than latency.
    pub weigh_cost: bool,
    /// Whether tokens are taken.
    pub token: TokenEntry,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamEntry {
    /// Its name.
    pub name: String,
    /// Its place.
    pub place: String,
    /// Where it takes HTTP.
    pub address: SocketAddr,
    /// Where its daemon takes links and gossip.
    pub link: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it takes.
    pub connections: u32,
}
