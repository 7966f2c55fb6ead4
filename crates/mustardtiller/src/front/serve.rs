//! HTTP/1.1 connections from callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::ALLOW;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use smol::future;
use smol::net::TcpListener;
use smol::net::TcpStream;

use super::answer::EntryRequestGuard;
use super::answer::RequestTrace;
use super::answer::has_token;
use super::answer::outcome_response;
use super::answer::request_error_response;
use super::body::AnswerStream;
use super::body::CallerAnswer;
use super::caller_http::CallerHttp;
use super::caller_http::CallerService;
use super::caller_http::HttpEnd;
use super::closing::FIRST_REQUEST_MS;
use super::closing::finish;
use super::closing::has_unread_bytes;
use super::connections::CallerConnections;
use super::connections::Owed;
use super::connections::OwedGuard;
use super::connections::Room;
use super::linger::linger;
use super::refusal::refusal_response;
use super::request::TOKEN_HEADER;
use super::request::read_call;
use super::request::request_host;
use super::socket::CallerSocket;
use crate::board::CallerConnection;
use crate::board::Phase;
use crate::board::ServiceRoutes;
use crate::daemon::Node;
use crate::entry::TokenText;
use crate::entry::dispatch;
use crate::entry::mint_token;
use crate::entry::refuse_unsent;
use crate::metrics::CounterId;
use mustardtiller_config::TokenRule;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Refusal;

/// Path of the token endpoint.
const TOKEN_PATH: &str = "/.well-known/mustardtiller/token";

/// Path of the endpoint that tells callers whether the entry is closing.
const READY_PATH: &str = "/.well-known/mustardtiller/ready";

/// Attempts to mint a token while a service has no link yet.
const MAX_MINT_ATTEMPTS: u32 = 50;

/// Pause between two attempts to mint a token, in milliseconds.
const MINT_RETRY_MS: u64 = 20;

/// Accept connections from callers until the entry closes.
///
/// While the daemon drains, new connections get one refusal each. The kernel accepts
/// them before the daemon does, so closing the listener earlier would cut their
/// requests.
pub async fn serve_callers(node: Arc<Node>, listener: TcpListener) {
    let mut connections = CallerConnections::new(&node);
    let _backlog = OwedGuard::begin(&node, Owed::Close);
    loop {
        let stopped = async {
            node.board.phase.reached(Phase::Closing).await;
            None
        };
        let accepted = async { Some(listener.accept().await) };
        match future::or(stopped, accepted).await {
            None => break,
            Some(Ok((socket, _))) => spawn_caller(&node, &mut connections, socket),
            Some(Err(e)) => connections.recover(&e).await,
        }
    }
    // What the kernel has accepted so far is answered. It resets what it accepts between
    // the last look and the close, which therefore follow each other at once.
    while let Some(accepted) = future::poll_once(listener.accept()).await {
        match accepted {
            Ok((socket, _)) => spawn_caller(&node, &mut connections, socket),
            Err(e) => connections.recover(&e).await,
        }
    }
    drop(listener);
}

fn spawn_caller(node: &Arc<Node>, connections: &mut CallerConnections, socket: TcpStream) {
    node.metrics.count(CounterId::CallersAccepted);
    let admission = match connections.make_room() {
        _ if node.board.phase.read() >= Phase::Draining => {
            CallAdmission::Refuse(NotRunReason::Leaving)
        }
        Room::Free => CallAdmission::Serve,
        Room::Full => CallAdmission::Refuse(NotRunReason::EntryFull),
        Room::Exhausted => return,
    };
    let connection = connections.add();
    // Counted before its task runs, so that a stop can't end between the two.
    let owed = match admission {
        CallAdmission::Serve => OwedGuard::begin(node, Owed::Answers),
        CallAdmission::Refuse(_) => {
            connection.dismiss();
            OwedGuard::begin(node, Owed::Close)
        }
    };
    let serving = serve_caller(Arc::clone(node), socket, connection, admission, owed);
    node.spawn(serving);
}

/// Marks a connection as ended on drop.
struct EndGuard(Arc<CallerConnection>);

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.0.end();
    }
}

async fn serve_caller(
    node: Arc<Node>,
    socket: TcpStream,
    caller: Arc<CallerConnection>,
    admission: CallAdmission,
    owed: OwedGuard,
) {
    let _end = EndGuard(Arc::clone(&caller));
    let _ = socket.set_nodelay(true);
    let peeked = socket.clone();
    let io = CallerSocket::new(
        socket,
        Arc::clone(&caller),
        node.clock,
        node.settings.answer_ms,
    );
    let body_length = io.body_length();
    let service = service_fn(|req: Request<Incoming>| {
        body_length.set(req.body().size_hint().exact());
        caller.begin_request(!req.body().is_end_stream());
        let (node, caller) = (Arc::clone(&node), Arc::clone(&caller));
        async move {
            let response = respond(&node, &caller, req, admission).await;
            caller.begin_answer();
            let clock = node.clock;
            Ok::<_, Infallible>(response.map(|body| CallerAnswer::new(body, caller, clock)))
        }
    });
    let connection = CallerHttp::new(Arc::clone(&node), Arc::clone(&caller), io, service);
    let end = serve_requests(&node, &caller, &peeked, pin!(connection)).await;
    // Otherwise the caller has sent nothing that was not read.
    let may_send = end == HttpEnd::HeadRejected || !caller.awaits_head();
    if may_send || has_unread_bytes(&peeked).await {
        let _close = OwedGuard::begin(&node, Owed::Close);
        drop(owed);
        linger(&node, &caller, peeked).await;
    }
}

