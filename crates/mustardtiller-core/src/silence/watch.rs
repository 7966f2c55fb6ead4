//! Keep-alive of a link: pings, and the decision to close a silent one.

/// When a link is pinged and closed, in rounds of the watch.
///
/// A round is one call of [`SilenceWatch::step`].
#[derive(Clone, Copy, Debug)]
pub struct SilenceRule {
    /// Silent rounds with streams open after which the peer is pinged.
    pub ping_after: u32,
    /// Silent rounds with streams open after which the link is closed.
    pub close_after: u32,
    /// Rounds between two pings of an idle link, which keep the clock offset fresh.
    pub idle_ping_every: u32,
}

impl Default for SilenceRule {
    fn default() -> Self {
        Self {
            ping_after: 1,
            close_after: 4,
            idle_ping_every: 120,
        }
    }
}

/// What to do with a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceEffect {
    /// Leave it as it is.
    Nothing,
    /// Send a ping.
    Ping,
    /// Close it.
    Close,
}

/// The state of one link, updated once a round.
///
/// It counts rounds rather than time: a process that was paused counts a single
/// round for the pause, and reads the frames that have arrived before it can
/// close a link.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::SilenceEffect;
/// use mustardtiller_core::SilenceRule;
/// use mustardtiller_core::SilenceWatch;
///
/// let rule = SilenceRule::default();
/// let mut watch = SilenceWatch::default();
/// assert_eq!(watch.step(&rule, 1, 10), SilenceEffect::Nothing);
/// assert_eq!(watch.step(&rule, 1, 10), SilenceEffect::Ping);
/// assert_eq!(watch.step(&rule, 1, 11), SilenceEffect::Nothing);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceWatch {
    frames: u64,
    silent_rounds: u32,
    idle_rounds: u32,
}

impl SilenceWatch {
    /// Count one round, and return what to do.
    ///
    /// `open` is the number of open streams, `frames` the number of frames ever
    /// received on the link.
    pub const fn step(&mut self, rule: &SilenceRule, open: u32, frames: u64) -> SilenceEffect {
        let received = frames != self.frames;
        self.frames = frames;
        if open == 0 {
            return self.idle_round(rule);
        }
        self.idle_rounds = 0;
        if received {
            self.silent_rounds = 0;
            return SilenceEffect::Nothing;
        }
        self.silent_rounds += 1;
        if self.silent_rounds >= rule.close_after {
            SilenceEffect::Close
        } else if self.silent_rounds == rule.ping_after {
            SilenceEffect::Ping
        } else {
            SilenceEffect::Nothing
        }
    }

    const fn idle_round(&mut self, rule: &SilenceRule) -> SilenceEffect {
        self.silent_rounds = 0;
        self.idle_rounds += 1;
        if self.idle_rounds >= rule.idle_ping_every {
            self.idle_rounds = 0;
            return SilenceEffect::Ping;
        }
        SilenceEffect::Nothing
    }
}
