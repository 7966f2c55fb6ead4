//! A count of quiet rounds while work waits on a link.

/// When a link counts as silent, in rounds of the watch.
#[derive(Clone, Copy, Debug)]
pub struct SilenceRule {
    /// Quiet rounds with work waiting, from which the peer is asked.
    pub ask_after: u32,
    /// Quiet rounds with work waiting, from which the link is given up.
    pub close_after: u32,
    /// Rounds without work between two questions that keep the clock fresh.
    pub idle_ask_every: u32,
}

impl Default for SilenceRule {
    fn default() -> Self {
        Self {
            ask_after: 1,
            close_after: 4,
            idle_ask_every: 120,
        }
    }
}

/// What to do about a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SilenceEffect {
    /// Nothing.
    Nothing,
    /// Ask for a sign of life.
    Ping,
    /// Give the link up.
    Close,
}

/// Watches one link, once a round.
///
/// Rounds are counted and not time: a process that was paused finds one round
/// gone, and reads what has come before it may give anything up.
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
    quiet: u32,
    idle: u32,
}

impl SilenceWatch {
    /// Take one round: streams open on the link, and frames that ever came.
    pub const fn step(&mut self, rule: &SilenceRule, open: u32, frames: u64) -> SilenceEffect {
        let heard = frames != self.frames;
        self.frames = frames;
        if open == 0 {
            return self.idle_round(rule);
        }
        self.idle = 0;
        if heard {
            self.quiet = 0;
            return SilenceEffect::Nothing;
        }
        self.quiet += 1;
        if self.quiet >= rule.close_after {
            SilenceEffect::Close
        } else if self.quiet == rule.ask_after {
            SilenceEffect::Ping
        } else {
            SilenceEffect::Nothing
        }
    }

    const fn idle_round(&mut self, rule: &SilenceRule) -> SilenceEffect {
        self.quiet = 0;
        self.idle += 1;
        if self.idle >= rule.idle_ask_every {
            self.idle = 0;
            return SilenceEffect::Ping;
        }
        SilenceEffect::Nothing
    }
}
