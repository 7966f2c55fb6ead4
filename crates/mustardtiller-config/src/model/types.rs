//! The objects that operators describe.

use std::net::SocketAddr;
use std::sync::Arc;

use mustardtiller_core::CallerName;
use mustardtiller_core::KindName;
use mustardtiller_core::PlaceName;
use mustardtiller_core::ServiceName;
use mustardtiller_core::UpstreamName;
use mustardtiller_core::Weigh;

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
    pub weigh: Weigh,
    /// Measurements of each upstream's load, in thousandths a second.
    pub measure_milli_per_second: u64,
    /// Retries earned by each first attempt, in percent of a retry.
    pub retry_percent: u32,
    /// Upstreams that one entry keeps links to.
    pub subset: u32,
    /// Share of the upstreams that may rest for errors at once, in percent.
    pub eject_percent: u32,
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
    /// Attempts at a request, the first included.
    pub attempts: u32,
    /// Share of requests that may be hedged, in percent.
    pub hedge_percent: u32,
    /// What is weighed more.
    pub weigh: Weigh,
    /// Whether tokens are taken.
    pub token: TokenRule,
}

impl Kind {
    /// Report whether a request with this method and path is of this kind.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let prefix: &str = &self.path;
        let whole_segment = prefix.ends_with('/')
            || path.len() == prefix.len()
            || path.as_bytes().get(prefix.len()) == Some(&b'/');
        path.starts_with(prefix) && whole_segment && self.methods.iter().any(|m| &**m == method)
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
