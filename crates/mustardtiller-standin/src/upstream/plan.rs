//! The behaviour of a stand-in upstream; can be changed while it runs.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Header fields that an upstream takes in one request, unless it is told otherwise.
const DEFAULT_MAX_FIELDS: usize = 100;

/// The behaviour of one upstream.
#[derive(Debug)]
pub struct UpstreamPlan {
    service_micros: AtomicU64,
    max_fields: AtomicUsize,
    draining: AtomicBool,
    starting: AtomicBool,
    failing: AtomicBool,
    frozen: AtomicBool,
}

impl UpstreamPlan {
    /// Create a plan that answers each request after `service_micros` microseconds.
    #[must_use]
    pub const fn new(service_micros: u64) -> Self {
        Self {
            service_micros: AtomicU64::new(service_micros),
            max_fields: AtomicUsize::new(DEFAULT_MAX_FIELDS),
            draining: AtomicBool::new(false),
            starting: AtomicBool::new(false),
            failing: AtomicBool::new(false),
            frozen: AtomicBool::new(false),
        }
    }

    /// Set the service time, in microseconds.
    pub fn set_service_micros(&self, micros: u64) {
        self.service_micros.store(micros, Ordering::SeqCst);
    }

    /// Return the service time, in microseconds.
    #[must_use]
    pub fn service_micros(&self) -> u64 {
        self.service_micros.load(Ordering::SeqCst)
    }

    /// Set how many header fields a request may have, on connections made from now on.
    pub fn set_max_fields(&self, fields: usize) {
        self.max_fields.store(fields, Ordering::SeqCst);
    }

    /// Return how many header fields a request may have.
    #[must_use]
    pub fn max_fields(&self) -> usize {
        self.max_fields.load(Ordering::SeqCst)
    }

    /// Report the state `draining` on `/load` and in a header of every answer.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::SeqCst);
    }

    /// Report the state `starting` on `/load`, unless it drains.
    pub fn set_starting(&self, starting: bool) {
        self.starting.store(starting, Ordering::SeqCst);
    }

    /// Answer every request except `/load` with a 503 at once.
    pub fn set_failing(&self, failing: bool) {
        self.failing.store(failing, Ordering::SeqCst);
    }

    /// Stop answering; `/load` requests are answered after the freeze, others never.
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
