//! How long a daemon waits for a request body that its caller sends.

use crate::Deadline;
use crate::Instant;
use crate::NotRunReason;

/// Decides how long a body is waited for, and why it is refused then.
///
/// The load that this answers: proper bodies that narrow links, lost packets or busy
/// hosts make late. None of the refusals blames the caller, and each is true: nothing
/// of the request was sent anywhere.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::BodyPace;
/// use mustardtiller_core::Deadline;
/// use mustardtiller_core::Instant;
/// use mustardtiller_core::NotRunReason;
///
/// let received_at = Instant::from_micros(0);
/// let kind_deadline = Deadline::in_millis(received_at, 2_000);
/// let pace = BodyPace::new(received_at, None, Some(kind_deadline), 400);
/// let (since, now) = (Instant::from_micros(900_000), Instant::from_micros(1_200_000));
/// assert_eq!(pace.refusal(since, now), None);
/// assert_eq!(pace.refusal(received_at, now), Some(NotRunReason::BodyLate));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyPace {
    /// When the head came.
    received_at: Instant,
    /// When the caller gives up on the request, or its kind's time ends.
    deadline: Option<Deadline>,
    /// Whether the kind's deadline bounds the whole body.
    has_kind: bool,
    /// Longest wait for the next bytes, in milliseconds.
    piece_ms: u64,
}

impl BodyPace {
    /// Return the pace of a request whose head came at `received_at`.
    ///
    /// A body may take until the earlier deadline, as long as no wait for its next bytes
    /// lasts `piece_ms` milliseconds. Without the deadline of a kind nothing that an
    /// operator set bounds it, so that it may take `piece_ms` as a whole.
    #[must_use]
    pub fn new(
        received_at: Instant,
        caller: Option<Deadline>,
        kind: Option<Deadline>,
        piece_ms: u64,
    ) -> Self {
        let deadline = match (caller, kind) {
            (Some(caller), Some(kind)) => Some(caller.min(kind)),
            (caller, kind) => caller.or(kind),
        };
        Self {
            received_at,
            deadline,
            has_kind: kind.is_some(),
            piece_ms,
        }
    }

    /// Return until when to wait for bytes that are awaited since `since`.
    #[must_use]
    pub fn wait_until(self, since: Instant) -> Deadline {
        let limit = self.late_at(since);
        self.deadline.map_or(limit, |deadline| deadline.min(limit))
    }

    /// Return why a body whose next bytes are awaited since `since` is refused at `now`.
    ///
    /// Returns `None` while the daemon goes on waiting.
    #[must_use]
    pub fn refusal(self, since: Instant, now: Instant) -> Option<NotRunReason> {
        if self
            .deadline
            .is_some_and(|deadline| deadline.has_passed(now))
        {
            Some(NotRunReason::DeadlinePassed)
        } else if self.late_at(since).has_passed(now) {
            Some(NotRunReason::BodyLate)
        } else {
            None
        }
    }

    /// Return since when a body counts as stalled whose next bytes are awaited since `since`.
    ///
    /// One that takes longer than `piece_ms` as a whole counts from its head on, however
    /// steady it is: it gives way where a stalled one does, to a stop above all.
    #[must_use]
    pub fn stalled_since(self, since: Instant, now: Instant) -> Instant {
        if self.whole_until().has_passed(now) {
            self.received_at
        } else {
            since
        }
    }

    fn late_at(self, since: Instant) -> Deadline {
        if self.has_kind {
            Deadline::in_millis(since, self.piece_ms)
        } else {
            self.whole_until()
        }
    }

    const fn whole_until(self) -> Deadline {
        Deadline::in_millis(self.received_at, self.piece_ms)
    }
}
