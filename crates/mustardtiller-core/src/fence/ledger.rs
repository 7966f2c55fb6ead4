//! A gate's memory of the tokens presented to it.

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
    /// Tokens remembered at most.
    pub tokens: usize,
    /// Microseconds from minting to expiry.
    pub lifetime_micros: u64,
    /// Microseconds by which a token may lie in the gate's future.
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
    /// The request ran before and this is its answer.
    AlreadyRan(A),
    /// Refuse the request.
    Refuse(Verdict),
}

#[derive(Clone, Debug)]
enum Use<A> {
    Running,
    Ran(Option<A>),
    Lost(UnknownReason),
    Void,
}

#[derive(Clone, Debug)]
struct Entry<A> {
    request: u64,
    state: Use<A>,
}

/// The tokens that one gate incarnation has seen and not yet let expire.
///
/// A token runs at most once by construction: it is remembered until the
/// instant from which it would be refused as expired. A "not run" is final:
/// it voids the token, so no late copy of the request can run after it. When
/// the ledger is full it raises a floor instead of forgetting: every token
/// minted up to then and not yet seen is void.
#[derive(Debug)]
pub struct Ledger<A> {
    gate: Incarnation,
    limits: LedgerLimits,
    entries: HashMap<TokenId, Entry<A>>,
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

    /// Present a token with the digest of its request.
    pub fn present(&mut self, token: &Token, request: u64, now: Instant) -> Presented<A> {
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
            return entry.presented_again(request);
        }
        self.present_first(token, request, now)
    }

    /// Record that the token's request ran, with its answer if it was kept.
    pub fn finish(&mut self, id: TokenId, answer: Option<A>) {
        self.set(id, Use::Ran(answer));
    }

    /// Record that the outcome of the token's request can't be known.
    pub fn mark_unknown(&mut self, id: TokenId, reason: UnknownReason) {
        self.set(id, Use::Lost(reason));
    }

    /// Void a token whose request was refused before it ran.
    pub fn void(&mut self, id: TokenId) {
        self.set(id, Use::Void);
    }

    /// Return how many tokens are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Report whether no token is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn present_first(&mut self, token: &Token, request: u64, now: Instant) -> Presented<A> {
        if self.floor.is_some_and(|floor| token.minted <= floor) {
            return refuse_not_run(NotRunReason::LedgerFull);
        }
        if self.entries.len() >= self.limits.tokens {
            self.floor = Some(now.max(token.minted));
            return refuse_not_run(NotRunReason::LedgerFull);
        }
        let state = Use::Running;
        self.entries.insert(token.id, Entry { request, state });
        self.expiries.insert((self.expiry_of(token), token.id));
        Presented::Run
    }

    fn set(&mut self, id: TokenId, state: Use<A>) {
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

impl<A: Clone> Entry<A> {
    fn presented_again(&self, request: u64) -> Presented<A> {
        if self.request != request {
            return refuse_unknown(UnknownReason::TokenReused);
        }
        match &self.state {
            Use::Running => refuse_unknown(UnknownReason::InProgress),
            Use::Ran(Some(answer)) => Presented::AlreadyRan(answer.clone()),
            Use::Ran(None) => refuse_unknown(UnknownReason::AnswerNotKept),
            Use::Lost(reason) => refuse_unknown(*reason),
            Use::Void => refuse_not_run(NotRunReason::TokenVoid),
        }
    }
}

const fn refuse_unknown<A>(reason: UnknownReason) -> Presented<A> {
    Presented::Refuse(Verdict::Unknown(reason))
}

const fn refuse_not_run<A>(reason: NotRunReason) -> Presented<A> {
    Presented::Refuse(Verdict::NotRun(reason))
}
