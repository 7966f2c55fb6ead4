//! Reads request bodies: short ones into memory, long ones are streamed.

use std::error::Error;
use std::io;
use std::io::ErrorKind;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;

use super::body::CallerBody;
use super::request::RequestError;
use super::watch::BodyWatch;
use crate::board::HeldGuard;
use crate::board::Holder;
use crate::body::HeldBuffer;
use crate::daemon::Node;
use crate::entry::CallBody;
use mustardtiller_core::BodyPace;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::STALLED_MS;

pub const MEMORY_FULL: RequestError = RequestError {
    reason: NotRunReason::MemoryFull,
    detail: "no room for the request",
};

/// Return the refusal of a body above the limit in force.
///
/// It doesn't blame the caller while a newer configuration, with its own limit, may be in
/// force.
fn body_too_large(node: &Node) -> RequestError {
    let is_doubted = !node.board.doubt.until().has_passed(node.clock.now());
    let reason = if is_doubted {
        NotRunReason::NoConfiguration
    } else {
        NotRunReason::BodyTooLarge
    };
    RequestError {
        reason,
        detail: "body too large",
    }
}

/// How a request body is read.
#[derive(Clone, Copy, Debug)]
pub struct BodyRule {
    /// Whether even a short body is streamed.
    streamed: bool,
    /// Largest body that is held in memory, in bytes; longer ones are streamed.
    buffer_limit_bytes: u64,
    /// Largest accepted body, in bytes.
    max_bytes: u64,
    /// Time of the request's kind, in milliseconds; `None` if the kind is unknown.
    kind_ms: Option<u64>,
}

impl BodyRule {
    /// Return how a request body is read.
    ///
    /// Without a configuration the limit is unknown, so no body is too large.
    pub fn for_request(node: &Node, host: &str, method: &str, path: &str) -> Self {
        let configuration = node.board.configuration.read();
        let Some(configuration) = configuration.as_ref().as_ref() else {
            return Self {
                streamed: false,
                buffer_limit_bytes: node.settings.held_body_bytes,
                max_bytes: u64::MAX,
                kind_ms: None,
            };
        };
        let kind = node.board.routes.read().kind_of(host, method, path);
        let upload = kind.as_ref().is_some_and(|kind| kind.upload);
        let kind_ms = kind.map(|kind| kind.deadline_ms);
        let settings = &node.settings;
        match configuration.fleet.limits {
            Some(limits) => Self {
                streamed: false,
                buffer_limit_bytes: settings.held_body_bytes.min(limits.body_bytes),
                max_bytes: limits.body_bytes,
                kind_ms,
            },
            None if upload => Self {
                streamed: true,
                buffer_limit_bytes: 0,
                max_bytes: settings.streamed_body_bytes,
                kind_ms,
            },
            None => Self {
                streamed: false,
                buffer_limit_bytes: settings.held_body_bytes,
                max_bytes: settings.held_body_bytes,
                kind_ms,
            },
        }
    }

    /// Return the deadline of the request's kind, for a head that came at `received_at`.
    pub fn kind_deadline(self, received_at: Instant) -> Option<Deadline> {
        let millis = self.kind_ms?;
        Some(Deadline::in_millis(received_at, millis))
    }
}

/// Read a short body into memory, or prepare a long one for streaming.
///
/// # Errors
///
/// Returns why the request is rejected; nothing of it was sent anywhere.
pub async fn read_body(
    body: Incoming,
    rule: BodyRule,
    pace: BodyPace,
    watch: BodyWatch,
) -> Result<CallBody, RequestError> {
    let length = body.size_hint().exact();
    if length == Some(0) {
        return Ok(CallBody::Buffered(Bytes::new()));
    }
    if length.is_some_and(|length| length > rule.max_bytes) {
        return Err(body_too_large(watch.node()));
    }
    if rule.streamed || length.is_some_and(|length| length > rule.buffer_limit_bytes) {
        let source = Box::new(CallerBody::new(body, watch, rule.max_bytes));
        return Ok(CallBody::Streamed { length, source });
    }
    let node = Arc::clone(watch.node());
    if length.is_some_and(|length| !node.board.held.has_room(length)) {
        return Err(MEMORY_FULL);
    }
    read_chunks(body, rule, length, pace, watch).await
}

