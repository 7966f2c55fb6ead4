//! The rule that decides which refusals may be retried at all.

use std::fmt;

use crate::NotRunReason;
use crate::Refusal;

/// What is known of a request when one of its attempts was refused.
#[expect(
    clippy::struct_excessive_bools,
    reason = "four facts that are independent"
)]
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// The kind is idempotent: running it twice does no harm.
    pub idempotent: bool,
    /// The whole body is still held and can be sent again.
    pub replayable: bool,
    /// The request carries a token and is bound to one gate.
    pub bound: bool,
    /// The request stems from a retry at an outer depth.
    pub outer_retry: bool,
    /// Attempts made so far.
    pub attempts: u32,
    /// Attempts that the kind allows.
    pub max_attempts: u32,
}

/// Why a request is tried again.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RetryReason {
    /// A link to the chosen daemon was not to be had.
    Unreachable,
    /// The upstream is leaving.
    Leaving,
    /// The gate had no room.
    Busy,
    /// The upstream's daemon could not reach it.
    UpstreamDown,
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
            Self::Lost => "lost",
        }
    }
}

impl fmt::Display for RetryReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Decide whether `refusal` may be retried, leaving the budget aside.
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
/// What a gate or an entry refuses costs the upstream nothing, and trying
/// again elsewhere is no retry to it.
#[must_use]
pub const fn reached_upstream(refusal: Refusal) -> bool {
    match refusal {
        Refusal::Unknown(_) => true,
        Refusal::NotRun(not_run) => matches!(not_run.reason(), NotRunReason::UpstreamShed),
    }
}

const fn not_run_retry(reason: NotRunReason) -> Option<RetryReason> {
    match reason {
        NotRunReason::Unreachable | NotRunReason::WrongUpstream => Some(RetryReason::Unreachable),
        NotRunReason::Leaving => Some(RetryReason::Leaving),
        NotRunReason::LinkFull
        | NotRunReason::QueueFull
        | NotRunReason::Busy
        | NotRunReason::TooLate
        | NotRunReason::UpstreamShed => Some(RetryReason::Busy),
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
        | NotRunReason::NoConfiguration
        | NotRunReason::BodyTooLarge
        | NotRunReason::TokenNeeded => None,
    }
}
