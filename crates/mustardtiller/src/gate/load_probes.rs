//! On-demand load probes, which learn the upstream's slowdown before a request starts.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use event_listener::Event as Signal;

use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;
use crate::http::UpstreamLoad;
use crate::metrics::CounterId;
use crate::settings::DiscoverySettings;
use crate::upstream::LoadProbe;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::MeasurementBudget;
use mustardtiller_core::Temperature;

/// Age above which the slowdown is read again before a request starts, in microseconds.
///
/// Short compared with the 150 ms after which a host's speed typically changes.
const REFRESH_AGE_MICROS: u64 = 17_000;

/// Microseconds in a second.
const SECOND_MICROS: u64 = 1_000_000;

/// Longest wait of a request for a load probe, in milliseconds.
///
/// A much longer wait would cost a request more than a slow start does, given that
/// one start in four is slow.
const REFRESH_TIMEOUT_MS: u64 = 25;

/// Timeout of a load probe, in milliseconds.
///
/// A slow host also answers its probes late, so a late reading is worth having although
/// the request that asked for it waits no longer.
const PROBE_TIMEOUT_MS: u64 = 100;

/// Pause after a probe that failed or returned no load, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 500;

/// Pause after such a probe that also reads the upstream's temperature, in milliseconds.
///
/// Where starts are limited until a reading shows that it is warm, the next is due sooner.
const TEMPERATURE_PAUSE_MS: u64 = 100;

/// The handle through which requests trigger a load probe.
#[derive(Debug)]
pub struct LoadProbeHandle {
    /// Notified when a request begins to wait.
    requested: Signal,
    /// Requests that wait for a probe.
    waiting: AtomicU32,
    /// Whether a reading is wanted for which no request waits.
    wanted: AtomicBool,
    /// Whether probes are configured and the last one succeeded, or its pause is over.
    available: AtomicBool,
    /// Age up to which a reading of the slowdown is fresh enough, in microseconds.
    ///
    /// At least the interval between two probes, since requests would otherwise
    /// wait for a probe that the budget doesn't allow yet.
    max_age_micros: AtomicU64,
    /// When the probe that is out becomes late, in microseconds; zero while none is out.
    late_at: AtomicU64,
}

/// Return the pause after a probe of the upstream beside this daemon that failed.
fn failure_pause_ms(node: &Node) -> u64 {
    match node.board.gate.cold.rule() {
        None => FAILURE_PAUSE_MS,
        Some(_) => TEMPERATURE_PAUSE_MS,
    }
}

/// Counts one waiting request until dropped.
struct WaiterGuard<'a>(&'a AtomicU32);

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl LoadProbeHandle {
    /// Create the handle; probes are unavailable until the controller runs.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            requested: Signal::new(),
            waiting: AtomicU32::new(0),
            wanted: AtomicBool::new(false),
            available: AtomicBool::new(false),
            max_age_micros: AtomicU64::new(REFRESH_AGE_MICROS),
            late_at: AtomicU64::new(0),
        }
    }

    /// Report whether the last reading is stale and a probe can refresh it.
    pub fn needs_refresh(&self, node: &Node) -> bool {
        let age = node.board.gate.slowdown.age_micros(node.clock.now());
        self.allowed(node) && age > self.max_age_micros.load(Ordering::Relaxed)
    }

    /// Report whether the upstream may be probed now.
    ///
    /// One that has named a rate of requests is in need, and one that is cold has said
    /// for how long; neither gets load probes.
    pub fn allowed(&self, node: &Node) -> bool {
        let gate = &node.board.gate;
        self.available.load(Ordering::SeqCst)
            && gate.start_rate().is_none()
            && gate.cold.temperature(node.clock.now()) != Temperature::Cold
    }

    /// Trigger a load probe without waiting for it.
    pub fn request(&self) {
        self.wanted.store(true, Ordering::SeqCst);
        self.requested.notify(1);
    }

    /// Drop the wish for a reading after a good one, unless a doubt asks for another.
    fn settle(&self, node: &Node) {
        let wanted = self.wanted.swap(false, Ordering::SeqCst);
        if wanted && node.board.gate.cold.wants_reading(node.clock.now()) && self.allowed(node) {
            self.request();
        }
    }

    /// Take a reading of the temperature if one is wanted.
    ///
    /// Waits for it only if the upstream may start no request now because its
    /// temperature is not known.
    pub async fn read_temperature(&self, node: &Node) {
        let gate = &node.board.gate;
        let now = node.clock.now();
        if !gate.cold.wants_reading(now) || !self.allowed(node) {
            return;
        }
        let starts = gate.start_schedule(now);
        if starts.is_some_and(|starts| starts.next_start(gate.waiting(), now) > now) {
            self.refresh(node).await;
        } else {
            self.request();
        }
    }

    /// Trigger a load probe and wait for its result before a request starts.
    ///
    /// Returns whether the upstream answered the probe, or refused it, in time. While a
    /// probe is late, requests don't wait for it again.
    pub async fn refresh_to_start(&self, node: &Node) -> bool {
        !self.is_late(node.clock.now()) && self.refresh(node).await
    }

    fn is_late(&self, now: Instant) -> bool {
        let late_at = self.late_at.load(Ordering::SeqCst);
        late_at > 0 && late_at <= now.as_micros()
    }

    /// Trigger a load probe and wait for its result.
    ///
    /// Returns whether there is one within `REFRESH_TIMEOUT_MS`.
    pub async fn refresh(&self, node: &Node) -> bool {
        let limit = Deadline::in_millis(node.clock.now(), REFRESH_TIMEOUT_MS);
        let updated = node.board.gate.slowdown.updated.listen();
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let waiting = WaiterGuard(&self.waiting);
        self.requested.notify(1);
        let answered = node.clock.within(limit, updated).await.is_some();
        drop(waiting);
        answered
    }

    fn is_wanted(&self) -> bool {
        self.waiting.load(Ordering::SeqCst) > 0 || self.wanted.load(Ordering::SeqCst)
    }

    /// Wait until a probe is wanted.
    async fn wait_for_request(&self) {
        loop {
            let requested = self.requested.listen();
            if self.is_wanted() {
                return;
            }
            requested.await;
        }
    }
}