/// Read a body into memory until it ends or exceeds the buffer limit.
///
/// Over the buffer limit, the chunks read so far become the start of a streamed body.
async fn read_chunks(
    mut body: Incoming,
    rule: BodyRule,
    length: Option<u64>,
    pace: BodyPace,
    watch: BodyWatch,
) -> Result<CallBody, RequestError> {
    let account = Arc::clone(&watch.node().board.held);
    let guard = HeldGuard::new(account, Holder::Requests);
    let mut held = HeldBuffer::new(guard, length.map(|length| length as usize));
    let mut connection_buffer = ConnectionBuffer::new(watch.node());
    while let Some(chunk) = next_chunk(&mut body, pace, &watch).await? {
        if !held.try_push(&chunk) || !(body.is_end_stream() || connection_buffer.try_charge()) {
            return Err(MEMORY_FULL);
        }
        if held.len() as u64 > rule.max_bytes {
            return Err(body_too_large(watch.node()));
        }
        if held.len() as u64 > rule.buffer_limit_bytes {
            let source = CallerBody::new(body, watch, rule.max_bytes);
            let source = Box::new(source.with_first_chunk(held.freeze()));
            return Ok(CallBody::Streamed {
                length: None,
                source,
            });
        }
    }
    Ok(CallBody::Buffered(held.freeze()))
}

/// The HTTP library's buffer, which a body grows that doesn't come with its head.
struct ConnectionBuffer {
    guard: HeldGuard,
    bytes: u64,
}

impl ConnectionBuffer {
    fn new(node: &Node) -> Self {
        let account = Arc::clone(&node.board.held);
        Self {
            guard: HeldGuard::new(account, Holder::Requests),
            bytes: node.settings.head_bytes,
        }
    }

    /// Charge the buffer once; returns false if there is no room for it.
    fn try_charge(&mut self) -> bool {
        let bytes = std::mem::take(&mut self.bytes);
        bytes == 0 || self.guard.try_grow(bytes)
    }
}

/// Wait for the next chunk of a body; `None` once it is complete.
async fn next_chunk(
    body: &mut Incoming,
    pace: BodyPace,
    watch: &BodyWatch,
) -> Result<Option<Bytes>, RequestError> {
    let node = watch.node();
    let since = watch.begin_wait();
    loop {
        let now = node.clock.now();
        if let Some(reason) = watch.refusal(pace.stalled_since(since, now)) {
            let detail = "body stalled";
            return Err(RequestError { reason, detail });
        }
        let tick = Deadline::in_millis(now, STALLED_MS).min(pace.wait_until(since));
        match node.clock.within(tick, body.frame()).await {
            None => {
                if let Some(reason) = pace.refusal(since, node.clock.now()) {
                    let detail = "body late";
                    return Err(RequestError { reason, detail });
                }
            }
            Some(None) => {
                watch.end_body();
                return Ok(None);
            }
            Some(Some(Err(e))) => return Err(body_error(&e)),
            Some(Some(Ok(frame))) => {
                if let Ok(chunk) = frame.into_data() {
                    watch.end_wait();
                    return Ok(Some(chunk));
                }
            }
        }
    }
}

/// Return how a body failed: its chunks are malformed, or its connection has ended.
fn body_error(error: &hyper::Error) -> RequestError {
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    match cause.map(io::Error::kind) {
        Some(ErrorKind::InvalidData | ErrorKind::InvalidInput) => RequestError {
            reason: NotRunReason::BadRequest,
            detail: "malformed chunks",
        },
        _ => RequestError {
            reason: NotRunReason::BodyCut,
            detail: "connection ended within the body",
        },
    }
}
