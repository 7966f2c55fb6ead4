//! Conversion of HTTP requests to calls.
//!
//! Hyper rejects conflicting `Content-Length` headers. A `Transfer-Encoding` overrides
//! and removes a `Content-Length` (RFC 9112, section 6.3).

use std::sync::Arc;

use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::body::Incoming;
use hyper::header::HOST;

use super::limits::check_head;
use super::read_body::BodyRule;
use super::read_body::MEMORY_FULL;
use super::read_body::read_body;
use super::watch::BodyWatch;
use crate::board::CallerConnection;
use crate::board::HeldGuard;
use crate::board::Holder;
use crate::daemon::Node;
use crate::entry::Call;
use crate::entry::TokenText;
use crate::http::DeadlineForm;
use crate::upstream::DEPTH_HEADER;
use crate::upstream::RETRIED_HEADER;
use crate::upstream::end_to_end_headers;
use mustardtiller_core::BodyPace;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Token;
use mustardtiller_core::USUAL_FIELDS;
use mustardtiller_core::normal_host;

/// Header with a token.
pub const TOKEN_HEADER: &str = "mustardtiller-token";

/// Memory that one header field takes, in bytes: its entry, its name and its value.
const FIELD_BYTES: u64 = 128;

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

impl RequestError {
    /// Report whether the request itself is at fault, so that it is not to be repeated.
    #[must_use]
    pub const fn blames_caller(self) -> bool {
        matches!(
            self.reason,
            NotRunReason::BadRequest
                | NotRunReason::BadToken
                | NotRunReason::BodyCut
                | NotRunReason::BodyTooLarge
        )
    }

    /// Report whether a copy of the request, with its token, may have run.
    ///
    /// No entry accepts a malformed token. Any other fault may be this copy's alone, or one
    /// by a limit that changed meanwhile.
    #[must_use]
    pub const fn may_have_copy(self) -> bool {
        !matches!(self.reason, NotRunReason::BadToken)
    }

    /// Report whether the connection closes, since the rest of the body is not read.
    #[must_use]
    pub const fn closes_connection(self) -> bool {
        matches!(
            self.reason,
            NotRunReason::MemoryFull
                | NotRunReason::EntryFull
                | NotRunReason::Leaving
                | NotRunReason::BodyLate
                | NotRunReason::DeadlinePassed
                | NotRunReason::NoConfiguration
        )
    }
}

const fn bad_request(detail: &'static str) -> RequestError {
    RequestError {
        reason: NotRunReason::BadRequest,
        detail,
    }
}

/// Return the host of a request, in the form in which routes name it.
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
    Ok(normal_host(host))
}

