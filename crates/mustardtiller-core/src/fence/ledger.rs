//! The ledger of the tokens presented to a gate.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::Incarnation;
use crate::Instant;
use crate::NotRunReason;
use crate::Token;
use crate::TokenId;
use crate::UnknownReason;
use crate::Verdict;

/// Limits of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Largest number of tokens held at once.
    pub tokens: usize,
    /// Time from minting to expiry, in microseconds.
    pub lifetime_micros: u64,
    /// Largest accepted lead of a minting time over the gate's clock, in microseconds.
    pub skew_micros: u64,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            tokens: 65_536,
            lifetime_micros: 600_000_000,
            skew_micros: 2_000_000,
        }
    }
}

/// What a gate does with a presented token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Presented<A> {
    /// First use: run the request, then call [`Ledger::finish`].
    Run,
    /// The request has already run, with this answer.
    AlreadyRan(A),
    /// Refuse the request.
    Refuse(Verdict),
}

#[derive(Clone, Debug)]
enum TokenState<A> {
    Running,
    Ran(Option<A>),
    Unknown(UnknownReason),
    Void,
}

#[derive(Clone, Debug)]
struct LedgerEntry<A> {
    request_digest: u64,
    state: TokenState<A>,
}

/// The tokens presented to one gate incarnation that have not expired yet.
///
/// A token runs at most once by construction: the ledger holds it until the
/// instant from which it would be refused as expired. A "not run" is final:
/// it voids the token, so no late copy of the request can run after it. A full
/// ledger evicts nothing. It raises a floor instead, which is a minting time:
/// every token minted up to it and not yet presented is refused.
#[derive(Debug)]
pub struct Ledger<A> {
    gate: Incarnation,
    limits: LedgerLimits,
    entries: HashMap<TokenId, LedgerEntry<A>>,
    expiries: BTreeSet<(Instant, TokenId)>,
    floor: Option<Instant>,
}

impl<A: Clone> Ledger<A> {
    /// Create the empty ledger of a new gate incarnation.
    #[must_use]
    pub fn new(gate: Incarnation, limits: LedgerLimits) -> Self {
        Self {
            gate,
            limits,
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
            floor: None,
        }
    }

    /// Present a token, and decide what to do with its request.
    ///
    /// A token is valid for one request only, which `request_digest` identifies.
    pub fn present(&mut self, token: &Token, request_digest: u64, now: Instant) -> Presented<A> {
        self.expire(now);
        if token.gate != self.gate {
            return refuse_unknown(UnknownReason::IncarnationGone);
        }
        if now >= self.expiry_of(token) {
            return refuse_unknown(UnknownReason::TokenExpired);
        }
        if token.minted > now.plus_micros(self.limits.skew_micros) {
            return refuse_unknown(UnknownReason::TokenEarly);
        }
        if let Some(entry) = self.entries.get(&token.id) {
            return entry.presented_again(request_digest);
        }
        self.present_first(token, request_digest, now)
    }

    /// Record that the token's request ran, with its answer if that was kept.
    pub fn finish(&mut self, id: TokenId, answer: Option<A>) {
        self.set(id, TokenState::Ran(answer));
    }

    /// Record that the outcome of the token's request is unknown.
    pub fn mark_unknown(&mut self, id: TokenId, reason: UnknownReason) {
        self.set(id, TokenState::Unknown(reason));
    }

    /// Void a token whose request was refused before it ran.
    pub fn void(&mut self, id: TokenId) {
        self.set(id, TokenState::Void);
    }

    /// Return the number of tokens held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Report whether the ledger holds no token.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn present_first(&mut self, token: &Token, request_digest: u64, now: Instant) -> Presented<A> {
        if self.floor.is_some_and(|floor| token.minted <= floor) {
            return refuse_not_run(NotRunReason::LedgerFull);
        }
        if self.entries.len() >= self.limits.tokens {
            self.floor = Some(now.max(token.minted));
            return refuse_not_run(NotRunReason::LedgerFull);
        }
        let state = TokenState::Running;
        self.entries.insert(
            token.id,
            LedgerEntry {
                request_digest,
                state,
            },
        );
        self.expiries.insert((self.expiry_of(token), token.id));
        Presented::Run
    }

    fn set(&mut self, id: TokenId, state: TokenState<A>) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.state = state;
        }
    }

    fn expiry_of(&self, token: &Token) -> Instant {
        token.minted.plus_micros(self.limits.lifetime_micros)
    }

    fn expire(&mut self, now: Instant) {
        while let Some(&(at, id)) = self.expiries.first() {
            if at > now {
                break;
            }
            self.expiries.pop_first();
            self.entries.remove(&id);
        }
    }
}

impl<A: Clone> LedgerEntry<A> {
    fn presented_again(&self, request_digest: u64) -> Presented<A> {
        if self.request_digest != request_digest {
            return refuse_unknown(UnknownReason::TokenReused);
        }
        match &self.state {
            TokenState::Running => refuse_unknown(UnknownReason::InProgress),
            TokenState::Ran(Some(answer)) => Presented::AlreadyRan(answer.clone()),
            TokenState::Ran(None) => refuse_unknown(UnknownReason::AnswerNotKept),
            TokenState::Unknown(reason) => refuse_unknown(*reason),
            TokenState::Void => refuse_not_run(NotRunReason::TokenVoid),
        }
    }
}

const fn refuse_unknown<A>(reason: UnknownReason) -> Presented<A> {
    Presented::Refuse(Verdict::Unknown(reason))
}

const fn refuse_not_run<A>(reason: NotRunReason) -> Presented<A> {
    Presented::Refuse(Verdict::NotRun(reason))
}
