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
/// assert_eq!(watch.step(&rule, 1, 10, false), SilenceEffect::Nothing);
/// assert_eq!(watch.step(&rule, 1, 10, false), SilenceEffect::Ping);
/// assert_eq!(watch.step(&rule, 1, 11, false), SilenceEffect::Nothing);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SilenceWatch {
    frames: u64,
    silent_rounds: u32,
    idle_rounds: u32,
    /// Rounds until the next ping for a clock exchange.
    exchange_in: u32,
    /// Pings for a clock exchange since one was last not due.
    exchanges: u32,
}

impl SilenceWatch {
    /// Count one round, and return what to do.
    ///
    /// `open` is the number of open streams, `frames` the number of frames ever
    /// received on the link. With `needs_exchange`, the estimate of the peer's clock
    /// is too wide, so the link is pinged although frames arrive on it.
    pub const fn step(
        &mut self,
        rule: &SilenceRule,
        open: u32,
        frames: u64,
        needs_exchange: bool,
    ) -> SilenceEffect {
        let received = frames != self.frames;
        self.frames = frames;
        let exchange = self.exchange_round(rule, needs_exchange);
        if !matches!(exchange, SilenceEffect::Nothing) && (received || open == 0) {
            return exchange;
        }
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

    /// Ping at once when an exchange becomes due, then at doubling intervals.
    ///
    /// A round trip may itself be wider than the error allowed.
    const fn exchange_round(&mut self, rule: &SilenceRule, needed: bool) -> SilenceEffect {
        if !needed {
            self.exchange_in = 0;
            self.exchanges = 0;
            return SilenceEffect::Nothing;
        }
        if self.exchange_in > 0 {
            self.exchange_in -= 1;
            return SilenceEffect::Nothing;
        }
        let doubled = 1_u32
            << if self.exchanges < 16 {
                self.exchanges
            } else {
                16
            };
        self.exchanges += 1;
        self.exchange_in = if doubled < rule.idle_ping_every {
            doubled
        } else {
            rule.idle_ping_every
        };
        SilenceEffect::Ping
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