/// Convert a request that came on a caller's connection to a call.
///
/// # Errors
///
/// Returns why the request is rejected; nothing of it was sent anywhere.
pub async fn read_call(
    node: &Arc<Node>,
    connection: &Arc<CallerConnection>,
    req: Request<Incoming>,
) -> Result<Call, RequestError> {
    let received_at = node.clock.now();
    let from_idle_host = node.board.gate.in_flight() == 0;
    check_head(node, &req)?;
    let host = request_host(&req)?;
    let headers = req.headers();
    if req.method() == Method::CONNECT {
        return Err(bad_request("no tunnels"));
    }
    let deadline = request_deadline(node, headers)?;
    let CallHeaders {
        token,
        depth,
        outer_retry,
    } = CallHeaders::read(node, headers)?;
    let caller = match &node.settings.caller {
        Some(caller) => caller.clone(),
        None => header_text(headers, node.dialect.caller)?
            .unwrap_or("other")
            .to_owned(),
    };
    let head_guard = charge_head(node, headers.len())?;
    let uri = origin_form(req.uri());
    let method = req.method().as_str().to_owned();
    let mut forwarded = end_to_end_headers(headers);
    forwarded.retain(|header| {
        !header.name.starts_with(INTERNAL_HEADER_PREFIX) && !node.dialect.overwrites(&header.name)
    });
    let rule = BodyRule::for_request(node, &host, &method, req.uri().path());
    let kind_deadline = rule.kind_deadline(received_at);
    let pace = BodyPace::new(received_at, deadline, kind_deadline, node.settings.piece_ms);
    let watch = BodyWatch::new(Arc::clone(node), Arc::clone(connection));
    let body = read_body(req.into_body(), rule, pace, watch).await?;
    Ok(Call {
        host,
        method,
        uri,
        headers: forwarded,
        head_guard,
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

/// Return the path and query of a target; an empty path is `/`.
fn origin_form(uri: &Uri) -> String {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    if target.starts_with('?') {
        format!("/{target}")
    } else {
        target.to_owned()
    }
}

/// Charge a head of more fields than usual ones have, which is held with its call.
///
/// The load that this answers: heads of thousands of fields whose bodies never end.
fn charge_head(node: &Node, fields: usize) -> Result<Option<Arc<HeldGuard>>, RequestError> {
    let excess = fields.saturating_sub(USUAL_FIELDS) as u64;
    if excess == 0 {
        return Ok(None);
    }
    let mut guard = HeldGuard::new(Arc::clone(&node.board.held), Holder::Requests);
    if !guard.try_grow(excess * FIELD_BYTES) {
        return Err(MEMORY_FULL);
    }
    Ok(Some(Arc::new(guard)))
}

/// Return the deadline in the headers of a request.
///
/// An absolute deadline comes from an upstream on this host, which shares the wall
/// clock; other callers send a timeout. The earlier of the two applies.
fn request_deadline(node: &Node, headers: &HeaderMap) -> Result<Option<Deadline>, RequestError> {
    let now = node.clock.now();
    let dialect = &node.dialect;
    let timeout = header_millis(headers, dialect.timeout)?;
    let timeout = timeout.map(|millis| Deadline::in_millis(now, millis));
    if dialect.deadline_form == DeadlineForm::RemainingMs {
        return Ok(timeout);
    }
    let absolute = header_millis(headers, dialect.deadline)?.map(|unix_ms| {
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

/// What a call says of itself in the product's own headers.
#[derive(Debug, Default)]
struct CallHeaders {
    token: Option<Token>,
    depth: u8,
    outer_retry: bool,
}

impl CallHeaders {
    fn read(node: &Node, headers: &HeaderMap) -> Result<Self, RequestError> {
        if !node.dialect.has_own_interface {
            return Ok(Self::default());
        }
        let depth = header_number(headers, DEPTH_HEADER)?.unwrap_or(0);
        Ok(Self {
            token: request_token(headers)?,
            depth: u8::try_from(depth).map_err(|_| bad_request("depth out of range"))?,
            outer_retry: headers.contains_key(RETRIED_HEADER),
        })
    }
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

/// Return the milliseconds in a header, rounded down.
///
/// A negative time has passed; one that exceeds the type is as good as none.
fn header_millis(headers: &HeaderMap, name: &str) -> Result<Option<u64>, RequestError> {
    let text = header_text(headers, name)?;
    text.map(|text| read_millis(text).ok_or(bad_request("a header is no number")))
        .transpose()
}

fn read_millis(text: &str) -> Option<u64> {
    let (is_negative, digits) = match text.strip_prefix('-') {
        Some(digits) => (true, digits),
        None => (false, text.strip_prefix('+').unwrap_or(text)),
    };
    let (whole, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    let is_number = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    if whole.is_empty() && fraction.is_empty() || !is_number(whole) || !is_number(fraction) {
        return None;
    }
    if is_negative || whole.is_empty() {
        return Some(0);
    }
    Some(whole.parse().unwrap_or(u64::MAX))
}

fn header_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, RequestError> {
    let text = header_text(headers, name)?;
    let number = text.map(str::parse).transpose();
    number.map_err(|_| bad_request("a header is no number"))
}

/// Return the value of a header that may have only one.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.any(|value| Some(value) != first) {
        return Err(bad_request(
            "a header is given twice, with different values",
        ));
    }
    let text = first.map(|value| value.to_str()).transpose();
    text.map_err(|_| bad_request("a header is no text"))
}
