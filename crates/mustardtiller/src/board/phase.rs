//! Where the process stands between start and end.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use event_listener::Event;
use event_listener::EventListener;

/// A phase in the life of a daemon.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It says that it is leaving and still takes requests from callers.
    Withdrawn,
    /// It takes no new request and finishes those in flight.
    Draining,
    /// It is empty.
    Stopped,
}

/// The phase, which only moves forward. Written by the stop controller.
#[derive(Debug)]
pub struct PhaseCell {
    phase: AtomicU8,
    changed: Event,
}

impl PhaseCell {
    /// Start in [`Phase::Serving`].
    #[must_use]
    pub const fn new() -> Self {
        Self {
            phase: AtomicU8::new(Phase::Serving as u8),
            changed: Event::new(),
        }
    }

    /// Read the phase.
    #[must_use]
    pub fn read(&self) -> Phase {
        match self.phase.load(Ordering::SeqCst) {
            0 => Phase::Serving,
            1 => Phase::Withdrawn,
            2 => Phase::Draining,
            _ => Phase::Stopped,
        }
    }

    /// Move forward to `phase` and wake who waits for it.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Wait until the phase is `phase` or a later one.
    pub async fn reached(&self, phase: Phase) {
        loop {
            let changed: EventListener = self.changed.listen();
            if self.read() >= phase {
                return;
            }
            changed.await;
        }
    }
}

impl Default for PhaseCell {
    fn default() -> Self {
        Self::new()
    }
}
