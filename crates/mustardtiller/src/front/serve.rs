//! HTTP/1.1 connections from callers.

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

use super::answer::EntryRequestGuard;
use super::answer::outcome_response;
use super::answer::request_error_response;
use super::body::AnswerStream;
use super::refusal::refusal_response;
use super::request::TOKEN_HEADER;
use super::request::read_call;
use super::request::request_host;
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

/// Path of the token endpoint.
const TOKEN_PATH: &str = "/.well-known/mustardtiller/token";

/// Path of the endpoint that tells callers whether the entry is closing.
const READY_PATH: &str = "/.well-known/mustardtiller/ready";

/// Attempts to mint a token while a service has no link yet.
const MAX_MINT_ATTEMPTS: u32 = 50;

/// Pause between two attempts to mint a token, in milliseconds.
const MINT_RETRY_MS: u64 = 20;

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: u64 = 8_192;

/// Most headers of one request.
const MAX_HEADERS: usize = 100;

/// Accept connections from callers until the daemon drains.
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
                Event::AcceptFailed.log(format_args!("entry listener: {e}"));
                node.clock.sleep_millis(10).await;
            }
        }
    }
}

/// Guard that counts a caller's connection until its last byte is written.
struct ConnectionGuard(Arc<Node>);

impl ConnectionGuard {
    fn begin(node: &Arc<Node>) -> Self {
        node.metrics.caller_connections.inc();
        Self(Arc::clone(node))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.metrics.caller_connections.dec();
    }
}

async fn serve_caller(node: Arc<Node>, socket: TcpStream) {
    let _guard = ConnectionGuard::begin(&node);
    let _ = socket.set_nodelay(true);
    let service = service_fn(|req| {
        let node = Arc::clone(&node);
        async move { Ok::<_, Infallible>(respond(&node, req).await) }
    });
    let limits = connection_limits(&node);
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES) as usize);
    let mut connection = pin!(builder.serve_connection(FuturesIo::new(socket), service));
    let finished = async { Some(connection.as_mut().await) };
    let draining = async {
        node.board.phase.reached(Phase::Draining).await;
        None
    };
    if future::or(finished, draining).await.is_none() {
        // The connection closes once the request in flight is answered.
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Limits of a caller's connection.
#[derive(Clone, Copy, Debug)]
struct ConnectionLimits {
    /// Longest wait for a complete head, in milliseconds.
    ///
    /// Covers idle time too, since hyper has one timeout for both.
    head_timeout_ms: u64,
    /// Largest request head, in bytes.
    head_bytes: u64,
}

/// Return the limits of the configuration, or of the settings if it has none.
fn connection_limits(node: &Node) -> ConnectionLimits {
    let configuration = node.board.configuration.read();
    let limits = configuration.as_ref().as_ref().and_then(|c| c.fleet.limits);
    limits.map_or(
        ConnectionLimits {
            head_timeout_ms: node.settings.head_ms,
            head_bytes: node.settings.head_bytes,
        },
        |limits| ConnectionLimits {
            head_timeout_ms: limits.idle_ms.max(limits.head_ms),
            head_bytes: limits.head_bytes,
        },
    )
}

async fn respond(node: &Arc<Node>, req: Request<Incoming>) -> Response<AnswerStream> {
    let guard = EntryRequestGuard::begin(node);
    let closing = node.board.phase.read() >= Phase::Withdrawn;
    let mut response = match req.uri().path() {
        READY_PATH => ready_response(closing),
        TOKEN_PATH => token_response(node, &req).await,
        _ => Box::pin(call_response(node, req, guard)).await,
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
    guard: EntryRequestGuard,
) -> Response<AnswerStream> {
    let call = match read_call(node, req).await {
        Ok(call) => call,
        Err(error) => return request_error_response(node, error),
    };
    let service = service_for_host(node, &call.host);
    let outcome = dispatch(node, call).await;
    let token_service = service.as_ref().filter(|service| accepts_tokens(service));
    let token = token_service.and_then(|service| mint_token(node, service));
    let token = token.as_ref().map(TokenText::write);
    outcome_response(node, outcome, token.as_ref(), guard)
}

/// Report whether any kind of a service accepts tokens.
fn accepts_tokens(service: &ServiceRoutes) -> bool {
    let mut kinds = service.service.kinds.iter();
    kinds.any(|kind| kind.token != TokenRule::Ignored)
}

fn service_for_host(node: &Node, host: &str) -> Option<Arc<ServiceRoutes>> {
    node.board.routes.read().hosts.get(host).cloned()
}

fn ready_response(closing: bool) -> Response<AnswerStream> {
    let (status, text) = if closing {
        (503, "leaving\n")
    } else {
        (200, "ready\n")
    };
    text_response(status, text.to_owned())
}

async fn token_response(node: &Arc<Node>, req: &Request<Incoming>) -> Response<AnswerStream> {
    if req.method() != Method::GET {
        return text_response(405, "use GET\n".to_owned());
    }
    let host = match request_host(req) {
        Ok(host) => host,
        Err(error) => return request_error_response(node, error),
    };
    let Some(service) = service_for_host(node, &host) else {
        return not_run_response(node, NotRunReason::NoService);
    };
    node.ensure_links(&service);
    let Some(token) = wait_for_token(node, &service).await else {
        return not_run_response(node, NotRunReason::NoUpstream);
    };
    let text = TokenText::write(&token).to_string();
    let value = text
        .parse()
        .expect("base64url token text is a valid header value");
    let mut response = text_response(200, format!("{text}\n"));
    response.headers_mut().insert(TOKEN_HEADER, value);
    response
}

/// Mint a token, waiting up to a second for the service's first link.
async fn wait_for_token(
    node: &Arc<Node>,
    service: &ServiceRoutes,
) -> Option<mustardtiller_core::Token> {
    for _ in 0..MAX_MINT_ATTEMPTS {
        if let Some(token) = mint_token(node, service) {
            return Some(token);
        }
        node.clock.sleep_millis(MINT_RETRY_MS).await;
    }
    None
}

fn not_run_response(node: &Node, reason: NotRunReason) -> Response<AnswerStream> {
    let refusal = Attempt::begin().refuse(reason).into();
    node.metrics.count_refusal(refusal);
    refusal_response(node, refusal)
}

fn text_response(status: u16, text: String) -> Response<AnswerStream> {
    Response::builder()
        .status(status)
        .header("content-type", "text/plain")
        .body(AnswerStream::Buffered(Bytes::from(text)))
        .expect("the status and headers of the response are valid")
}
