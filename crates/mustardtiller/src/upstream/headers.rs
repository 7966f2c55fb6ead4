//! Headers exchanged with the upstream, and hop-by-hop headers.

/// Header with the request's depth in the tree of calls.
pub const DEPTH_HEADER: &str = "mustardtiller-depth";

/// Header that is present if the request stems from a retry.
pub const RETRIED_HEADER: &str = "mustardtiller-retried";

/// Hop-by-hop headers (RFC 9110, section 7.6.1), `expect` and `content-length`.
///
/// Each hop answers `expect` itself. It also frames bodies itself, and so sets their
/// length anew.
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

/// Report whether a header applies to one connection only.
#[must_use]
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// Report whether the `Connection` header values list `name`.
#[must_use]
pub fn named_by_connection(connection: &[&str], name: &str) -> bool {
    connection
        .iter()
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case(name))
}
