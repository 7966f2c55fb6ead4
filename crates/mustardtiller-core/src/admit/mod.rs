//! What a gate admits: its concurrency limit and its short queue.

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
pub use queue::QueueFull;
pub use queue::Queued;
pub use queue::Urgency;
pub use queue::WaitQueue;
pub use queue::Waiter;
pub use speed::SLOW_PERCENT;
pub use speed::Speed;
