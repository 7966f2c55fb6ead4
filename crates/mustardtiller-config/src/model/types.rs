//! The objects that operators describe.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

use mustardtiller_core::CallerName;
use mustardtiller_core::ColdStart;
use mustardtiller_core::DataCentreName;
use mustardtiller_core::KindName;
use mustardtiller_core::Preference;
use mustardtiller_core::RegionName;
use mustardtiller_core::RouteName;
use mustardtiller_core::ServiceName;
use mustardtiller_core::UpstreamName;

/// Configuration that applies to the whole fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// Revision of the set; must increase with every change.
    pub revision: u64,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
    /// The paths between data centres.
    pub paths: Vec<Path>,
    /// The callers.
    pub callers: Vec<Caller>,
    /// Routes from a host and a path prefix to services.
    pub routes: Vec<Arc<Route>>,
    /// Data centres out of service: their upstreams get no request.
    pub evacuated: Vec<DataCentreName>,
    /// Limits on callers; `None` if each daemon's own settings apply.
    pub limits: Option<CallerLimits>,
}

impl Fleet {
    /// Report whether a data centre is out of service.
    #[must_use]
    pub fn is_evacuated(&self, data_centre: &DataCentreName) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Return the region of a data centre that the configuration describes.
    #[must_use]
    pub fn region_of(&self, data_centre: &DataCentreName) -> Option<&RegionName> {
        let mut data_centres = self.data_centres.iter();
        let described = data_centres.find(|described| described.name == *data_centre)?;
        Some(&described.region)
    }
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: u64,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

/// A route from a host and a path prefix to one or more services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The HTTP host, in lower case.
    pub host: Arc<str>,
    /// The services that its requests are split between.
    pub parts: SmallVec<[RoutePart; 2]>,
    /// The regions that may serve it; empty if all may.
    pub regions: SmallVec<[RegionName; 2]>,
    /// How its requests are handled; the kind's path prefix selects the route.
    pub kind: Arc<Kind>,
}

impl Route {
    /// Report whether upstreams in a region may serve the route.
    ///
    /// An unknown region may serve only routes without regions.
    #[must_use]
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        self.regions.is_empty() || region.is_some_and(|region| self.regions.contains(region))
    }
}

/// One service of a route, with its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoutePart {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the other parts of the route.
    pub weight: u32,
}

/// A data centre: hosts that fail, and are taken out of service, together.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DataCentre {
    /// Its name.
    pub name: DataCentreName,
    /// The region it belongs to.
    pub region: RegionName,
}

/// The network path between two data centres, the same in both directions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Path {
    /// Its name.
    pub name: Arc<str>,
    /// One end.
    pub from: DataCentreName,
    /// The other end.
    pub to: DataCentreName,
    /// One-way delay, in microseconds.
    pub delay_micros: u32,
    /// Price of one call, as the latency worth accepting to avoid it, in microseconds.
    pub price_micros: u32,
}

/// A caller: a customer whose requests share one allowance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Its name.
    pub name: CallerName,
    /// Its fair-queueing weight at a contended upstream, relative to other callers.
    pub share: u32,
}

/// A service: a set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The HTTP hosts whose requests it serves.
    pub hosts: Vec<Arc<str>>,
    /// Whether its kinds prefer low latency or low cost by default.
    pub weigh: Preference,
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
    pub health_path: Arc<str>,
    /// How its upstreams bear a cold start; `None` if starts are not limited then.
    pub cold: Option<ColdStart>,
    /// The kinds of request, longest path prefix first.
    pub kinds: Vec<Arc<Kind>>,
    /// The upstreams.
    pub upstreams: Vec<Arc<Upstream>>,
}

impl Service {
    /// Return the kind of a request by its method and path.
    #[must_use]
    pub fn kind_of(&self, method: &str, path: &str) -> Option<&Arc<Kind>> {
        self.kinds.iter().find(|kind| kind.matches(method, path))
    }

    /// Return an upstream by name.
    #[must_use]
    pub fn upstream(&self, name: &UpstreamName) -> Option<&Arc<Upstream>> {
        self.upstreams
            .iter()
            .find(|upstream| upstream.name == *name)
    }
}

/// Whether requests of a kind may or must carry a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenRule {
    /// Tokens are ignored.
    Ignored,
    /// A token is optional.
    Accepted,
    /// A token is required; a request without one is refused.
    Needed,
}

/// A kind of request: which requests it matches and how they are handled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: KindName,
    /// The HTTP methods it matches; every method if empty.
    pub methods: Vec<Arc<str>>,
    /// The path prefix it matches.
    pub path: Arc<str>,
    /// Whether a request is safe to run more than once.
    pub idempotent: bool,
    /// Whether request bodies are streamed rather than buffered.
    pub upload: bool,
    /// Whether it is queued ahead of the same caller's ordinary requests.
    pub urgent: bool,
    /// Longest time for a call, in milliseconds.
    ///
    /// A caller's own deadline can only shorten it.
    pub deadline_ms: u64,
    /// Target latency, in milliseconds; a later answer is worth less to the caller.
    pub target_ms: u64,
    /// Priority among kinds of request; zero is the highest.
    pub priority: u8,
    /// Largest number of attempts at a request, the first included.
    pub attempts: u32,
    /// Share of requests that may be hedged, in percent.
    pub hedge_percent: u32,
    /// Whether low latency or low cost is preferred.
    pub weigh: Preference,
    /// Whether requests may or must carry a token.
    pub token: TokenRule,
}

impl Kind {
    /// Return a digest of the name that is the same in every daemon.
    #[must_use]
    pub fn digest(&self) -> u32 {
        let mut hasher = DefaultHasher::new();
        self.name.hash(&mut hasher);
        hasher.finish() as u32
    }

    /// Report whether a request with this method and path is of this kind.
    ///
    /// A kind without methods matches every method. The path prefix matches whole segments
    /// only: `/order` matches `/order/7`, but not `/orders`.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let prefix: &str = &self.path;
        let ends_at_segment = prefix.ends_with('/')
            || path.len() == prefix.len()
            || path.as_bytes().get(prefix.len()) == Some(&b'/');
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| &**m == method);
        path.starts_with(prefix) && ends_at_segment && method_matches
    }
}

/// An upstream: one back-end server with a daemon on the same host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub name: UpstreamName,
    /// The data centre it runs in.
    pub data_centre: DataCentreName,
    /// Address on its own host where it accepts HTTP connections.
    pub address: SocketAddr,
    /// Address where its daemon accepts links and gossip.
    pub link: SocketAddr,
    /// Largest number of requests it runs concurrently.
    pub slots: u32,
    /// Largest number of connections it accepts.
    pub connections: u32,
}
