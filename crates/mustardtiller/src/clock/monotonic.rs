//! Monotonic time since the process started.

use std::time::Duration;

use smol::Timer;
use smol::future;

use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;

/// The monotonic clock of one process; its epoch is its creation.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch: std::time::Instant,
}

impl Clock {
    /// Start a clock at its epoch.
    #[must_use]
    pub fn start() -> Self {
        Self {
            epoch: std::time::Instant::now(),
        }
    }

    /// Read the clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.epoch.elapsed().as_micros() as u64)
    }

    /// Wait until a deadline.
    pub async fn sleep_until(&self, deadline: Deadline) {
        Timer::at(self.timer_instant(deadline)).await;
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

    fn timer_instant(&self, deadline: Deadline) -> std::time::Instant {
        self.epoch + Duration::from_micros(deadline.instant().as_micros())
    }
}
