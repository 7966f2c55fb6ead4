//! HTTP requests to calls.
//!
//! The library refuses lengths that conflict, and lets a transfer encoding
//! override a length and strip it (RFC 9112, section 6.3).

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::HOST;

use super::body::CallerBody;
use crate::daemon::Node;
use crate::entry::Call;
use crate::entry::CallBody;
use crate::entry::TokenText;
use crate::upstream::DEADLINE_HEADER;
use crate::upstream::DEPTH_HEADER;
use crate::upstream::RETRIED_HEADER;
use crate::upstream::end_to_end;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Token;

/// Time that a caller gives a request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "mustardtiller-timeout-ms";

/// Names the caller.
pub const CALLER_HEADER: &str = "mustardtiller-caller";

/// Carries a token.
pub const TOKEN_HEADER: &str = "mustardtiller-token";

/// Starts the names of headers that are between callers, daemons and upstreams.
const OWN_PREFIX: &str = "mustardtiller-";

/// Why a request is no call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BadCall {
    /// The reason told to the caller.
    pub reason: NotRunReason,
    /// What is wrong.
    pub wrong: &'static str,
}

const fn bad(wrong: &'static str) -> BadCall {
    BadCall {
        reason: NotRunReason::BadRequest,
        wrong,
    }
}

/// Return the host that a request names, in lower case and without port.
pub fn host_of(req: &Request<Incoming>) -> Result<String, BadCall> {
    let mut hosts = req.headers().get_all(HOST).iter();
    let named = hosts.next();
    if hosts.next().is_some() {
        return Err(bad("more than one Host"));
    }
    let host = match req.uri().host() {
        Some(host) => host,
        None => named
            .and_then(|host| host.to_str().ok())
            .ok_or(bad("no Host"))?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.to_ascii_lowercase())
}

/// Turn a request into a call.
///
/// # Errors
///
/// Returns what is wrong; then nothing was sent anywhere.
pub async fn read_call(node: &Node, req: Request<Incoming>) -> Result<Call, BadCall> {
    let host = host_of(&req)?;
    let headers = req.headers();
    if req.method() == Method::CONNECT || headers.contains_key(hyper::header::UPGRADE) {
        return Err(bad("no tunnels or upgrades"));
    }
    let deadline = deadline_of(node, headers)?;
    let token = token_of(headers)?;
    let caller = text_of(headers, CALLER_HEADER)?
        .unwrap_or("other")
        .to_owned();
    let depth = number_of(headers, DEPTH_HEADER)?.unwrap_or(0);
    let depth = u8::try_from(depth).map_err(|_| bad("depth out of range"))?;
    let outer_retry = headers.contains_key(RETRIED_HEADER);
    let uri = req
        .uri()
        .path_and_query()
        .map_or("/", |uri| uri.as_str())
        .to_owned();
    let method = req.method().as_str().to_owned();
    let mut sent = end_to_end(headers);
    sent.retain(|header| !header.name.starts_with(OWN_PREFIX));
    let streamed = is_streamed(node, &host, &method, req.uri().path());
    let body = read_body(node, req.into_body(), streamed).await?;
    Ok(Call {
        host,
        method,
        uri,
        headers: sent,
        caller,
        deadline,
        token,
        depth,
        outer_retry,
        body,
    })
}

/// Report whether the request is of a kind whose body is streamed.
fn is_streamed(node: &Node, host: &str, method: &str, path: &str) -> bool {
    let routes = node.board.routes.read();
    let kind = routes
        .hosts
        .get(host)
        .and_then(|service| service.kind_of(method, path));
    kind.is_some_and(|kind| kind.upload)
}

async fn read_body(node: &Node, body: Incoming, streamed: bool) -> Result<CallBody, BadCall> {
    let length = body.size_hint().exact();
    if length == Some(0) {
        return Ok(CallBody::Whole(Bytes::new()));
    }
    if streamed {
        let limit = node.settings.streamed_body_bytes;
        if length.is_some_and(|length| length > limit) {
            return Err(bad("body too large"));
        }
        let source = Box::new(CallerBody::new(body, node.settings.piece_ms, limit));
        return Ok(CallBody::Streamed { length, source });
    }
    let limit = node.settings.held_body_bytes;
    if length.is_some_and(|length| length > limit) {
        return Err(bad("body too large"));
    }
    let deadline = Deadline::in_millis(node.clock.now(), node.settings.piece_ms);
    let reading = Limited::new(body, limit as usize).collect();
    match node.clock.within(deadline, reading).await {
        Some(Ok(body)) => Ok(CallBody::Whole(body.to_bytes())),
        Some(Err(_)) => Err(bad("body cut or too large")),
        None => Err(bad("body too slow")),
    }
}

/// Return the deadline that the request brings.
///
/// An absolute deadline comes from an upstream on this host, whose wall clock
/// is ours; callers elsewhere say how long they wait.
fn deadline_of(node: &Node, headers: &HeaderMap) -> Result<Option<Deadline>, BadCall> {
    let now = node.clock.now();
    let timeout = number_of(headers, TIMEOUT_HEADER)?;
    let timeout = timeout.map(|millis| Deadline::in_millis(now, millis));
    let absolute = number_of(headers, DEADLINE_HEADER)?.map(|unix_ms| {
        let unix_now = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        Deadline::in_millis(now, unix_ms.saturating_sub(unix_now))
    });
    Ok(match (timeout, absolute) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    })
}

fn token_of(headers: &HeaderMap) -> Result<Option<Token>, BadCall> {
    let Some(text) = text_of(headers, TOKEN_HEADER)? else {
        return Ok(None);
    };
    let wrong = BadCall {
        reason: NotRunReason::BadToken,
        wrong: "the token is malformed",
    };
    TokenText::read(text).map(Some).ok_or(wrong)
}

fn number_of(headers: &HeaderMap, name: &str) -> Result<Option<u64>, BadCall> {
    let text = text_of(headers, name)?;
    let number = text.map(str::parse).transpose();
    number.map_err(|_| bad("a header is no number"))
}

/// Return the value of a header that may stand once.
fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, BadCall> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(bad("a header is given twice"));
    }
    let text = first.map(|value| value.to_str()).transpose();
    text.map_err(|_| bad("a header is no text"))
}
