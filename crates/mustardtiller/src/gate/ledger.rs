//! The controller that owns the token ledger.

use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::bounded;
use async_channel::unbounded;
use bytes::Bytes;

use crate::daemon::Node;
use crate::events::Event;
use mustardtiller_core::Ledger;
use mustardtiller_core::LedgerLimits;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Presented;
use mustardtiller_core::Token;
use mustardtiller_core::TokenId;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::Verdict;
use mustardtiller_wire::AnswerHead;

/// An answer that is kept for repeats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptAnswer {
    /// The head.
    pub head: AnswerHead,
    /// The body.
    pub bytes: Bytes,
}

#[derive(Debug)]
enum Ask {
    Present {
        token: Token,
        request: u64,
        reply: Sender<Presented<Arc<KeptAnswer>>>,
    },
    Finish {
        id: TokenId,
        answer: Option<Arc<KeptAnswer>>,
    },
    Lose {
        id: TokenId,
        reason: UnknownReason,
    },
    Void {
        id: TokenId,
    },
}

/// Where requests with tokens are presented.
#[derive(Debug)]
pub struct LedgerHandle {
    asks: Sender<Ask>,
    inbox: Receiver<Ask>,
}

impl LedgerHandle {
    /// Open the desk.
    #[must_use]
    pub fn new() -> Self {
        let (asks, inbox) = unbounded();
        Self { asks, inbox }
    }

    /// Present a token with the digest of its request.
    pub async fn present(&self, token: Token, request: u64) -> Presented<Arc<KeptAnswer>> {
        let (reply, answer) = bounded(1);
        self.ask(Ask::Present {
            token,
            request,
            reply,
        });
        let gone = Presented::Refuse(Verdict::Unknown(UnknownReason::GateUnreachable));
        answer.recv().await.unwrap_or(gone)
    }

    /// Record that a request ran.
    pub fn finish(&self, id: TokenId, answer: Option<Arc<KeptAnswer>>) {
        self.ask(Ask::Finish { id, answer });
    }

    /// Record that a request's outcome can't be known.
    pub fn mark_unknown(&self, id: TokenId, reason: UnknownReason) {
        self.ask(Ask::Lose { id, reason });
    }

    /// Void the token of a request that did not run.
    pub fn void(&self, id: TokenId) {
        self.ask(Ask::Void { id });
    }

    fn ask(&self, ask: Ask) {
        // The desk lives as long as the node, so the channel is open.
        let _ = self.asks.try_send(ask);
    }
}

impl Default for LedgerHandle {
    fn default() -> Self {
        Self::new()
    }
}

/// Own the ledger and answer what is asked of it.
pub async fn control_ledger(node: Arc<Node>) {
    let limits = LedgerLimits {
        tokens: node.settings.ledger_tokens as usize,
        lifetime_micros: node.settings.token_ms * 1_000,
        ..LedgerLimits::default()
    };
    let mut ledger = Ledger::new(node.board.identity.incarnation, limits);
    while let Ok(ask) = node.ledger.inbox.recv().await {
        match ask {
            Ask::Present {
                token,
                request,
                reply,
            } => {
                let presented = ledger.present(&token, request, node.clock.now());
                let full = Verdict::NotRun(NotRunReason::LedgerFull);
                if presented == Presented::Refuse(full) {
                    Event::LedgerFull.log(format_args!("{} tokens", ledger.len()));
                }
                let _ = reply.try_send(presented);
            }
            Ask::Finish { id, answer } => ledger.finish(id, answer),
            Ask::Lose { id, reason } => ledger.mark_unknown(id, reason),
            Ask::Void { id } => ledger.void(id),
        }
    }
}
