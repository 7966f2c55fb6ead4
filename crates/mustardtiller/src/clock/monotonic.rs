//! Time since the process started, suspensions of the host included.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use smol::Timer;
use smol::future;

use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;

/// The clock of one process; its epoch is its creation.
///
/// It never jumps with the time of day, and it goes on while the host is
/// suspended: a daemon that wakes up finds the deadlines passed.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch_micros: u64,
}

impl Clock {
    /// Start a clock at its epoch.
    #[must_use]
    pub fn start() -> Self {
        Self {
            epoch_micros: boot_micros(),
        }
    }

    /// Read the clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::from_micros(boot_micros().saturating_sub(self.epoch_micros))
    }

    /// Wait until a deadline.
    pub async fn sleep_until(&self, deadline: Deadline) {
        Timer::after(deadline.remaining(self.now())).await;
    }

    /// Wait for `millis` milliseconds.
    pub async fn sleep_millis(&self, millis: u64) {
        Timer::after(Duration::from_millis(millis)).await;
    }

    /// Run `work` until a deadline; `None` if the deadline came first.
    pub async fn within<T>(&self, deadline: Deadline, work: impl Future<Output = T>) -> Option<T> {
        let done = async { Some(work.await) };
        let late = async {
            self.sleep_until(deadline).await;
            None
        };
        future::or(done, late).await
    }
}

fn boot_micros() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * 1_000_000 + nanos / 1_000
}
