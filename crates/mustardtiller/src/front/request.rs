//! Conversion of HTTP requests to calls.
//!
//! Hyper rejects conflicting `Content-Length` headers. A `Transfer-Encoding` overrides
//! and removes a `Content-Length` (RFC 9112, section 6.3).

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
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
use crate::http::DeadlineForm;
use crate::upstream::DEPTH_HEADER;
use crate::upstream::RETRIED_HEADER;
use crate::upstream::end_to_end_headers;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Token;

/// Header with a token.
pub const TOKEN_HEADER: &str = "mustardtiller-token";

/// Prefix of headers between callers, daemons and upstreams, which are not forwarded.
const INTERNAL_HEADER_PREFIX: &str = "mustardtiller-";

/// Reason why a request can't be converted to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestError {
    /// Reason reported to the caller.
    pub reason: NotRunReason,
    /// Detail for the log.
    pub detail: &'static str,
}

const fn bad_request(detail: &'static str) -> RequestError {
    RequestError {
        reason: NotRunReason::BadRequest,
        detail,
    }
}

/// Return the host of a request, in lower case and without port.
pub fn request_host(req: &Request<Incoming>) -> Result<String, RequestError> {
    let mut hosts = req.headers().get_all(HOST).iter();
    let host_header = hosts.next();
    if hosts.next().is_some() {
        return Err(bad_request("more than one Host"));
    }
    let host = match req.uri().host() {
        Some(host) => host,
        None => host_header
            .and_then(|host| host.to_str().ok())
            .ok_or(bad_request("no Host"))?,
    };
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.to_ascii_lowercase())
}

/// Convert a request to a call.
///
/// # Errors
///
/// Returns why the request is rejected; nothing of it was sent anywhere.
pub async fn read_call(node: &Node, req: Request<Incoming>) -> Result<Call, RequestError> {
    let received_at = node.clock.now();
    let from_idle_host = node.board.gate.in_flight() == 0;
    let host = request_host(&req)?;
    let headers = req.headers();
    if req.method() == Method::CONNECT || headers.contains_key(hyper::header::UPGRADE) {
        return Err(bad_request("no tunnels or upgrades"));
    }
    let deadline = request_deadline(node, headers)?;
    let token = request_token(headers)?;
    let caller = match &node.settings.caller {
        Some(caller) => caller.clone(),
        None => header_text(headers, node.dialect.caller)?
            .unwrap_or("other")
            .to_owned(),
    };
    let depth = header_number(headers, DEPTH_HEADER)?.unwrap_or(0);
    let depth = u8::try_from(depth).map_err(|_| bad_request("depth out of range"))?;
    let outer_retry = headers.contains_key(RETRIED_HEADER);
    let uri = req
        .uri()
        .path_and_query()
        .map_or("/", |uri| uri.as_str())
        .to_owned();
    let method = req.method().as_str().to_owned();
    let mut forwarded = end_to_end_headers(headers);
    forwarded.retain(|header| {
        !header.name.starts_with(INTERNAL_HEADER_PREFIX) && !node.dialect.overwrites(&header.name)
    });
    let rule = body_rule(node, &host, &method, req.uri().path());
    let body_deadline = Deadline::in_millis(received_at, node.settings.piece_ms);
    let body_deadline = deadline.map_or(body_deadline, |deadline| deadline.min(body_deadline));
    let body = read_body(node, req.into_body(), rule, body_deadline).await?;
    Ok(Call {
        host,
        method,
        uri,
        headers: forwarded,
        caller,
        received_at,
        deadline,
        token,
        depth,
        outer_retry,
        from_idle_host,
        body,
    })
}

/// How a request body is read.
#[derive(Clone, Copy, Debug)]
struct BodyRule {
    /// Whether even a short body is streamed.
    streamed: bool,
    /// Largest body that is held in memory, in bytes; longer ones are streamed.
    buffer_limit_bytes: u64,
    /// Largest accepted body, in bytes.
    max_bytes: u64,
}

