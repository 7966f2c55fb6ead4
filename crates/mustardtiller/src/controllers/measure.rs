//! Measures the upstream within its budget, and learns when it leaves.

use std::sync::Arc;

use smol::future;

use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use crate::upstream::LoadMeasurement;
use crate::upstream::UpstreamState;
use crate::upstream::measure;
use mustardtiller_core::Deadline;
use mustardtiller_core::MeasureBudget;

/// Measure the upstream as often as its service's budget allows.
///
/// One daemon measures one upstream, and only while it holds the link's
/// address, so the budget holds for the fleet without any agreement.
pub async fn control_measure(node: Arc<Node>) {
    let mut budget = MeasureBudget::new(0, node.clock.now());
    let mut cold = false;
    while node.board.phase.read() < Phase::Draining {
        let configured = node.board.configuration.listen();
        budget.set(node.own_measure_budget());
        if budget.try_take(node.clock.now()) {
            node.metrics.count(CounterId::Measurements);
            match measure(&node).await {
                Ok(measured) => take(&node, measured, &mut cold),
                Err(e) => {
                    node.metrics.count(CounterId::MeasurementsFailed);
                    Event::MeasureFailed.log(e);
                }
            }
            budget.end(node.clock.now());
            continue;
        }
        let due = async {
            match budget.next_at() {
                Some(at) => node.clock.sleep_until(Deadline::at(at)).await,
                None => future::pending().await,
            }
        };
        let stopped = node.board.phase.reached(Phase::Draining);
        future::or(due, future::or(configured, stopped)).await;
    }
}

fn take(node: &Node, measured: LoadMeasurement, cold: &mut bool) {
    let leaving = measured.state == UpstreamState::Draining;
    node.note_leaving(leaving, "its load endpoint says so");
    let starting = measured.state == UpstreamState::Starting;
    if starting && !*cold {
        let now = node.clock.now();
        node.board
            .gate
            .warm_up(now, now.plus_micros(node.settings.ramp_ms * 1_000));
    }
    *cold = starting;
}
