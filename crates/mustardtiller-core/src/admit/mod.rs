//! What a gate admits: its concurrency limit and its short queue.

mod forecast;
mod knee;
mod limiter;
mod queue;
mod slowdown;

pub use forecast::Admission;
pub use forecast::AdmissionRequest;
pub use forecast::Forecast;
pub use forecast::QueueMode;
pub use knee::BandTimes;
pub use knee::KneeDetector;
pub use knee::KneeWindow;
pub use limiter::Limiter;
pub use limiter::LimiterBounds;
pub use limiter::LimiterWindow;
pub use queue::QueueFull;
pub use queue::Queued;
pub use queue::Urgency;
pub use queue::WaitQueue;
pub use queue::Waiter;
pub use slowdown::SLOW_PERCENT;
pub use slowdown::Slowdown;