/// Return how a request body is read.
///
/// Without a configuration the limit is unknown, so no body is too large.
fn body_rule(node: &Node, host: &str, method: &str, path: &str) -> BodyRule {
    let configuration = node.board.configuration.read();
    let Some(configuration) = configuration.as_ref().as_ref() else {
        return BodyRule {
            streamed: false,
            buffer_limit_bytes: node.settings.held_body_bytes,
            max_bytes: u64::MAX,
        };
    };
    let kind = node.board.routes.read().kind_of(host, method, path);
    let upload = kind.is_some_and(|kind| kind.upload);
    let settings = &node.settings;
    match configuration.fleet.limits {
        Some(limits) => BodyRule {
            streamed: false,
            buffer_limit_bytes: settings.held_body_bytes.min(limits.body_bytes),
            max_bytes: limits.body_bytes,
        },
        None if upload => BodyRule {
            streamed: true,
            buffer_limit_bytes: 0,
            max_bytes: settings.streamed_body_bytes,
        },
        None => BodyRule {
            streamed: false,
            buffer_limit_bytes: settings.held_body_bytes,
            max_bytes: settings.held_body_bytes,
        },
    }
}

/// Read a short body into memory, or prepare a long one for streaming.
async fn read_body(
    node: &Node,
    body: Incoming,
    rule: BodyRule,
    deadline: Deadline,
) -> Result<CallBody, RequestError> {
    let length = body.size_hint().exact();
    if length == Some(0) {
        return Ok(CallBody::Buffered(Bytes::new()));
    }
    if length.is_some_and(|length| length > rule.max_bytes) {
        return Err(RequestError {
            reason: NotRunReason::BodyTooLarge,
            detail: "body too large",
        });
    }
    let chunk_timeout_ms = node.settings.piece_ms;
    if rule.streamed || length.is_some_and(|length| length > rule.buffer_limit_bytes) {
        let source = Box::new(CallerBody::new(body, chunk_timeout_ms, rule.max_bytes));
        return Ok(CallBody::Streamed { length, source });
    }
    let reading = read_chunks(body, rule, chunk_timeout_ms);
    match node.clock.within(deadline, reading).await {
        Some(read) => read,
        None => Err(RequestError {
            reason: NotRunReason::BodyCut,
            detail: "body too slow",
        }),
    }
}

/// Read a body into memory until it ends or exceeds the buffer limit.
///
/// Over the buffer limit, the chunks read so far become the start of a streamed body.
async fn read_chunks(
    mut body: Incoming,
    rule: BodyRule,
    chunk_timeout_ms: u64,
) -> Result<CallBody, RequestError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RequestError {
            reason: NotRunReason::BodyCut,
            detail: "body cut",
        })?;
        if let Ok(chunk) = frame.into_data() {
            bytes.extend_from_slice(&chunk);
        }
        if bytes.len() as u64 > rule.max_bytes {
            return Err(RequestError {
                reason: NotRunReason::BodyTooLarge,
                detail: "body too large",
            });
        }
        if bytes.len() as u64 > rule.buffer_limit_bytes {
            let source = CallerBody::new(body, chunk_timeout_ms, rule.max_bytes);
            let source = Box::new(source.with_first_chunk(bytes.freeze()));
            return Ok(CallBody::Streamed {
                length: None,
                source,
            });
        }
    }
    Ok(CallBody::Buffered(bytes.freeze()))
}

/// Return the deadline in the headers of a request.
///
/// An absolute deadline comes from an upstream on this host, which shares the wall
/// clock; other callers send a timeout. The earlier of the two applies.
fn request_deadline(node: &Node, headers: &HeaderMap) -> Result<Option<Deadline>, RequestError> {
    let now = node.clock.now();
    let dialect = &node.dialect;
    let timeout = header_number(headers, dialect.timeout)?;
    let timeout = timeout.map(|millis| Deadline::in_millis(now, millis));
    if dialect.deadline_form == DeadlineForm::RemainingMs {
        return Ok(timeout);
    }
    let absolute = header_number(headers, dialect.deadline)?.map(|unix_ms| {
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

fn request_token(headers: &HeaderMap) -> Result<Option<Token>, RequestError> {
    let Some(text) = header_text(headers, TOKEN_HEADER)? else {
        return Ok(None);
    };
    let error = RequestError {
        reason: NotRunReason::BadToken,
        detail: "the token is malformed",
    };
    TokenText::read(text).map(Some).ok_or(error)
}

fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, RequestError> {
    let text = header_text(headers, name)?;
    let number = text.map(str::parse).transpose();
    number.map_err(|_| bad_request("a header is no number"))
}

/// Return the value of a header that may occur only once.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(bad_request("a header is given twice"));
    }
    let text = first.map(|value| value.to_str()).transpose();
    text.map_err(|_| bad_request("a header is no text"))
}
