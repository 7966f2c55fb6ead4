//! How a stand-in upstream behaves; may be changed while it runs.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// The behaviour of one upstream.
#[derive(Debug)]
pub struct UpstreamPlan {
    service_micros: AtomicU64,
    draining: AtomicBool,
    starting: AtomicBool,
    failing: AtomicBool,
    frozen: AtomicBool,
}

impl UpstreamPlan {
    /// Answer each request after `service_micros` microseconds.
    #[must_use]
    pub const fn new(service_micros: u64) -> Self {
        Self {
            service_micros: AtomicU64::new(service_micros),
            draining: AtomicBool::new(false),
            starting: AtomicBool::new(false),
            failing: AtomicBool::new(false),
            frozen: AtomicBool::new(false),
        }
    }

    /// Set the time of an answer, in microseconds.
    pub fn set_service_micros(&self, micros: u64) {
        self.service_micros.store(micros, Ordering::SeqCst);
    }

    /// Return the time of an answer, in microseconds.
    #[must_use]
    pub fn service_micros(&self) -> u64 {
        self.service_micros.load(Ordering::SeqCst)
    }

    /// Say on the load endpoint and on answers that it drains.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::SeqCst);
    }

    /// Say on the load endpoint that it has just started.
    pub fn set_starting(&self, starting: bool) {
        self.starting.store(starting, Ordering::SeqCst);
    }

    /// Answer every request with an error at once.
    pub fn set_failing(&self, failing: bool) {
        self.failing.store(failing, Ordering::SeqCst);
    }

    /// Answer nothing.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.store(frozen, Ordering::SeqCst);
    }

    pub(super) fn is_failing(&self) -> bool {
        self.failing.load(Ordering::SeqCst)
    }

    pub(super) fn is_frozen(&self) -> bool {
        self.frozen.load(Ordering::SeqCst)
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    pub(super) fn state(&self) -> &'static str {
        if self.is_draining() {
            "draining"
        } else if self.starting.load(Ordering::SeqCst) {
            "starting"
        } else {
            "live"
        }
    }
}
