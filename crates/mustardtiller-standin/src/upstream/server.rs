//! The stand-in's HTTP server.
//!
//! `GET /load` tells its state. `GET /bytes/N?seed=S` answers N bytes of
//! content. Any other GET echoes its path. `POST /order` runs the key in
//! `x-key`. `POST /upload` stores the body under `x-key`, once it is whole. The
//! query may ask for `delay_ms=N`, `status=N` or `cut=head|body`.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_channel::Sender;
use async_channel::bounded;
use bytes::Bytes;
use data_encoding::HEXLOWER;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::Executor;
use smol::Task;
use smol::Timer;
use smol::future;
use smol::lock::Semaphore;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use super::content::content;
use super::plan::UpstreamPlan;
use super::record::UpstreamRecord;
use crate::Runner;
use mustardtiller::config::digest_of;

/// Time between two looks at whether it is still frozen, in milliseconds.
const FROZEN_LOOK_MS: u64 = 5;

/// Bytes in one piece of a long answer.
const PIECE_BYTES: usize = 64 * 1024;

/// Answers longer than this are sent in pieces, in bytes.
const WHOLE_BYTES: usize = 8 * 1024;

/// A running stand-in. Dropped, it closes its listener and every connection.
pub struct StandinUpstream {
    address: SocketAddr,
    plan: Arc<UpstreamPlan>,
    record: Arc<UpstreamRecord>,
    serving: Option<Task<()>>,
}

impl StandinUpstream {
    /// Serve at `address` with `slots` requests at once.
    ///
    /// # Panics
    ///
    /// Panics if the address is taken.
    #[must_use]
    pub fn start(
        runner: &Runner,
        address: SocketAddr,
        slots: usize,
        plan: Arc<UpstreamPlan>,
        record: Arc<UpstreamRecord>,
    ) -> Self {
        let listener = smol::block_on(TcpListener::bind(address)).expect("the address is free");
        let shared = Shared {
            address,
            plan: Arc::clone(&plan),
            record: Arc::clone(&record),
            slots: Arc::new(Semaphore::new(slots)),
        };
        let serving = serve(listener, shared, Arc::clone(runner.executor()));
        Self {
            address,
            plan,
            record,
            serving: Some(runner.spawn_task(serving)),
        }
    }

    /// Return where it serves.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Return its behaviour, to change it.
    #[must_use]
    pub fn plan(&self) -> &UpstreamPlan {
        &self.plan
    }

    /// Return what it was asked to do.
    #[must_use]
    pub fn record(&self) -> &UpstreamRecord {
        &self.record
    }

    /// End at once, cutting every connection.
    pub fn kill(&mut self) {
        if let Some(serving) = self.serving.take() {
            smol::block_on(serving.cancel());
        }
    }
}

impl fmt::Debug for StandinUpstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StandinUpstream")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

#[derive(Clone)]
struct Shared {
    address: SocketAddr,
    plan: Arc<UpstreamPlan>,
    record: Arc<UpstreamRecord>,
    slots: Arc<Semaphore>,
}

async fn serve(listener: TcpListener, shared: Shared, executor: Arc<Executor<'static>>) {
    let mut connections: Vec<Task<()>> = Vec::new();
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        connections.retain(|connection| !connection.is_finished());
        let serving = serve_connection(socket, shared.clone());
        connections.push(executor.spawn(serving));
    }
}

async fn serve_connection(socket: TcpStream, shared: Shared) {
    let _ = socket.set_nodelay(true);
    let cutter = socket.clone();
    let (cut, cutting) = bounded::<()>(1);
    let service = service_fn(move |req| {
        let (shared, cut) = (shared.clone(), cut.clone());
        async move { Ok::<_, Infallible>(answer(&shared, req, &cut).await) }
    });
    let io = FuturesIo::new(socket);
    let connection = async {
        let _ = http1::Builder::new().serve_connection(io, service).await;
    };
    let cut = async {
        if cutting.recv().await.is_err() {
            future::pending::<()>().await;
        }
    };
    future::or(connection, cut).await;
    let _ = cutter.shutdown(std::net::Shutdown::Both);
}

/// A request in flight, counted until it is dropped.
struct InFlight(Arc<UpstreamRecord>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.end();
    }
}

