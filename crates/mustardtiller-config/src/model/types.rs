//! The objects that operators describe.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;

use smallvec::SmallVec;

use mustardtiller_core::CallerName;
use mustardtiller_core::KindName;
use mustardtiller_core::PlaceName;
use mustardtiller_core::Preference;
use mustardtiller_core::RouteName;
use mustardtiller_core::ServiceName;
use mustardtiller_core::UpstreamName;

/// What holds for the fleet as a whole.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fleet {
    /// The revision of the set; must rise with every change.
    pub revision: u64,
    /// The places.
    pub places: Vec<Place>,
    /// The paths between places.
    pub paths: Vec<Path>,
    /// The callers.
    pub callers: Vec<Caller>,
    /// Routes from a host and a path to services.
    pub routes: Vec<Arc<Route>>,
    /// What a caller may send; `None` for the daemon's own settings.
    pub limits: Option<CallerLimits>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: u64,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Time for the head of a request, in milliseconds.
    pub head_ms: u64,
    /// Time for which a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

/// A route from a host and the start of a path to one or more services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The HTTP host, in lower case.
    pub host: Arc<str>,
    /// The services that share its requests.
    pub parts: SmallVec<[RoutePart; 2]>,
    /// How its requests are handled; its path selects the route.
    pub kind: Arc<Kind>,
}

/// One service's part of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoutePart {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the parts.
    pub weight: u32,
}

/// A place: one data centre or zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// Its name.
    pub name: PlaceName,
    /// The region it belongs to.
    pub region: Arc<str>,
}

/// The path between two places, the same both ways.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Path {
    /// Its name.
    pub name: Arc<str>,
    /// One end.
    pub from: PlaceName,
    /// The other end.
    pub to: PlaceName,
    /// One-way delay, in microseconds.
    pub delay_micros: u32,
    /// Price of one call, in microseconds of latency that a saved call is worth.
    pub price_micros: u32,
}

/// A caller: a customer whose requests share one allowance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Caller {
    /// Its name.
    pub name: CallerName,
    /// Its share of a contended upstream relative to other callers.
    pub share: u32,
}

/// A service: a set of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The HTTP hosts that it answers to.
    pub hosts: Vec<Arc<str>>,
    /// What its kinds weigh more unless they say otherwise.
    pub weigh: Preference,
    /// Measurements of each upstream's load, in thousandths a second.
    pub measure_milli_per_second: u64,
    /// Retries earned by each first attempt, in percent of a retry.
    pub retry_percent: u32,
    /// Upstreams that one entry keeps links to.
    pub subset: u32,
    /// Share of the upstreams that may rest for errors at once, in percent.
    pub eject_percent: u32,
    /// Its upstreams register themselves with the platform.
    pub discovered: bool,
    /// Where its upstreams answer for their health.
    pub health_path: Arc<str>,
    /// The kinds of request, longest path first.
    pub kinds: Vec<Arc<Kind>>,
    /// The upstreams.
    pub upstreams: Vec<Arc<Upstream>>,
}

impl Service {
    /// Find the kind of a request by method and path.
    #[must_use]
    pub fn kind_of(&self, method: &str, path: &str) -> Option<&Arc<Kind>> {
        self.kinds.iter().find(|kind| kind.matches(method, path))
    }

    /// Find an upstream by name.
    #[must_use]
    pub fn upstream(&self, name: &UpstreamName) -> Option<&Arc<Upstream>> {
        self.upstreams
            .iter()
            .find(|upstream| upstream.name == *name)
    }
}

/// Whether a kind of request takes tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenRule {
    /// A token is not looked at.
    Ignored,
    /// A request may carry a token.
    Accepted,
    /// A request without a token is refused.
    Needed,
}

/// A kind of request that a service takes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: KindName,
    /// The methods.
    pub methods: Vec<Arc<str>>,
    /// The start of the path.
    pub path: Arc<str>,
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// Its body is streamed, not held.
    pub upload: bool,
    /// It goes before the same caller's ordinary requests.
    pub urgent: bool,
    /// Time a request has unless it brings its own, in milliseconds.
    pub deadline_ms: u64,
    /// Time within which an answer has its full worth, in milliseconds.
    pub target_ms: u64,
    /// Rank among kinds of request; zero goes first.
    pub priority: u8,
    /// Attempts at a request, the first included.
    pub attempts: u32,
    /// Share of requests that may be hedged, in percent.
    pub hedge_percent: u32,
    /// What is weighed more.
    pub weigh: Preference,
    /// Whether tokens are taken.
    pub token: TokenRule,
}

impl Kind {
    /// Return a digest of the name, the same in every daemon.
    #[must_use]
    pub fn digest(&self) -> u32 {
        let mut hasher = DefaultHasher::new();
        self.name.hash(&mut hasher);
        hasher.finish() as u32
    }

    /// Report whether a request with this method and path is of this kind.
    ///
    /// A kind without methods takes every method.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let prefix: &str = &self.path;
        let whole_segment = prefix.ends_with('/')
            || path.len() == prefix.len()
            || path.as_bytes().get(prefix.len()) == Some(&b'/');
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| &**m == method);
        path.starts_with(prefix) && whole_segment && method_matches
    }
}

/// An upstream: one back-end server with the daemon beside it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub name: UpstreamName,
    /// The place it stands in.
    pub place: PlaceName,
    /// Where it takes HTTP, on its own host.
    pub address: SocketAddr,
    /// Where its daemon takes links and gossip.
    pub link: SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections it takes.
    pub connections: u32,
}
