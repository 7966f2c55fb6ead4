//! Limits of callers' connections.

use std::time::Duration;

use hyper::Request;
use hyper::server::conn::http1;
use smol_hyper::rt::SmolTimer;

use super::request::RequestError;
use crate::daemon::Node;
use mustardtiller_core::NotRunReason;

/// Bytes of a request line that don't count as header fields.
///
/// RFC 9112, section 3, asks for at least 8,000.
const REQUEST_LINE_BYTES: u64 = 8_192;

/// Largest head while the limit in force is unknown, in bytes.
///
/// Before the first configuration, and while a newer one is known. Whatever exceeds the
/// limit of the configuration held, if there is one, gets 503.
const UNPROVED_HEAD_BYTES: u64 = 262_144;

/// Bytes of a request line beside its method and target, and of the empty line.
const LINE_BYTES: usize = " ".len() + " HTTP/1.1\r\n".len() + "\r\n".len();

/// Fewest bytes of a field beside its name and value.
const FIELD_BYTES: usize = ":\r\n".len();

/// Limits of a caller's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Longest wait for a complete head, in milliseconds.
    ///
    /// Covers idle time too, since hyper has one timeout for both.
    head_timeout_ms: u64,
    /// Most bytes of header fields, beside the request line.
    head_bytes: u64,
}

impl ConnectionLimits {
    /// Return the limits by which the next head is parsed.
    ///
    /// A limit proves nothing while a newer configuration may be in force.
    pub fn for_next_head(node: &Node) -> Self {
        let mut limits = Self::held(node);
        if !node.board.doubt.until().has_passed(node.clock.now()) {
            limits.head_bytes = limits.head_bytes.max(UNPROVED_HEAD_BYTES);
        }
        limits
    }

    /// Return the limits of the configuration held, or of the settings if it has none.
    fn held(node: &Node) -> Self {
        let configuration = node.board.configuration.read();
        let limits = configuration.as_ref().as_ref().and_then(|c| c.fleet.limits);
        limits.map_or(
            Self {
                head_timeout_ms: node.settings.head_ms,
                head_bytes: node.settings.head_bytes,
            },
            |limits| Self {
                head_timeout_ms: limits.idle_ms.max(limits.head_ms),
                head_bytes: limits.head_bytes,
            },
        )
    }

    const fn whole_head_bytes(self) -> u64 {
        self.head_bytes.saturating_add(REQUEST_LINE_BYTES)
    }

    /// Return a builder of connections with these limits, and space for `fields` fields.
    pub fn builder(self, fields: usize) -> http1::Builder {
        let mut builder = http1::Builder::new();
        builder
            .timer(SmolTimer::new())
            .header_read_timeout(Duration::from_millis(self.head_timeout_ms))
            .max_headers(fields)
            .max_buf_size(self.whole_head_bytes() as usize);
        builder
    }
}

/// Refuse a head above the limit held, which was parsed while that limit was not proved.
///
/// # Errors
///
/// Returns a refusal that doesn't blame the caller.
pub fn check_head<B>(node: &Node, req: &Request<B>) -> Result<(), RequestError> {
    if fewest_bytes(req) as u64 <= ConnectionLimits::held(node).whole_head_bytes() {
        return Ok(());
    }
    Err(RequestError {
        reason: NotRunReason::NoConfiguration,
        detail: "head too large",
    })
}

/// Return the fewest bytes that the head can have taken on the wire.
fn fewest_bytes<B>(req: &Request<B>) -> usize {
    let target = req.uri().path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    let fields = req.headers().iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES);
    req.method().as_str().len() + target + LINE_BYTES + fields.sum::<usize>()
}
