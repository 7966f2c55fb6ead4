//! The HTTP server of the stand-in upstream.
//!
//! - `/load` reports the state and the number of requests in flight.
//! - `/bytes/N?seed=S` answers N bytes of content.
//! - `/order` counts a run of the key in `x-key`.
//! - `/upload` stores the body under `x-key` once it is complete.
//! - `/sink` reads and discards the body.
//! - Any other path is echoed, as are orders and uploads without a key.
//!
//! The query can set `delay_ms=N` and `status=N`, or `cut=head|body` to close
//! the connection before the head or within the body of the answer.

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

/// Largest header of those that fill an answer's head, in bytes.
const FILLER_BYTES: usize = 8 * 1024;

/// Interval between checks whether the upstream is still frozen, in milliseconds.
const FROZEN_POLL_MS: u64 = 5;

/// Header that numbers requests; an answer that repeats it keeps its connection.
const EXCHANGE_HEADER: &str = "mustardtiller-exchange";

/// Largest chunk of an answer's body, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Longest body sent with a content length, in bytes.
///
/// Longer ones are sent chunked, unless they are to be cut.
const MAX_SIZED_BYTES: usize = 8 * 1024;

/// A running stand-in upstream; closes its listener and every connection on drop.
pub struct StandinUpstream {
    address: SocketAddr,
    plan: Arc<UpstreamPlan>,
    record: Arc<UpstreamRecord>,
    task: Option<Task<()>>,
}

impl StandinUpstream {
    /// Serve at `address`, running at most `slots` requests at once.
    ///
    /// # Panics
    ///
    /// Panics if the address is in use.
    #[must_use]
    pub fn start(
        runner: &Runner,
        address: SocketAddr,
        slots: usize,
        plan: Arc<UpstreamPlan>,
        record: Arc<UpstreamRecord>,
    ) -> Self {
        let listener =
            smol::block_on(TcpListener::bind(address)).expect("the address can be bound");
        let shared = Shared {
            address,
            plan: Arc::clone(&plan),
            record: Arc::clone(&record),
            slots: Arc::new(Semaphore::new(slots)),
        };
        let task = serve(listener, shared, Arc::clone(runner.executor()));
        Self {
            address,
            plan,
            record,
            task: Some(runner.spawn_task(task)),
        }
    }

    /// Return the address that it serves at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Return its plan, to change its behaviour.
    #[must_use]
    pub fn plan(&self) -> &UpstreamPlan {
        &self.plan
    }

    /// Return the record of the requests that it received.
    #[must_use]
    pub fn record(&self) -> &UpstreamRecord {
        &self.record
    }

    /// Stop at once and cut every connection.
    pub fn kill(&mut self) {
        if let Some(task) = self.task.take() {
            smol::block_on(task.cancel());
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
        let task = serve_connection(socket, shared.clone());
        connections.push(executor.spawn(task));
    }
}

async fn serve_connection(socket: TcpStream, shared: Shared) {
    let _ = socket.set_nodelay(true);
    let handle = socket.clone();
    let (cut_tx, cut_rx) = bounded::<()>(1);
    let max_fields = shared.plan.max_fields();
    let service = service_fn(move |req| {
        let (shared, cut_tx) = (shared.clone(), cut_tx.clone());
        async move { Ok::<_, Infallible>(answer(&shared, req, &cut_tx).await) }
    });
    let io = FuturesIo::new(socket);
    let mut builder = http1::Builder::new();
    builder.max_headers(max_fields);
    let connection = async {
        let _ = builder.serve_connection(io, service).await;
    };
    let cut = async {
        if cut_rx.recv().await.is_err() {
            future::pending::<()>().await;
        }
    };
    future::or(connection, cut).await;
    let _ = handle.shutdown(std::net::Shutdown::Both);
}

/// Counts a request as in flight until dropped.
struct InFlight(Arc<UpstreamRecord>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.request_ended();
    }
}

/// Answer a request, and repeat its exchange header.
async fn answer(shared: &Shared, req: Request<Incoming>, cut: &Sender<()>) -> Response<AnswerBody> {
    let exchange = req.headers().get(EXCHANGE_HEADER).cloned();
    let mut response = answer_unmarked(shared, req, cut).await;
    if let Some(exchange) = exchange {
        response.headers_mut().insert(EXCHANGE_HEADER, exchange);
    }
    response
}

async fn answer_unmarked(
    shared: &Shared,
    req: Request<Incoming>,
    cut: &Sender<()>,
) -> Response<AnswerBody> {
    if req.uri().path() == "/load" {
        while shared.plan.is_frozen() {
            Timer::after(Duration::from_millis(FROZEN_POLL_MS)).await;
        }
        shared.record.count_measurement(shared.address);
        let (state, in_flight) = (shared.plan.state(), shared.record.in_flight());
        let text = format!("state={state} in_flight={in_flight}\n");
        return respond(shared, 200, AnswerBody::full(text.into_bytes()));
    }
    shared.record.request_started();
    let in_flight = InFlight(Arc::clone(&shared.record));
    if shared.plan.is_frozen() {
        future::pending::<()>().await;
    }
    if is_late(&req) {
        shared.record.count_late();
    }
    if shared.plan.is_failing() {
        return respond(shared, 503, AnswerBody::full(b"failing\n".to_vec()));
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
    let body = AnswerBody::new(bytes, cut_body.then(|| cut.clone()), in_flight);
    let mut response = respond(shared, query.status.unwrap_or(status), body);
    for start in (0..query.head).step_by(FILLER_BYTES) {
        let filler = "x".repeat(FILLER_BYTES.min(query.head - start));
        let value = filler.parse().expect("the filler is a valid header value");
        response.headers_mut().append("x-filler", value);
    }
    response
}

/// Run a request and count its key.
///
/// An order is counted before its body is read, an upload once its body is
/// complete.
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

fn respond(shared: &Shared, status: u16, body: AnswerBody) -> Response<AnswerBody> {
    let mut builder = Response::builder().status(status);
    if shared.plan.is_draining() {
        builder = builder.header("upstream-state", "draining");
    }
    builder
        .body(body)
        .expect("the status and headers are valid")
}

/// Report whether the request's deadline has passed, with 1 ms of tolerance.
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
    /// Bytes of headers that the answer has in addition.
    head: usize,
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
            head: value("head")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
        }
    }
}

/// The body of an answer, optionally cut before its last byte.
struct AnswerBody {
    bytes: Bytes,
    /// Closes the connection once all but the last byte is sent.
    cut: Option<Sender<()>>,
    /// Whether the body is sent with a content length rather than chunked.
    sized: bool,
    _in_flight: Option<InFlight>,
}

impl AnswerBody {
    fn full(bytes: Vec<u8>) -> Self {
        Self {
            bytes: Bytes::from(bytes),
            cut: None,
            sized: true,
            _in_flight: None,
        }
    }

    fn new(bytes: Vec<u8>, cut: Option<Sender<()>>, in_flight: InFlight) -> Self {
        let sized = bytes.len() <= MAX_SIZED_BYTES || cut.is_some();
        Self {
            bytes: Bytes::from(bytes),
            cut,
            sized,
            _in_flight: Some(in_flight),
        }
    }
}

impl Body for AnswerBody {
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
        // A body that is to be cut never gets its last byte.
        let withheld = usize::from(this.cut.is_some());
        let count = (this.bytes.len() - withheld).min(CHUNK_BYTES);
        let chunk = this.bytes.split_to(count);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        if self.sized {
            SizeHint::with_exact(self.bytes.len() as u64)
        } else {
            SizeHint::default()
        }
    }
}
