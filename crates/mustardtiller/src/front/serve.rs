//! Connections from callers.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::future;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use super::answer::InService;
use super::answer::bad_call_response;
use super::answer::outcome_response;
use super::body::AnswerStream;
use super::refusal::refusal_response;
use super::request::TOKEN_HEADER;
use super::request::host_of;
use super::request::read_call;
use crate::board::Phase;
use crate::board::ServiceRoutes;
use crate::daemon::Node;
use crate::entry::TokenText;
use crate::entry::dispatch;
use crate::entry::mint_token;
use crate::events::Event;
use mustardtiller_config::TokenRule;
use mustardtiller_core::Attempt;
use mustardtiller_core::NotRunReason;

/// Where callers get a token.
const TOKEN_PATH: &str = "/.well-known/mustardtiller/token";

/// Where callers ask whether the entry stays.
const READY_PATH: &str = "/.well-known/mustardtiller/ready";

/// Tries at a token while the first link of a service is made.
const TOKEN_TRIES: u32 = 50;

/// Time between two tries at a token, in milliseconds.
const TOKEN_PAUSE_MS: u64 = 20;

/// Least room for a head that the library takes, in bytes.
const LEAST_HEAD_BYTES: u64 = 8_192;

/// Headers that a request may have.
const MAX_HEADERS: usize = 100;

/// Accept callers until the daemon drains.
pub async fn serve_callers(node: Arc<Node>, listener: TcpListener) {
    loop {
        let stopped = async {
            node.board.phase.reached(Phase::Draining).await;
            None
        };
        let accepted = async { Some(listener.accept().await) };
        match future::or(stopped, accepted).await {
            None => return,
            Some(Ok((socket, _))) => {
                let serving = serve_caller(Arc::clone(&node), socket);
                node.spawn(serving);
            }
            Some(Err(e)) => {
                Event::AcceptFailed.log(format_args!("entry: {e}"));
                node.clock.sleep_millis(10).await;
            }
        }
    }
}

/// A caller's connection, counted until the last byte to it has been written.
struct Connected(Arc<Node>);

impl Connected {
    fn begin(node: &Arc<Node>) -> Self {
        node.metrics.caller_connections.inc();
        Self(Arc::clone(node))
    }
}

impl Drop for Connected {
    fn drop(&mut self) {
        self.0.metrics.caller_connections.dec();
    }
}

async fn serve_caller(node: Arc<Node>, socket: TcpStream) {
    let _connected = Connected::begin(&node);
    let _ = socket.set_nodelay(true);
    let service = service_fn(|req| {
        let node = Arc::clone(&node);
        async move { Ok::<_, Infallible>(respond(&node, req).await) }
    });
    let bounds = caller_bounds(&node);
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(bounds.wait_ms))
        .max_headers(MAX_HEADERS)
        .max_buf_size(bounds.head_bytes.max(LEAST_HEAD_BYTES) as usize);
    let mut connection = pin!(builder.serve_connection(FuturesIo::new(socket), service));
    let ended = async { Some(connection.as_mut().await) };
    let draining = async {
        node.board.phase.reached(Phase::Draining).await;
        None
    };
    if future::or(ended, draining).await.is_none() {
        // The request in flight is answered; then the connection closes.
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// What a caller's connection may do.
#[derive(Clone, Copy, Debug)]
struct CallerBounds {
    /// Time without a whole head, idle or not, in milliseconds: the library has one for both.
    wait_ms: u64,
    /// Largest head of a request, in bytes.
    head_bytes: u64,
}

/// Return the bounds of the configuration, or of the settings if it has none.
fn caller_bounds(node: &Node) -> CallerBounds {
    let configuration = node.board.configuration.read();
    let limits = configuration.as_ref().as_ref().and_then(|c| c.fleet.limits);
    limits.map_or(
        CallerBounds {
            wait_ms: node.settings.head_ms,
            head_bytes: node.settings.head_bytes,
        },
        |limits| CallerBounds {
            wait_ms: limits.idle_ms.max(limits.head_ms),
            head_bytes: limits.head_bytes,
        },
    )
}

async fn respond(node: &Arc<Node>, req: Request<Incoming>) -> Response<AnswerStream> {
    let done = InService::begin(node);
    let closing = node.board.phase.read() >= Phase::Withdrawn;
    let mut response = match req.uri().path() {
        READY_PATH => ready_response(closing),
        TOKEN_PATH => token_response(node, &req).await,
        _ => Box::pin(call_response(node, req, done)).await,
    };
    if closing {
        let close = hyper::header::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(hyper::header::CONNECTION, close);
    }
    response
}

async fn call_response(
    node: &Arc<Node>,
    req: Request<Incoming>,
    done: InService,
) -> Response<AnswerStream> {
    let call = match read_call(node, req).await {
        Ok(call) => call,
        Err(bad) => return bad_call_response(node, bad),
    };
    let service = service_of(node, &call.host);
    let outcome = dispatch(node, call).await;
    let next = service.as_ref().filter(|service| takes_tokens(service));
    let token = next.and_then(|service| mint_token(node, service));
    let token = token.as_ref().map(TokenText::write);
    outcome_response(node, outcome, token.as_ref(), done)
}

/// Report whether any kind of a service takes tokens.
fn takes_tokens(service: &ServiceRoutes) -> bool {
    let mut kinds = service.service.kinds.iter();
    kinds.any(|kind| kind.token != TokenRule::Ignored)
}

fn service_of(node: &Node, host: &str) -> Option<Arc<ServiceRoutes>> {
    node.board.routes.read().hosts.get(host).cloned()
}

fn ready_response(closing: bool) -> Response<AnswerStream> {
    let (status, text) = if closing {
        (503, "leaving\n")
    } else {
        (200, "ready\n")
    };
    plain(status, text.to_owned())
}

async fn token_response(node: &Arc<Node>, req: &Request<Incoming>) -> Response<AnswerStream> {
    if req.method() != Method::GET {
        return plain(405, "use GET\n".to_owned());
    }
    let host = match host_of(req) {
        Ok(host) => host,
        Err(bad) => return bad_call_response(node, bad),
    };
    let Some(service) = service_of(node, &host) else {
        return refused(node, NotRunReason::NoService);
    };
    node.ensure_links(&service);
    let Some(token) = wait_for_token(node, &service).await else {
        return refused(node, NotRunReason::NoUpstream);
    };
    let text = TokenText::write(&token).to_string();
    let value = text.parse().expect("the text of a token is a header value");
    let mut response = plain(200, format!("{text}\n"));
    response.headers_mut().insert(TOKEN_HEADER, value);
    response
}

/// Mint a token, waiting a little for the first link of the service.
async fn wait_for_token(
    node: &Arc<Node>,
    service: &ServiceRoutes,
) -> Option<mustardtiller_core::Token> {
    for _ in 0..TOKEN_TRIES {
        if let Some(token) = mint_token(node, service) {
            return Some(token);
        }
        node.clock.sleep_millis(TOKEN_PAUSE_MS).await;
    }
    None
}

fn refused(node: &Node, reason: NotRunReason) -> Response<AnswerStream> {
    let refusal = Attempt::begin().refuse(reason).into();
    node.metrics.count_refusal(refusal);
    refusal_response(node, refusal)
}

fn plain(status: u16, text: String) -> Response<AnswerStream> {
    Response::builder()
        .status(status)
        .header("content-type", "text/plain")
        .body(AnswerStream::Buffered(Bytes::from(text)))
        .expect("the parts of the response are valid")
}
