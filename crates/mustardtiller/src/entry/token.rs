//! Tokens, handed out from memory.

use std::fmt;
use std::sync::Arc;

use data_encoding::BASE64URL_NOPAD;

use crate::board::ServiceRoutes;
use crate::daemon::Node;
use crate::entry::pick;
use crate::metrics::CounterId;
use mustardtiller_core::Policy;
use mustardtiller_core::Token;
use mustardtiller_core::TokenId;
use mustardtiller_wire::WireToken;

/// Longest text of a token, in bytes.
const MAX_TOKEN_TEXT: usize = 512;

/// A token as callers hold it: opaque text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenText(String);

impl TokenText {
    /// Write a token as text.
    ///
    /// # Panics
    ///
    /// Panics if a token can't be encoded, which is a broken invariant.
    #[must_use]
    pub fn write(token: &Token) -> Self {
        let form = WireToken::from(token);
        let bytes = postcard::to_allocvec(&form).expect("a token encodes into memory");
        Self(BASE64URL_NOPAD.encode(&bytes))
    }

    /// Read a token from text; `None` if the text is no token.
    #[must_use]
    pub fn read(text: &str) -> Option<Token> {
        if text.len() > MAX_TOKEN_TEXT {
            return None;
        }
        let bytes = BASE64URL_NOPAD.decode(text.as_bytes()).ok()?;
        match postcard::take_from_bytes::<WireToken>(&bytes) {
            Ok((form, [])) => Some(Token::from(&form)),
            _ => None,
        }
    }
}

impl fmt::Display for TokenText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Hand out a token for one request to a service.
///
/// Returns `None` if no upstream of the service has a link up.
#[must_use]
pub fn mint_token(node: &Arc<Node>, service: &ServiceRoutes) -> Option<Token> {
    let now = node.clock.now();
    let policy = Policy {
        weigh: service.service.weigh,
        ..Policy::default()
    };
    let anywhere = pick::PlacePrice { far_micros: 0 };
    let rng = &mut node.rng();
    let candidate = pick::pick(&service.candidates, &[], &policy, anywhere, now, rng)?;
    let link = candidate.slot.get()?;
    let minted = link.gate_now(now)?;
    node.metrics.count(CounterId::TokensMinted);
    let id = TokenId {
        entry: node.board.identity.incarnation,
        sequence: node.next_sequence(),
    };
    let upstream = candidate.upstream.name.clone();
    Some(Token {
        upstream,
        gate: link.gate(),
        id,
        minted,
    })
}
