//! Encoded form of a published configuration: plain types with derived codecs.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Version of the encoding that this program writes and reads.
pub const FORMAT: u16 = 4;

/// Manifest of one revision: the digests of all its parts.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Manifest {
    /// Encoding version of the manifest and the parts.
    pub format: u16,
    /// Operators' number of the document; zero if the revision is their number.
    pub serial: u64,
    /// The platform's era at the newest change; zero if it counts none.
    pub era: u64,
    /// Revision of the set, as given by operators or by the platform in its era.
    pub revision: u64,
    /// The digest of the fleet part.
    pub fleet: [u8; 16],
    /// The services.
    pub services: Vec<ManifestService>,
}

/// Manifest entry of one service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ManifestService {
    /// Its name.
    pub name: String,
    /// The HTTP hosts whose requests it serves.
    pub hosts: Vec<String>,
    /// The digest of the service's part.
    pub digest: [u8; 16],
}

/// Configuration that applies to the whole fleet.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FleetPart {
    /// Data centres and their regions.
    pub data_centres: Vec<DataCentreEntry>,
    /// Paths between data centres.
    pub paths: Vec<PathEntry>,
    /// Callers and their fair-queueing shares.
    pub callers: Vec<CallerEntry>,
    /// Routes from hosts and paths to services.
    pub routes: Vec<RouteEntry>,
    /// Names of the data centres out of service.
    pub evacuated: Vec<String>,
    /// Limits on what callers may send.
    pub limits: Option<LimitsEntry>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LimitsEntry {
    /// Largest request head, in bytes.
    pub head_bytes: u64,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RouteEntry {
    /// Its name.
    pub name: String,
    /// The HTTP host, in lower case.
    pub host: String,
    /// Services and their weights.
    pub parts: Vec<(String, u32)>,
    /// Regions that may serve it; every region if empty.
    pub regions: Vec<String>,
    /// How its requests are handled.
    pub kind: KindEntry,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DataCentreEntry {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
}

/// A path between two data centres.
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
    /// Price of a call, as the latency worth accepting to avoid it, in microseconds.
    pub price_micros: u32,
}

/// A caller.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CallerEntry {
    /// Its name.
    pub name: String,
    /// Its weight in fair queueing.
    pub share: u32,
}

/// One service with its kinds and upstreams.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServicePart {
    /// Its name.
    pub name: String,
    /// The HTTP hosts whose requests it serves.
    pub hosts: Vec<String>,
    /// Whether low cost is preferred to low latency.
    pub weigh_cost: bool,
    /// Rate limit for load measurements of one upstream, in thousandths per second.
    pub measure_milli_per_second: u64,
    /// Retry budget earned per first attempt, in percent of a retry.
    pub retry_percent: u32,
    /// Number of upstreams that one entry keeps links to, unless they are discovered.
    pub subset: u32,
    /// Largest share of the upstreams ejected for errors at once, in percent.
    pub eject_percent: u32,
    /// Whether its upstreams register themselves with the platform.
    pub discovered: bool,
    /// Path of its upstreams' health endpoint.
    pub health_path: String,
    /// How its upstreams bear a cold start, if the operators state it.
    pub cold: Option<ColdEntry>,
    /// The kinds of request it takes.
    pub kinds: Vec<KindEntry>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamEntry>,
}

/// How upstreams bear a cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ColdEntry {
    /// Length of a cold start, in milliseconds.
    pub length_ms: u64,
    /// Rate of requests that a cold upstream bears, in thousandths per second.
    pub milli_per_s: u32,
}

/// Encoded form of a kind's token rule.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum TokenEntry {
    /// Tokens are ignored.
    Ignored,
    /// Tokens are optional.
    Accepted,
    /// Tokens are required.
    Needed,
}

/// A kind of request.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent settings of operators"
)]
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KindEntry {
    /// Its name.
    pub name: String,
    /// The HTTP methods it matches; every method if empty.
    pub methods: Vec<String>,
    /// The path prefix it matches.
    pub path: String,
    /// Whether a request is safe to run more than once.
    pub idempotent: bool,
    /// Whether request bodies are streamed rather than buffered.
    pub upload: bool,
    /// Whether it is queued ahead of the same caller's ordinary requests.
    pub urgent: bool,
    /// Longest time for a call, in milliseconds.
    pub deadline_ms: u64,
    /// Target latency, in milliseconds.
    pub target_ms: u64,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Largest number of attempts, the first included.
    pub attempts: u32,
    /// Share of requests that may be hedged, in percent.
    pub hedge_percent: u32,
    /// Whether low cost is preferred to low latency.
    pub weigh_cost: bool,
    /// Whether requests may or must carry a token.
    pub token: TokenEntry,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamEntry {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Address on its own host where it accepts HTTP connections.
    pub address: SocketAddr,
    /// Address where its daemon accepts links and gossip.
    pub link: SocketAddr,
    /// Largest number of requests it runs concurrently.
    pub slots: u32,
    /// Largest number of connections it accepts.
    pub connections: u32,
}
