//! HTTP requests to calls.
//!
//! The library refuses lengths that conflict, and lets a transfer encoding
//! override a length and strip it (RFC 9112, section 6.3).

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
use crate::upstream::end_to_end;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Token;

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
    let began = node.clock.now();
    let host = host_of(&req)?;
    let headers = req.headers();
    if req.method() == Method::CONNECT || headers.contains_key(hyper::header::UPGRADE) {
        return Err(bad("no tunnels or upgrades"));
    }
    let deadline = deadline_of(node, headers)?;
    let token = token_of(headers)?;
    let caller = match &node.settings.caller {
        Some(caller) => caller.clone(),
        None => text_of(headers, node.dialect.caller)?
            .unwrap_or("other")
            .to_owned(),
    };
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
    sent.retain(|header| !header.name.starts_with(OWN_PREFIX) && !node.dialect.sets(&header.name));
    let rule = body_rule(node, &host, &method, req.uri().path());
    let wait = Deadline::in_millis(began, node.settings.piece_ms);
    let wait = deadline.map_or(wait, |deadline| deadline.min(wait));
    let body = read_body(node, req.into_body(), rule, wait).await?;
    Ok(Call {
        host,
        method,
        uri,
        headers: sent,
        caller,
        began,
        deadline,
        token,
        depth,
        outer_retry,
        body,
    })
}

/// How the body of a request is taken.
#[derive(Clone, Copy, Debug)]
struct BodyRule {
    /// It is passed on piece by piece even if it is short.
    streamed: bool,
    /// Largest body that is held, in bytes.
    held_bytes: u64,
    /// Largest body at all, in bytes.
    most_bytes: u64,
}

/// Find how the body of a request is taken.
///
/// Without a configuration no limit is known, and nothing is refused for one.
fn body_rule(node: &Node, host: &str, method: &str, path: &str) -> BodyRule {
    let configuration = node.board.configuration.read();
    let Some(configuration) = configuration.as_ref().as_ref() else {
        return BodyRule {
            streamed: false,
            held_bytes: node.settings.held_body_bytes,
            most_bytes: u64::MAX,
        };
    };
    let kind = node.board.routes.read().kind_of(host, method, path);
    let upload = kind.is_some_and(|kind| kind.upload);
    let settings = &node.settings;
    match configuration.fleet.limits {
        Some(limits) => BodyRule {
            streamed: false,
            held_bytes: settings.held_body_bytes.min(limits.body_bytes),
            most_bytes: limits.body_bytes,
        },
        None if upload => BodyRule {
            streamed: true,
            held_bytes: 0,
            most_bytes: settings.streamed_body_bytes,
        },
        None => BodyRule {
            streamed: false,
            held_bytes: settings.held_body_bytes,
            most_bytes: settings.held_body_bytes,
        },
    }
}

/// Read a short body whole; leave a long one to be passed on piece by piece.
async fn read_body(
    node: &Node,
    body: Incoming,
    rule: BodyRule,
    deadline: Deadline,
) -> Result<CallBody, BadCall> {
    let length = body.size_hint().exact();
    if length == Some(0) {
        return Ok(CallBody::Buffered(Bytes::new()));
    }
    if length.is_some_and(|length| length > rule.most_bytes) {
        return Err(BadCall {
            reason: NotRunReason::BodyTooLarge,
            wrong: "body too large",
        });
    }
    let piece_ms = node.settings.piece_ms;
    if rule.streamed || length.is_some_and(|length| length > rule.held_bytes) {
        let source = Box::new(CallerBody::new(body, piece_ms, rule.most_bytes));
        return Ok(CallBody::Streamed { length, source });
    }
    let reading = collect(body, rule, piece_ms);
    match node.clock.within(deadline, reading).await {
        Some(read) => read,
        None => Err(BadCall {
            reason: NotRunReason::BodyCut,
            wrong: "body too slow",
        }),
    }
}

/// Collect a body of unknown length until it ends or is too long to be held.
async fn collect(mut body: Incoming, rule: BodyRule, piece_ms: u64) -> Result<CallBody, BadCall> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BadCall {
            reason: NotRunReason::BodyCut,
            wrong: "body cut",
        })?;
        if let Ok(piece) = frame.into_data() {
            bytes.extend_from_slice(&piece);
        }
        if bytes.len() as u64 > rule.most_bytes {
            return Err(BadCall {
                reason: NotRunReason::BodyTooLarge,
                wrong: "body too large",
            });
        }
        if bytes.len() as u64 > rule.held_bytes {
            let source = CallerBody::new(body, piece_ms, rule.most_bytes);
            let source = Box::new(source.behind(bytes.freeze()));
            return Ok(CallBody::Streamed {
                length: None,
                source,
            });
        }
    }
    Ok(CallBody::Buffered(bytes.freeze()))
}

/// Return the deadline that the request brings.
///
/// An absolute deadline comes from an upstream on this host, whose wall clock
/// is ours; callers elsewhere say how long they wait.
fn deadline_of(node: &Node, headers: &HeaderMap) -> Result<Option<Deadline>, BadCall> {
    let now = node.clock.now();
    let dialect = &node.dialect;
    let timeout = number_of(headers, dialect.timeout)?;
    let timeout = timeout.map(|millis| Deadline::in_millis(now, millis));
    if dialect.deadline_form == DeadlineForm::RemainingMs {
        return Ok(timeout);
    }
    let absolute = number_of(headers, dialect.deadline)?.map(|unix_ms| {
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
