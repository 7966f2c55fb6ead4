//! Admission control at a gate: concurrency limit, wait queue and forecast.

mod forecast;
mod knee;
mod limiter;
mod queue;
mod speed;

pub use forecast::Admission;
pub use forecast::Forecast;
pub use forecast::Patience;
pub use forecast::Wish;
pub use knee::Band;
pub use knee::Knee;
pub use knee::KneeWindow;
pub use limiter::Limiter;
pub use limiter::LimiterBounds;
pub use limiter::LimiterWindow;
pub use queue::Queued;
pub use queue::RefusedWaiter;
pub use queue::Urgency;
pub use queue::WaitQueue;
pub use queue::Waiter;
pub use speed::SLOW_PERCENT;
pub use speed::Speed;
