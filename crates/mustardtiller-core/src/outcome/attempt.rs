//! The states of one attempt, as types.
//!
//! [`Unsent`] proves that no byte of the attempt can have reached the upstream.
//! Sending consumes it, and a [`NotRun`] is made only from an `Unsent` or from a
//! gate's [`Verdict`]. Code that reports a sent attempt as "not run" therefore
//! does not compile.

use crate::NotRunReason;
use crate::UnknownReason;

/// The start of an attempt to run a request.
#[derive(Debug)]
pub struct Attempt;

impl Attempt {
    /// Begin an attempt; nothing of it has been sent.
    pub const fn begin() -> Unsent {
        Unsent(())
    }
}

/// Proof that no byte of the attempt has been sent.
#[derive(Debug)]
#[must_use]
pub struct Unsent(());

impl Unsent {
    /// Refuse the request, which has not run.
    #[must_use]
    pub const fn refuse(self, reason: NotRunReason) -> NotRun {
        NotRun(reason)
    }

    /// Record that the first byte is about to be sent.
    pub const fn send(self) -> Sent {
        Sent(())
    }
}

/// The state of an attempt of which some byte may have been sent.
///
/// # Examples
///
/// A sent attempt can't be refused as "not run":
///
/// ```compile_fail
/// use mustardtiller_core::Attempt;
/// use mustardtiller_core::NotRunReason;
///
/// let sent = Attempt::begin().send();
/// let refusal = sent.refuse(NotRunReason::Unreachable);
/// ```
#[derive(Debug)]
#[must_use]
pub struct Sent(());

impl Sent {
    /// Give up on the attempt; its outcome is unknown.
    #[must_use]
    pub const fn unknown(self, reason: UnknownReason) -> Refusal {
        Refusal::Unknown(reason)
    }

    /// Return to the unsent state, if the transport proves that it sent nothing.
    ///
    /// `proof` is the unsent message that the transport returned.
    pub fn unsent<M>(self, proof: M) -> (Unsent, M) {
        (Unsent(()), proof)
    }

    /// Accept the gate's verdict on the attempt.
    #[must_use]
    pub const fn verdict(self, verdict: Verdict) -> Refusal {
        match verdict {
            Verdict::NotRun(reason) => Refusal::NotRun(NotRun(reason)),
            Verdict::Unknown(reason) => Refusal::Unknown(reason),
        }
    }
}

/// Proof that a request has not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotRun(NotRunReason);

impl NotRun {
    /// Return why the request was refused.
    #[must_use]
    pub const fn reason(self) -> NotRunReason {
        self.0
    }
}

/// A gate's statement about a request that reached it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The gate refused before it sent the first byte to its upstream.
    NotRun(NotRunReason),
    /// The gate can't tell whether the request ran.
    Unknown(UnknownReason),
}

impl From<Refusal> for Verdict {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::NotRun(not_run) => Self::NotRun(not_run.reason()),
            Refusal::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

/// A request that was not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request did not run on any upstream.
    NotRun(NotRun),
    /// It is unknown whether the request ran.
    Unknown(UnknownReason),
}

impl Refusal {
    /// Combine with an earlier attempt at the same request that may have run.
    ///
    /// If the earlier outcome is unknown, so is that of the request, even if the
    /// later attempt is proved not to have run.
    #[must_use]
    pub const fn after(self, earlier: Option<UnknownReason>) -> Self {
        match (self, earlier) {
            (Self::NotRun(_), Some(reason)) => Self::Unknown(reason),
            _ => self,
        }
    }

    /// Return why the outcome is unknown, or `None` if the request did not run.
    #[must_use]
    pub const fn unknown(self) -> Option<UnknownReason> {
        match self {
            Self::NotRun(_) => None,
            Self::Unknown(reason) => Some(reason),
        }
    }

    /// Return the text of the reason.
    #[must_use]
    pub const fn reason_text(self) -> &'static str {
        match self {
            Self::NotRun(not_run) => not_run.reason().as_str(),
            Self::Unknown(reason) => reason.as_str(),
        }
    }

    /// Return `not-run` or `unknown`.
    #[must_use]
    pub const fn class_text(self) -> &'static str {
        match self {
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

impl From<NotRun> for Refusal {
    fn from(not_run: NotRun) -> Self {
        Self::NotRun(not_run)
    }
}
