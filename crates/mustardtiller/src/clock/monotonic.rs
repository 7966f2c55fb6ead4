//! Monotonic time since the process started, including time while the host was suspended.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use smol::Timer;
use smol::future;

use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;

/// Monotonic clock of one process, with the time of its creation as epoch.
///
/// It is independent of wall-clock changes and advances while the host is
/// suspended, so deadlines have passed when the host resumes.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch_micros: u64,
}

impl Clock {
    /// Start a clock with the current time as epoch.
    #[must_use]
    pub fn start() -> Self {
        Self {
            epoch_micros: boot_micros(),
        }
    }

    /// Return the current time.
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

    /// Run `work` until a deadline.
    ///
    /// Drops `work` and returns `None` if the deadline passes first.
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
