//! The lifecycle phase of the process.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use event_listener::Event;
use event_listener::EventListener;

/// A phase in the lifecycle of a daemon.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Serves requests.
    Serving,
    /// Announces that it is leaving, and still accepts requests from callers.
    Withdrawn,
    /// Refuses new requests and completes those in flight.
    Draining,
    /// Has closed its entry, and writes its last answers.
    Closing,
    /// Has nothing in flight, or has reached the stop deadline.
    Stopped,
}

/// The current phase, which only advances.
///
/// Written by [`Daemon::request_stop`](crate::Daemon::request_stop), which begins a
/// stop, and by the stop controller.
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
            3 => Phase::Closing,
            _ => Phase::Stopped,
        }
    }

    /// Advance to `phase` and wake all tasks that wait for a phase.
    ///
    /// Does nothing if the process is already in a later phase.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Wait until the process is in `phase` or a later one.
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
