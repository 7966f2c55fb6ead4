//! Asks the upstream how fast it works, when a request is about to start.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use event_listener::Event as Signal;

use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use crate::settings::DiscoverySettings;
use crate::upstream::LoadProbe;
use mustardtiller_core::Deadline;
use mustardtiller_core::MeasureBudget;

/// Age from which what an upstream said of its speed is asked again before a
/// request starts, in microseconds: short against the 150 ms for which hosts
/// keep a speed.
const FRESH_MICROS: u64 = 17_000;

/// Microseconds in a second.
const SECOND_MICROS: u64 = 1_000_000;

/// Time for which a request waits to hear the upstream's speed, in milliseconds;
/// much more would cost it more than a slow start in one of four does.
const HEAR_MS: u64 = 25;

/// Pause after a probe that failed or brought no load, in milliseconds.
const PAUSE_MS: u64 = 500;

/// Where requests ask for the upstream's speed.
#[derive(Debug)]
pub struct LoadProbeHandle {
    wanted: Signal,
    waiting: AtomicU32,
    answers: AtomicBool,
    /// Age up to which news of the speed will do, in microseconds: no less than
    /// the time between two probes, or requests would wait for one in vain.
    fresh_micros: AtomicU64,
}

/// One that waits to hear the speed, counted until it is dropped.
struct Waiting<'a>(&'a AtomicU32);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl LoadProbeHandle {
    /// Open the desk.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            wanted: Signal::new(),
            waiting: AtomicU32::new(0),
            answers: AtomicBool::new(false),
            fresh_micros: AtomicU64::new(FRESH_MICROS),
        }
    }

    /// Report whether the upstream's speed is to be asked before a request starts.
    pub fn is_wanted(&self, node: &Node) -> bool {
        let age = node.board.gate.slowdown.age_micros(node.clock.now());
        self.answers.load(Ordering::SeqCst) && age > self.fresh_micros.load(Ordering::Relaxed)
    }

    /// Wait until the upstream has said how fast it works, or for a moment in vain.
    pub async fn hear(&self, node: &Node) {
        let limit = Deadline::in_millis(node.clock.now(), HEAR_MS);
        let heard = node.board.gate.slowdown.heard.listen();
        self.waiting.fetch_add(1, Ordering::SeqCst);
        let waiting = Waiting(&self.waiting);
        self.wanted.notify(1);
        // In vain, the request goes on with what was known before.
        let _ = node.clock.within(limit, heard).await;
        drop(waiting);
    }

    async fn someone(&self) {
        loop {
            let wanted = self.wanted.listen();
            if self.waiting.load(Ordering::SeqCst) > 0 {
                return;
            }
            wanted.await;
        }
    }
}

impl Default for LoadProbeHandle {
    fn default() -> Self {
        Self::new()
    }
}

/// Probe the upstream's load while somebody waits for it, within the budget.
pub async fn control_load_probes(node: Arc<Node>, discovery: DiscoverySettings) {
    let per_second = u64::from(discovery.load_probes_per_s);
    if per_second == 0 {
        return;
    }
    let mut budget = MeasureBudget::new(per_second * 1_000, node.clock.now());
    let mut probe = LoadProbe::default();
    let fresh = FRESH_MICROS.max(SECOND_MICROS / per_second);
    node.load_probes
        .fresh_micros
        .store(fresh, Ordering::Relaxed);
    node.load_probes.answers.store(true, Ordering::SeqCst);
    while node.board.phase.read() < Phase::Stopped {
        node.load_probes.someone().await;
        if let Some(at) = budget.next_at() {
            node.clock.sleep_until(Deadline::at(at)).await;
        }
        if node.load_probes.waiting.load(Ordering::SeqCst) == 0
            || !budget.try_take(node.clock.now())
        {
            continue;
        }
        let deadline = Deadline::in_millis(node.clock.now(), HEAR_MS);
        node.metrics.count(CounterId::Measurements);
        let asked = probe.query(&node, &discovery, deadline);
        let asked = node.clock.within(deadline, asked).await;
        match asked.unwrap_or_else(|| Err("no answer in time".to_owned())) {
            Ok(load) => {
                let now = node.clock.now();
                node.board.gate.slowdown.set(load.work_percent, now);
            }
            Err(cause) => {
                node.metrics.count(CounterId::MeasurementsFailed);
                Event::MeasureFailed.log(cause);
                node.load_probes.answers.store(false, Ordering::SeqCst);
                node.board.gate.slowdown.heard.notify(usize::MAX);
                node.clock.sleep_millis(PAUSE_MS).await;
                node.load_probes.answers.store(true, Ordering::SeqCst);
            }
        }
    }
}
