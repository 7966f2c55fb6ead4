//! The reason for which a request without a route is refused.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::board::Board;
use crate::board::Routes;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::MissView;
use mustardtiller_core::NotRunReason;

/// Until when the configuration in force may be outdated.
///
/// Written by the configuration controller.
#[derive(Debug)]
pub struct Doubt {
    /// The deadline, in microseconds.
    until_micros: AtomicU64,
}

impl Doubt {
    /// Create the state of a daemon that has no configuration yet.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            until_micros: AtomicU64::new(u64::MAX),
        }
    }

    /// Set until when the configuration in force may be outdated.
    pub fn set(&self, until: Deadline) {
        let micros = until.instant().as_micros();
        self.until_micros.store(micros, Ordering::SeqCst);
    }

    /// Return until when the configuration in force may be outdated.
    #[must_use]
    pub fn until(&self) -> Deadline {
        let micros = self.until_micros.load(Ordering::SeqCst);
        Deadline::at(Instant::from_micros(micros))
    }
}

impl Default for Doubt {
    fn default() -> Self {
        Self::new()
    }
}

impl Board {
    /// Return why a request that has no route in `routes` is refused.
    ///
    /// `miss` is the reason if the routes prove that there is none.
    #[must_use]
    pub fn refuse_miss(&self, routes: &Routes, miss: NotRunReason, now: Instant) -> NotRunReason {
        let configuration = self.configuration.read();
        let in_force = configuration.as_ref().as_ref().map(|c| c.version);
        let view = MissView {
            derived: routes.version,
            in_force: in_force.unwrap_or_default(),
            doubted_until: self.doubt.until(),
        };
        view.refuse(miss, now)
    }
}