impl Default for LoadProbeHandle {
    fn default() -> Self {
        Self::new()
    }
}

/// Probe the upstream's load on demand, within the configured rate.
///
/// Returns at once if the settings allow no load probes.
pub async fn control_load_probes(node: Arc<Node>, discovery: DiscoverySettings) {
    let per_second = u64::from(discovery.load_probes_per_s);
    if per_second == 0 {
        return;
    }
    let mut budget = MeasurementBudget::new(per_second * 1_000, node.clock.now());
    let mut probe = LoadProbe::default();
    let max_age = REFRESH_AGE_MICROS.max(SECOND_MICROS / per_second);
    node.load_probes
        .max_age_micros
        .store(max_age, Ordering::Relaxed);
    node.load_probes.available.store(true, Ordering::SeqCst);
    while node.board.phase.read() < Phase::Stopped {
        node.load_probes.wait_for_request().await;
        if let Some(at) = budget.next_at() {
            node.clock.sleep_until(Deadline::at(at)).await;
        }
        if !node.load_probes.is_wanted() || !budget.try_take(node.clock.now()) {
            continue;
        }
        node.load_probes.wanted.store(false, Ordering::SeqCst);
        node.metrics.count(CounterId::Measurements);
        let result = query_in_time(&mut probe, &node, &discovery).await;
        match result {
            Ok(load) => {
                let now = node.clock.now();
                node.board.gate.slowdown.set(load.work_percent, now);
                node.load_probes.settle(&node);
            }
            Err(cause) => {
                node.metrics.count(CounterId::MeasurementsFailed);
                Event::MeasurementFailed.log(cause);
                node.load_probes.available.store(false, Ordering::SeqCst);
                node.board.gate.slowdown.updated.notify(usize::MAX);
                node.clock.sleep_millis(failure_pause_ms(&node)).await;
                node.load_probes.available.store(true, Ordering::SeqCst);
                // Nothing else asks for a reading while requests wait for one.
                let gate = &node.board.gate;
                if gate.waiting() > 0 && gate.cold.wants_reading(node.clock.now()) {
                    node.load_probes.request();
                }
            }
        }
    }
}

/// Send one load probe and wait for its answer until it times out.
async fn query_in_time(
    probe: &mut LoadProbe,
    node: &Arc<Node>,
    discovery: &DiscoverySettings,
) -> Result<UpstreamLoad, String> {
    let now = node.clock.now();
    let deadline = Deadline::in_millis(now, PROBE_TIMEOUT_MS);
    let late_at = Deadline::in_millis(now, REFRESH_TIMEOUT_MS).instant();
    let handle = &node.load_probes;
    handle.late_at.store(late_at.as_micros(), Ordering::SeqCst);
    let querying = probe.query(node, discovery, deadline);
    let result = node.clock.within(deadline, querying).await;
    handle.late_at.store(0, Ordering::SeqCst);
    result.unwrap_or_else(|| Err("the load probe timed out".to_owned()))
}
