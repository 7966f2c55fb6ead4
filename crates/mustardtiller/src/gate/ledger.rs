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

/// An answer that is stored to be repeated for the same token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptAnswer {
    /// The head.
    pub head: AnswerHead,
    /// The body.
    pub bytes: Bytes,
}

/// A command to the ledger controller.
#[derive(Debug)]
enum LedgerCommand {
    Present {
        token: Token,
        request_digest: u64,
        reply: Sender<Presented<Arc<KeptAnswer>>>,
    },
    Finish {
        id: TokenId,
        answer: Option<Arc<KeptAnswer>>,
    },
    MarkUnknown {
        id: TokenId,
        reason: UnknownReason,
    },
    Void {
        id: TokenId,
    },
}

/// The handle through which requests access the token ledger.
#[derive(Debug)]
pub struct LedgerHandle {
    commands: Sender<LedgerCommand>,
    inbox: Receiver<LedgerCommand>,
}

impl LedgerHandle {
    /// Create the handle and its channel to the controller.
    #[must_use]
    pub fn new() -> Self {
        let (commands, inbox) = unbounded();
        Self { commands, inbox }
    }

    /// Present a token with the digest of its request, and wait for the verdict.
    pub async fn present(&self, token: Token, request_digest: u64) -> Presented<Arc<KeptAnswer>> {
        let (reply, answer) = bounded(1);
        self.send(LedgerCommand::Present {
            token,
            request_digest,
            reply,
        });
        let unreachable = Presented::Refuse(Verdict::Unknown(UnknownReason::GateUnreachable));
        answer.recv().await.unwrap_or(unreachable)
    }

    /// Record that a request ran, with its answer if that is stored.
    pub fn finish(&self, id: TokenId, answer: Option<Arc<KeptAnswer>>) {
        self.send(LedgerCommand::Finish { id, answer });
    }

    /// Record that a request's outcome is unknown.
    pub fn mark_unknown(&self, id: TokenId, reason: UnknownReason) {
        self.send(LedgerCommand::MarkUnknown { id, reason });
    }

    /// Void the token of a request that did not run.
    pub fn void(&self, id: TokenId) {
        self.send(LedgerCommand::Void { id });
    }

    fn send(&self, command: LedgerCommand) {
        // The handle owns the receiver too, so the channel is never closed.
        let _ = self.commands.try_send(command);
    }
}

impl Default for LedgerHandle {
    fn default() -> Self {
        Self::new()
    }
}

/// Run the ledger controller, which owns the token ledger.
pub async fn control_ledger(node: Arc<Node>) {
    let limits = LedgerLimits {
        tokens: node.settings.ledger_tokens as usize,
        lifetime_micros: node.settings.token_ms * 1_000,
        ..LedgerLimits::default()
    };
    let mut ledger = Ledger::new(node.board.identity.incarnation, limits);
    while let Ok(command) = node.ledger.inbox.recv().await {
        match command {
            LedgerCommand::Present {
                token,
                request_digest,
                reply,
            } => {
                let presented = ledger.present(&token, request_digest, node.clock.now());
                let full = Verdict::NotRun(NotRunReason::LedgerFull);
                if presented == Presented::Refuse(full) {
                    Event::LedgerFull.log(format_args!("{} tokens", ledger.len()));
                }
                let _ = reply.try_send(presented);
            }
            LedgerCommand::Finish { id, answer } => ledger.finish(id, answer),
            LedgerCommand::MarkUnknown { id, reason } => ledger.mark_unknown(id, reason),
            LedgerCommand::Void { id } => ledger.void(id),
        }
    }
}
