//! The rule that decides which refusals may be retried.

use std::fmt;

use crate::NotRunReason;
use crate::Refusal;

/// The facts about a refused attempt's request that decide on a retry.
#[expect(clippy::struct_excessive_bools, reason = "four independent facts")]
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// Whether the kind is idempotent: running it twice is harmless.
    pub idempotent: bool,
    /// Whether the whole body is still in memory and can be sent again.
    pub replayable: bool,
    /// Whether the request carries a token, which binds it to one gate.
    pub bound: bool,
    /// Whether the request belongs to a retry that an earlier hop made.
    pub outer_retry: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// Attempts that the kind allows.
    pub max_attempts: u32,
}

/// Why a request is retried.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryReason {
    /// No link to the chosen upstream's daemon, or the daemon serves another upstream, or
    /// has no configuration yet.
    Unreachable,
    /// The upstream is leaving.
    Leaving,
    /// The link, the gate or the upstream had no capacity left.
    Busy,
    /// The gate could not connect to its upstream.
    UpstreamDown,
    /// The gate's data centre or region may not serve the request.
    Misplaced,
    /// The outcome is unknown and the kind is idempotent.
    Lost,
}

impl RetryReason {
    /// Every reason.
    pub const ALL: &'static [Self] = &[
        Self::Unreachable,
        Self::Leaving,
        Self::Busy,
        Self::UpstreamDown,
        Self::Misplaced,
        Self::Lost,
    ];

    /// Return the text used in metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Leaving => "leaving",
            Self::Busy => "busy",
            Self::UpstreamDown => "upstream-down",
            Self::Misplaced => "misplaced",
            Self::Lost => "lost",
        }
    }
}

impl fmt::Display for RetryReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Return why `refusal` may be retried, or `None` if it may not.
///
/// The retry budget is not considered here.
#[must_use]
pub fn retry_reason(refusal: Refusal, cx: RetryContext) -> Option<RetryReason> {
    let allowed = cx.replayable && !cx.bound && !cx.outer_retry && cx.attempts < cx.max_attempts;
    if !allowed {
        return None;
    }
    match refusal {
        Refusal::NotRun(not_run) => not_run_retry(not_run.reason()),
        Refusal::Unknown(_) => cx.idempotent.then_some(RetryReason::Lost),
    }
}

/// Report whether a refused attempt has reached an upstream, or may have.
///
/// A refusal by a gate or an entry costs the upstream nothing, so offering the
/// request elsewhere does not multiply the load.
#[must_use]
pub const fn reached_upstream(refusal: Refusal) -> bool {
    match refusal {
        Refusal::Unknown(_) => true,
        Refusal::NotRun(not_run) => matches!(not_run.reason(), NotRunReason::UpstreamShed),
    }
}

/// Report whether a gate refused because of where it stands.
///
/// It does so before it reads a body. The refusal says nothing about the upstream or its
/// load, so it counts as no attempt.
#[must_use]
pub const fn is_misplaced(refusal: Refusal) -> bool {
    match refusal {
        Refusal::Unknown(_) => false,
        Refusal::NotRun(not_run) => matches!(
            not_run.reason(),
            NotRunReason::Evacuated | NotRunReason::OutsideRegion
        ),
    }
}

const fn not_run_retry(reason: NotRunReason) -> Option<RetryReason> {
    match reason {
        NotRunReason::Unreachable | NotRunReason::WrongUpstream | NotRunReason::NoConfiguration => {
            Some(RetryReason::Unreachable)
        }
        NotRunReason::Leaving => Some(RetryReason::Leaving),
        NotRunReason::LinkFull
        | NotRunReason::QueueFull
        | NotRunReason::Displaced
        | NotRunReason::Busy
        | NotRunReason::RateLimited
        | NotRunReason::MemoryFull
        | NotRunReason::TooLate
        | NotRunReason::UpstreamShed => Some(RetryReason::Busy),
        NotRunReason::Evacuated | NotRunReason::OutsideRegion => Some(RetryReason::Misplaced),
        NotRunReason::UpstreamDown => Some(RetryReason::UpstreamDown),
        NotRunReason::NoService
        | NotRunReason::NoKind
        | NotRunReason::NoUpstream
        | NotRunReason::DeadlinePassed
        | NotRunReason::ShareExceeded
        | NotRunReason::BadToken
        | NotRunReason::LedgerFull
        | NotRunReason::TokenVoid
        | NotRunReason::BadRequest
        | NotRunReason::BodyCut
        | NotRunReason::BodyLate
        | NotRunReason::BodyTooLarge
        | NotRunReason::TokenNeeded
        | NotRunReason::EntryFull => None,
    }
}
