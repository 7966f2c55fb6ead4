//! Whether the upstream takes new requests: leaving, registered, reachable.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use super::GateState;

impl GateState {
    /// Record whether the upstream says that it is leaving. Returns the previous value.
    pub fn set_leaving(&self, leaving: bool) -> bool {
        self.swap_availability(&self.leaving, leaving)
    }

    /// Record whether the host list or registry marks the upstream as leaving.
    ///
    /// Returns the previous value.
    pub fn set_listed_leaving(&self, leaving: bool) -> bool {
        self.swap_availability(&self.listed_leaving, leaving)
    }

    /// Report whether the upstream is leaving, and so gets no new requests.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
            || self.listed_leaving.load(Ordering::SeqCst)
            || self.announced_leaving()
    }

    /// Record that an upstream has said itself that it is leaving.
    ///
    /// `started_ms` is its start, in milliseconds of Unix time, if that is known. What
    /// it said holds until a later start. Returns whether it had said so before.
    pub fn announce_leaving(&self, started_ms: Option<u64>) -> bool {
        self.announced_by
            .store(started_ms.unwrap_or(u64::MAX), Ordering::SeqCst);
        self.swap_availability(&self.announced_leaving, true)
    }

    /// Report whether the upstream has said itself that it is leaving.
    #[must_use]
    pub fn announced_leaving(&self) -> bool {
        self.announced_leaving.load(Ordering::SeqCst)
    }

    /// Record the start of the registered upstream, in milliseconds of Unix time.
    ///
    /// Returns whether it is later than that of the one that announced to leave, whose
    /// announcement is then void.
    pub fn end_announcement(&self, started_ms: u64) -> bool {
        self.announced_leaving()
            && started_ms > self.announced_by.load(Ordering::SeqCst)
            && self.swap_availability(&self.announced_leaving, false)
    }

    /// Record that the registry has listed the upstream.
    pub fn set_registered(&self) {
        self.registered.store(true, Ordering::SeqCst);
    }

    /// Report whether the registry has ever listed the upstream.
    #[must_use]
    pub fn was_registered(&self) -> bool {
        self.registered.load(Ordering::SeqCst)
    }

    /// Record whether the upstream is unreachable. Returns the previous value.
    pub fn set_down(&self, down: bool) -> bool {
        self.swap_availability(&self.down, down)
    }

    /// Set a flag that affects availability, and notify listeners of a change.
    pub(super) fn swap_availability(&self, flag: &AtomicBool, value: bool) -> bool {
        let before = flag.swap(value, Ordering::SeqCst);
        if before != value {
            self.availability.notify(usize::MAX);
        }
        before
    }

    /// Report whether the upstream is unreachable.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }
}
