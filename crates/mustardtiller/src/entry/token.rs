//! Minting of tokens, and their text form.

use std::fmt;
use std::sync::Arc;

use data_encoding::BASE64URL_NOPAD;

use crate::board::ServiceRoutes;
use crate::daemon::Node;
use crate::entry::pick;
use crate::metrics::CounterId;
use mustardtiller_core::Policy;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Token;
use mustardtiller_core::TokenId;
use mustardtiller_wire::WireToken;

/// Longest accepted token text, in bytes.
const MAX_TOKEN_TEXT_BYTES: usize = 512;

/// Opaque text form of a token, as callers receive it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenText(String);

impl TokenText {
    /// Encode a token as text.
    ///
    /// # Panics
    ///
    /// Panics if serialization into memory fails, which would be a bug.
    #[must_use]
    pub fn write(token: &Token) -> Self {
        let wire_token = WireToken::from(token);
        let bytes = postcard::to_allocvec(&wire_token)
            .expect("serializing a token into memory does not fail");
        Self(BASE64URL_NOPAD.encode(&bytes))
    }

    /// Parse a token from text; `None` if the text is malformed or too long.
    #[must_use]
    pub fn read(text: &str) -> Option<Token> {
        if text.len() > MAX_TOKEN_TEXT_BYTES {
            return None;
        }
        let bytes = BASE64URL_NOPAD.decode(text.as_bytes()).ok()?;
        match postcard::take_from_bytes::<WireToken>(&bytes) {
            Ok((wire_token, [])) => Some(Token::from(&wire_token)),
            _ => None,
        }
    }
}

impl fmt::Display for TokenText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Mint a token for one request to a service.
///
/// The gate is not asked: the link's clock offset gives its time. Returns `None` if
/// no upstream of the service has a usable link.
#[must_use]
pub fn mint_token(node: &Arc<Node>, service: &ServiceRoutes) -> Option<Token> {
    let now = node.clock.now();
    let policy = Policy {
        weigh: service.service.weigh,
        ..Policy::default()
    };
    let reach = pick::Reach::any(pick::FarPrice { micros: 0 });
    let rng = &mut node.rng();
    let mode = QueueMode::Queue;
    let candidate = pick::pick(&service.candidates, &[], mode, &policy, reach, now, rng)?;
    let link = candidate.link_slot.get()?;
    let minted = link.gate_now(now)?;
    node.metrics.count(CounterId::TokensMinted);
    let id = TokenId {
        entry: node.board.identity.incarnation,
        sequence: node.next_sequence(),
    };
    let upstream = candidate.upstream.name.clone();
    Some(Token {
        upstream,
        gate: link.gate_incarnation(),
        id,
        minted,
    })
}
