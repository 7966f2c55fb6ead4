//! Polls the upstream's load endpoint for its state, at a limited rate.

use std::sync::Arc;

use smol::future;

use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use crate::upstream::LoadMeasurement;
use crate::upstream::UpstreamState;
use crate::upstream::measure_load;
use mustardtiller_core::Deadline;
use mustardtiller_core::MeasurementBudget;

/// Measure the upstream's load as often as its service's budget allows.
///
/// One daemon measures one upstream, and only while it holds the link's
/// address, so the fleet keeps to the budget without coordination.
pub async fn control_measurements(node: Arc<Node>) {
    let mut budget = MeasurementBudget::new(0, node.clock.now());
    let mut was_starting = false;
    while node.board.phase.read() < Phase::Draining {
        let configured = node.board.configuration.listen();
        budget.set_rate(node.own_measurement_rate());
        if budget.try_take(node.clock.now()) {
            node.metrics.count(CounterId::Measurements);
            match measure_load(&node).await {
                Ok(measured) => apply_measurement(&node, measured, &mut was_starting),
                Err(e) => {
                    node.metrics.count(CounterId::MeasurementsFailed);
                    Event::MeasurementFailed.log(e);
                }
            }
            budget.record_end(node.clock.now());
            continue;
        }
        let measurement_due = async {
            match budget.next_at() {
                Some(at) => node.clock.sleep_until(Deadline::at(at)).await,
                None => future::pending().await,
            }
        };
        let stopped = node.board.phase.reached(Phase::Draining);
        future::or(measurement_due, future::or(configured, stopped)).await;
    }
}

fn apply_measurement(node: &Node, measured: LoadMeasurement, was_starting: &mut bool) {
    let leaving = measured.state == UpstreamState::Draining;
    node.note_leaving(leaving, "reported by its load endpoint");
    let starting = measured.state == UpstreamState::Starting;
    if starting && !*was_starting {
        let now = node.clock.now();
        node.board
            .gate
            .warm_up(now, now.plus_micros(node.settings.ramp_ms * 1_000));
    }
    *was_starting = starting;
}