/// Serve the requests on a connection until it ends or closes.
async fn serve_requests(
    node: &Node,
    caller: &CallerConnection,
    peeked: &TcpStream,
    mut connection: Pin<&mut CallerHttp<impl CallerService>>,
) -> HttpEnd {
    let finished = async { Some(connection.as_mut().await) };
    let draining = node.board.phase.reached(Phase::Draining);
    let closing = async {
        future::or(draining, caller.dismissed()).await;
        None
    };
    if let Some(end) = future::or(finished, closing).await {
        return end;
    }
    // An idle connection would be closed at once, and cut a request that is on its way.
    // The answer to that request closes the connection.
    let is_new = caller.requests() == 0;
    if is_new || has_unread_bytes(peeked).await {
        let limit = Deadline::in_millis(node.clock.now(), FIRST_REQUEST_MS);
        let served = node.clock.within(limit, connection.as_mut()).await;
        if let Some(end) = served {
            return end;
        }
    }
    // The connection closes once the request in flight is answered.
    connection.as_mut().graceful_shutdown();
    finish(node, caller, connection).await
}

/// What a connection's requests get.
#[derive(Clone, Copy, Debug)]
enum CallAdmission {
    /// They are served.
    Serve,
    /// They are refused: the daemon drains, or its entry is full.
    Refuse(NotRunReason),
}

async fn respond(
    node: &Arc<Node>,
    caller: &Arc<CallerConnection>,
    req: Request<Incoming>,
    admission: CallAdmission,
) -> Response<AnswerStream> {
    let guard = EntryRequestGuard::begin(node);
    let closing = node.board.phase.read() >= Phase::Withdrawn;
    if let CallAdmission::Refuse(reason) = admission {
        let refusal = refuse_unsent(has_token(node, req.headers()), reason);
        return closing_response(refused_response(node, refusal));
    }
    let path = Some(req.uri().path()).filter(|_| node.dialect.has_own_interface);
    let response = match path {
        Some(READY_PATH) => ready_response(closing),
        Some(TOKEN_PATH) => token_response(node, &req).await,
        _ => Box::pin(call_response(node, caller, req, guard)).await,
    };
    if closing {
        closing_response(response)
    } else {
        response
    }
}

/// Announce that the connection closes after a response.
fn closing_response(mut response: Response<AnswerStream>) -> Response<AnswerStream> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

async fn call_response(
    node: &Arc<Node>,
    caller: &Arc<CallerConnection>,
    req: Request<Incoming>,
    guard: EntryRequestGuard,
) -> Response<AnswerStream> {
    let trace = RequestTrace::begin(node, req.headers());
    let call = match read_call(node, caller, req).await {
        Ok(call) => call,
        Err(error) if error.closes_connection() => {
            return closing_response(request_error_response(node, &trace, error));
        }
        Err(error) => return request_error_response(node, &trace, error),
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
        let mut response = text_response(405, "use GET\n".to_owned());
        let allowed = HeaderValue::from_static("GET");
        response.headers_mut().insert(ALLOW, allowed);
        return response;
    }
    let host = match request_host(req) {
        Ok(host) => host,
        Err(error) => {
            let trace = RequestTrace::begin(node, req.headers());
            return request_error_response(node, &trace, error);
        }
    };
    let routes = node.board.routes.share();
    let Some(service) = routes.hosts.get(&*host) else {
        let now = node.clock.now();
        let reason = node
            .board
            .refuse_miss(&routes, NotRunReason::NoService, now);
        return refused_response(node, refuse_unsent(false, reason));
    };
    node.ensure_links(service);
    let Some(token) = wait_for_token(node, service).await else {
        return refused_response(node, refuse_unsent(false, NotRunReason::NoUpstream));
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

fn refused_response(node: &Node, refusal: Refusal) -> Response<AnswerStream> {
    node.metrics.count_refusal(refusal);
    refusal_response(node, refusal, None)
}

fn text_response(status: u16, text: String) -> Response<AnswerStream> {
    Response::builder()
        .status(status)
        .header("content-type", "text/plain")
        .body(AnswerStream::Buffered(Bytes::from(text)))
        .expect("the status and headers of the response are valid")
}
