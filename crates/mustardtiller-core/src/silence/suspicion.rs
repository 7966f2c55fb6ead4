//! Suspicion of a link on which nothing comes within the usual time.

use crate::Deadline;
use crate::Instant;

/// Waits of [`Suspicion`].
#[derive(Clone, Copy, Debug)]
pub struct SuspicionRule {
    /// Time without a frame beyond the usual time of an answer, in milliseconds.
    pub grace_ms: u64,
    /// Longest time that counts as usual, in milliseconds.
    pub max_usual_ms: u64,
    /// Shortest time between two looks for the reply to a ping, in milliseconds.
    ///
    /// A link whose measured round trip is longer is given that time between looks.
    pub look_ms: u64,
    /// Looks without a frame after which the link is suspected.
    pub looks: u32,
}

impl Default for SuspicionRule {
    fn default() -> Self {
        Self {
            grace_ms: 30,
            max_usual_ms: 300,
            look_ms: 10,
            looks: 2,
        }
    }
}

impl SuspicionRule {
    /// Return when an answer is overdue on a link that is quiet since `since`.
    ///
    /// `usual_micros` is the usual time of an answer, in microseconds.
    #[must_use]
    pub fn overdue_at(&self, usual_micros: u64, since: Instant) -> Deadline {
        let usual = usual_micros.min(self.max_usual_ms * 1_000);
        Deadline::at(since.plus_micros(usual + self.grace_ms * 1_000))
    }
}

/// How fast frames are expected on a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkPace {
    /// Usual time of an answer, in microseconds.
    pub usual_micros: u64,
    /// Measured round trip to the peer, in microseconds.
    pub round_trip_micros: u64,
    /// Whether the link is pinged at once, without a wait for an answer.
    pub is_probed: bool,
}

/// What to do about a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspicionEffect {
    /// Look again then.
    Wait(Deadline),
    /// Ping the peer, and look again then.
    Ping(Deadline),
    /// Open a second link, to learn whether the peer answers there.
    Suspect,
}

/// Whether a link in use has gone silent, judged within a few round trips.
///
/// It answers the load pattern of a network that drops the packets of connections that
/// are open: each request on such a link would wait until it is closed for silence. A
/// suspected link is not closed: once the peer answers on a second one, that takes the
/// new requests, and the first keeps its own.
///
/// Looks are counted, not timed: a process that was paused reads the frames that came
/// meanwhile before its next look.
#[derive(Clone, Copy, Debug)]
pub struct Suspicion {
    frames: u64,
    since: Instant,
    looks: Option<u32>,
}

impl Suspicion {
    /// Begin with the number of frames received so far, the last of them at `now`.
    #[must_use]
    pub const fn begin(frames: u64, now: Instant) -> Self {
        Self {
            frames,
            since: now,
            looks: None,
        }
    }

    /// Look at the link, on which `frames` frames have come, and return what to do.
    pub fn step(
        &mut self,
        rule: &SuspicionRule,
        pace: LinkPace,
        frames: u64,
        now: Instant,
    ) -> SuspicionEffect {
        if frames != self.frames {
            *self = Self::begin(frames, now);
        }
        let look_micros = pace.round_trip_micros.max(rule.look_ms * 1_000);
        let next_look = Deadline::at(now.plus_micros(look_micros));
        match &mut self.looks {
            Some(looks) => {
                *looks += 1;
                if *looks >= rule.looks {
                    SuspicionEffect::Suspect
                } else {
                    SuspicionEffect::Wait(next_look)
                }
            }
            None => {
                let due = rule.overdue_at(pace.usual_micros, self.since);
                if !pace.is_probed && !due.has_passed(now) {
                    return SuspicionEffect::Wait(due);
                }
                self.looks = Some(0);
                SuspicionEffect::Ping(next_look)
            }
        }
    }
}
