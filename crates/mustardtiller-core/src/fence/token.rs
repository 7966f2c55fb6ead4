//! Tokens that name the one gate incarnation allowed to run a request.

use std::fmt;

use crate::Instant;
use crate::UpstreamName;

/// A random number that identifies one run of one process.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u128);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The identity of one token.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TokenId {
    /// The incarnation of the entry that minted the token.
    pub entry: Incarnation,
    /// The token's sequence number at that entry.
    pub sequence: u64,
}

/// Permission for one request to run once, at one gate incarnation only.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Token {
    /// The upstream that is to run the request.
    pub upstream: UpstreamName,
    /// The only gate incarnation that may run it.
    pub gate: Incarnation,
    /// The identity of the token.
    pub id: TokenId,
    /// When it was minted, in the gate's time.
    pub minted: Instant,
}
