//! One measurement of the upstream's own view of its load.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;

use super::body::RequestBody;
use super::pool::connect;
use crate::daemon::Node;
use crate::gate::GateBody;
use mustardtiller_core::Deadline;

/// Time to connect for a measurement, in milliseconds.
const CONNECT_MS: u64 = 1_000;

/// Largest answer to a measurement, in bytes.
const MEASURE_BYTES: usize = 4_096;

/// What an upstream says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// It serves.
    Live,
    /// It has started and is cold.
    Starting,
    /// It is leaving.
    Draining,
}

/// The result of one measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadMeasurement {
    /// What the upstream says of itself.
    pub state: UpstreamState,
    /// Requests that it says are in flight.
    pub in_flight: u32,
}

/// Ask the upstream for its load: one call, on a connection of its own.
///
/// Waits for the answer however long it takes: one that was given up could be
/// counted late by an upstream that was paused, beside its successor.
///
/// # Errors
///
/// Returns the cause as text.
pub async fn measure(node: &Arc<Node>) -> Result<LoadMeasurement, String> {
    let upstream = node
        .own_upstream()
        .ok_or("the upstream is not configured")?;
    let deadline = Deadline::in_millis(node.clock.now(), CONNECT_MS);
    let mut sender = connect(node, upstream.address, deadline).await?;
    let cut = Arc::new(AtomicBool::new(false));
    let body = RequestBody::new(GateBody::Buffered(Bytes::new()), cut);
    let request = Request::get("/load").header("host", "load").body(body);
    let request = request.map_err(|e| e.to_string())?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    let body = Limited::new(response.into_body(), MEASURE_BYTES);
    let body = body.collect().await.map_err(|e| e.to_string())?;
    read_load(&body.to_bytes())
}

/// Read `key=value` words: `state` and `in_flight`.
fn read_load(bytes: &[u8]) -> Result<LoadMeasurement, String> {
    let text = std::str::from_utf8(bytes).map_err(|e| e.to_string())?;
    let value = |key: &str| {
        let mut words = text
            .split_whitespace()
            .filter_map(|word| word.split_once('='));
        words.find(|(name, _)| *name == key).map(|(_, value)| value)
    };
    let state = match value("state") {
        Some("live") => UpstreamState::Live,
        Some("starting") => UpstreamState::Starting,
        Some("draining") => UpstreamState::Draining,
        other => return Err(format!("state is {other:?}")),
    };
    let in_flight = value("in_flight").and_then(|number| number.parse().ok());
    Ok(LoadMeasurement {
        state,
        in_flight: in_flight.unwrap_or_default(),
    })
}