async fn answer(shared: &Shared, req: Request<Incoming>, cut: &Sender<()>) -> Response<Pieces> {
    if req.uri().path() == "/load" {
        while shared.plan.is_frozen() {
            Timer::after(Duration::from_millis(FROZEN_LOOK_MS)).await;
        }
        shared.record.count_measurement(shared.address);
        let (state, in_flight) = (shared.plan.state(), shared.record.in_flight());
        let text = format!("state={state} in_flight={in_flight}\n");
        return respond(shared, 200, Pieces::whole(text.into_bytes()));
    }
    shared.record.begin();
    let in_flight = InFlight(Arc::clone(&shared.record));
    if shared.plan.is_frozen() {
        future::pending::<()>().await;
    }
    if is_late(&req) {
        shared.record.count_late();
    }
    if shared.plan.is_failing() {
        return respond(shared, 503, Pieces::whole(b"failing\n".to_vec()));
    }
    let text = req.uri().query().unwrap_or_default().to_owned();
    let query = Query::read(&text);
    let slot = shared.slots.acquire_arc().await;
    let (status, bytes) = run(shared, req, &query).await;
    let micros = query
        .delay_ms
        .map_or_else(|| shared.plan.service_micros(), |ms| ms * 1_000);
    Timer::after(Duration::from_micros(micros)).await;
    drop(slot);
    if query.cut == Some("head") {
        let _ = cut.try_send(());
        future::pending::<()>().await;
    }
    let cut_body = query.cut == Some("body");
    let pieces = Pieces::new(bytes, cut_body.then(|| cut.clone()), in_flight);
    respond(shared, query.status.unwrap_or(status), pieces)
}

/// Run a request; its key is counted at the moment it runs.
async fn run(shared: &Shared, req: Request<Incoming>, query: &Query<'_>) -> (u16, Vec<u8>) {
    let key = req
        .headers()
        .get("x-key")
        .and_then(|key| key.to_str().ok())
        .map(str::to_owned);
    let path = req.uri().path().to_owned();
    if let Some(length) = path.strip_prefix("/bytes/") {
        let length = length.parse().unwrap_or(0);
        return (200, content(query.seed.unwrap_or(0), length));
    }
    match (path.as_str(), key) {
        ("/order", Some(key)) => {
            shared.record.count_run(&key);
            let body = req.into_body().collect().await;
            let length = body.map_or(0, |body| body.to_bytes().len());
            (201, format!("ran {key} with {length} bytes\n").into_bytes())
        }
        ("/upload", Some(key)) => match req.into_body().collect().await {
            Ok(body) => {
                let bytes = body.to_bytes().to_vec();
                let digest = HEXLOWER.encode(&digest_of(&bytes).0);
                shared.record.count_run(&key);
                shared.record.store_upload(&key, bytes);
                (201, format!("stored {key} {digest}\n").into_bytes())
            }
            Err(_) => {
                shared.record.count_cut_upload();
                (400, b"cut\n".to_vec())
            }
        },
        ("/sink", _) => {
            let mut body = req.into_body();
            let mut length = 0;
            while let Some(Ok(frame)) = body.frame().await {
                length += frame.data_ref().map_or(0, Bytes::len);
            }
            (201, format!("took {length} bytes\n").into_bytes())
        }
        _ => (200, format!("echo {path}\n").into_bytes()),
    }
}

fn respond(shared: &Shared, status: u16, pieces: Pieces) -> Response<Pieces> {
    let mut builder = Response::builder().status(status);
    if shared.plan.is_draining() {
        builder = builder.header("upstream-state", "draining");
    }
    builder
        .body(pieces)
        .expect("the parts of the response are valid")
}

fn is_late(req: &Request<Incoming>) -> bool {
    let deadline = req.headers().get("mustardtiller-deadline");
    let deadline = deadline.and_then(|value| value.to_str().ok()?.parse::<u128>().ok());
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    deadline.is_some_and(|deadline| now.as_millis() > deadline + 1)
}

struct Query<'a> {
    delay_ms: Option<u64>,
    status: Option<u16>,
    seed: Option<u64>,
    cut: Option<&'a str>,
}

impl<'a> Query<'a> {
    fn read(text: &'a str) -> Self {
        let value = |name: &str| {
            let mut pairs = text.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        Self {
            delay_ms: value("delay_ms").and_then(|text| text.parse().ok()),
            status: value("status").and_then(|text| text.parse().ok()),
            seed: value("seed").and_then(|text| text.parse().ok()),
            cut: value("cut"),
        }
    }
}

/// The body of an answer.
struct Pieces {
    bytes: Bytes,
    cut: Option<Sender<()>>,
    exact: bool,
    _in_flight: Option<InFlight>,
}

impl Pieces {
    fn whole(bytes: Vec<u8>) -> Self {
        Self {
            bytes: Bytes::from(bytes),
            cut: None,
            exact: true,
            _in_flight: None,
        }
    }

    fn new(bytes: Vec<u8>, cut: Option<Sender<()>>, in_flight: InFlight) -> Self {
        let exact = bytes.len() <= WHOLE_BYTES || cut.is_some();
        Self {
            bytes: Bytes::from(bytes),
            cut,
            exact,
            _in_flight: Some(in_flight),
        }
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        if let Some(cut) = &this.cut
            && this.bytes.len() <= 1
        {
            let _ = cut.try_send(());
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if this.bytes.is_empty() {
            return Poll::Ready(None);
        }
        // A cut answer keeps its last byte back.
        let kept = usize::from(this.cut.is_some());
        let count = (this.bytes.len() - kept).min(PIECE_BYTES);
        let piece = this.bytes.split_to(count);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        if self.exact {
            SizeHint::with_exact(self.bytes.len() as u64)
        } else {
            SizeHint::default()
        }
    }
}
