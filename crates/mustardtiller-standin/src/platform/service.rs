//! An in-memory store, read and watched over HTTP; it counts every request.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::Timer;
use smol::future;
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;

use crate::Runner;
use mustardtiller::config::Artefact;

/// Interval between checks of a watched value, in milliseconds.
const POLL_MS: u64 = 5;

#[derive(Debug, Default)]
struct Values {
    /// Values with their entity tags, by path.
    values: HashMap<String, (Bytes, u64)>,
    /// Number of writes, and entity tag of the last one.
    writes: u64,
}

#[derive(Debug, Default)]
struct Shared {
    values: Mutex<Values>,
    counts: Counts,
    down: AtomicBool,
}

#[derive(Debug, Default)]
struct Counts {
    hosts: AtomicU64,
    manifests: AtomicU64,
    watches: AtomicU64,
    parts: AtomicU64,
}

/// Number of requests received, by what they read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestCounts {
    /// The host list.
    pub hosts: u64,
    /// The manifest, at once.
    pub manifests: u64,
    /// The manifest, with a wait for a change.
    pub watches: u64,
    /// A part, or a path that doesn't exist.
    pub parts: u64,
}

impl RequestCounts {
    /// Return the number of requests of all kinds.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.hosts + self.manifests + self.watches + self.parts
    }

    /// Return the number of requests since an earlier count.
    #[must_use]
    pub const fn since(&self, earlier: &Self) -> Self {
        Self {
            hosts: self.hosts - earlier.hosts,
            manifests: self.manifests - earlier.manifests,
            watches: self.watches - earlier.watches,
            parts: self.parts - earlier.parts,
        }
    }
}

/// A running stand-in platform; clones share its values.
#[derive(Clone, Debug)]
pub struct StandinPlatform {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl StandinPlatform {
    /// Serve at `address`.
    ///
    /// # Panics
    ///
    /// Panics if the address is in use.
    #[must_use]
    pub fn start(runner: &Runner, address: SocketAddr) -> Self {
        let shared = Arc::new(Shared::default());
        let listener =
            smol::block_on(TcpListener::bind(address)).expect("the address can be bound");
        runner.spawn(serve(
            listener,
            Arc::clone(&shared),
            Arc::clone(runner.executor()),
        ));
        Self { address, shared }
    }

    /// Return the address that it serves at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publish an artefact.
    ///
    /// The parts come first, so that the manifest never names a missing part.
    pub fn publish(&self, artefact: &Artefact) {
        for (digest, bytes) in &artefact.parts {
            self.put(&format!("/config/parts/{digest}"), bytes.clone());
        }
        self.put("/config/manifest", artefact.manifest_bytes.clone());
    }

    /// Store a value at a path and give it a new entity tag.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the values.
    pub fn put(&self, path: &str, bytes: impl Into<Bytes>) {
        let mut values = self
            .shared
            .values
            .lock()
            .expect("the values are not poisoned");
        values.writes += 1;
        let tag = values.writes;
        values.values.insert(path.to_owned(), (bytes.into(), tag));
    }

    /// Replace the host list.
    pub fn set_hosts(&self, text: &str) {
        self.put("/hosts", text.to_owned());
    }

    /// Close new connections at once, or accept them again.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
    }

    /// Return the number of requests received.
    #[must_use]
    pub fn requests(&self) -> RequestCounts {
        let counts = &self.shared.counts;
        RequestCounts {
            hosts: counts.hosts.load(Ordering::SeqCst),
            manifests: counts.manifests.load(Ordering::SeqCst),
            watches: counts.watches.load(Ordering::SeqCst),
            parts: counts.parts.load(Ordering::SeqCst),
        }
    }
}

async fn serve(listener: TcpListener, shared: Arc<Shared>, executor: Arc<smol::Executor<'static>>) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        if shared.down.load(Ordering::SeqCst) {
            drop(socket);
            continue;
        }
        let shared = Arc::clone(&shared);
        let connection = async move {
            let service = service_fn(move |req| {
                let shared = Arc::clone(&shared);
                async move { Ok::<_, Infallible>(answer(&shared, &req).await) }
            });
            let io = FuturesIo::new(socket);
            let _ = http1::Builder::new().serve_connection(io, service).await;
        };
        executor.spawn(connection).detach();
    }
}

async fn answer(shared: &Shared, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let path = req.uri().path();
    let counter = match (path, req.uri().query()) {
        ("/hosts", _) => &shared.counts.hosts,
        ("/config/manifest", None) => &shared.counts.manifests,
        ("/config/manifest", Some(_)) => &shared.counts.watches,
        _ => &shared.counts.parts,
    };
    counter.fetch_add(1, Ordering::SeqCst);
    let known_tag = req
        .headers()
        .get("if-none-match")
        .and_then(|tag| tag.to_str().ok());
    let known_tag = known_tag.and_then(|tag| tag.parse::<u64>().ok());
    let wait_ms = req
        .uri()
        .query()
        .and_then(|query| query.strip_prefix("wait_ms="));
    let wait_ms = wait_ms
        .and_then(|millis| millis.parse::<u64>().ok())
        .unwrap_or(0);
    if let Some(known_tag) = known_tag {
        wait_for_change(shared, path, known_tag, wait_ms).await;
    }
    let current = lookup(shared, path);
    let builder = Response::builder();
    let response = match current {
        None => builder.status(404).body(Full::default()),
        Some((_, tag)) if known_tag == Some(tag) => builder.status(304).body(Full::default()),
        Some((bytes, tag)) => builder
            .header("etag", tag.to_string())
            .body(Full::new(bytes)),
    };
    response.expect("the status and headers are valid")
}

/// Wait until `path` has a value with another tag, at most `wait_ms` milliseconds.
async fn wait_for_change(shared: &Shared, path: &str, known_tag: u64, wait_ms: u64) {
    let changed = async {
        while lookup(shared, path).is_none_or(|(_, tag)| tag == known_tag) {
            Timer::after(Duration::from_millis(POLL_MS)).await;
        }
    };
    let timeout = async {
        Timer::after(Duration::from_millis(wait_ms)).await;
    };
    future::or(changed, timeout).await;
}

fn lookup(shared: &Shared, path: &str) -> Option<(Bytes, u64)> {
    let values = shared.values.lock().expect("the values are not poisoned");
    values.values.get(path).cloned()
}
