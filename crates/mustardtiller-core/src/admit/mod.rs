//! Admission control at a gate: concurrency limit, wait queue and forecast.

mod forecast;
mod held;
mod idle_callers;
mod knee;
mod limiter;
mod queue;
mod slowdown;
mod start_rate;

pub use forecast::Admission;
pub use forecast::AdmissionRequest;
pub use forecast::Forecast;
pub use forecast::QueueMode;
pub use held::HeldRule;
pub use held::STALLED_MS;
pub use held::StalledBody;
pub use idle_callers::CallerState;
pub use idle_callers::callers_to_close;
pub use idle_callers::longest_idle;
pub use knee::BandTimes;
pub use knee::KneeDetector;
pub use knee::KneeWindow;
pub use limiter::Limiter;
pub use limiter::LimiterBounds;
pub use limiter::LimiterWindow;
pub use queue::Queued;
pub use queue::RefusedWaiter;
pub use queue::Urgency;
pub use queue::WaitQueue;
pub use queue::Waiter;
pub use slowdown::SLOW_PERCENT;
pub use slowdown::Slowdown;
pub use start_rate::StartRate;
pub use start_rate::StartSchedule;
