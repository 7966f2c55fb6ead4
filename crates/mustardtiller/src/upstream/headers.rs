//! Headers between daemon and upstream.

/// How deep in a tree of calls the request is.
pub const DEPTH_HEADER: &str = "mustardtiller-depth";

/// Present if the request stems from a retry.
pub const RETRIED_HEADER: &str = "mustardtiller-retried";

/// How an upstream says on any answer that it is draining.
pub const STATE_HEADER: &str = "upstream-state";

/// Headers of one connection (RFC 9110, section 7.6.1), and lengths, which
/// each hop frames anew.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
];

/// Report whether a header belongs to one connection only.
#[must_use]
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Report whether a `Connection` header names `name` as its own.
#[must_use]
pub fn named_by_connection(connection: &[&str], name: &str) -> bool {
    connection
        .iter()
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case(name))
}
