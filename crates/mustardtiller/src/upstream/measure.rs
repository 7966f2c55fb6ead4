//! Measurement of the load that the upstream reports on its load endpoint.

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

/// Timeout for the connection of a measurement, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Largest body of a measurement's answer, in bytes.
const MAX_MEASUREMENT_BODY_BYTES: usize = 4_096;

/// State that an upstream reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// It accepts requests.
    Live,
    /// It has just started and is cold.
    Starting,
    /// It is draining.
    Draining,
}

/// Result of one measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadMeasurement {
    /// State that the upstream reports.
    pub state: UpstreamState,
    /// Requests that the upstream reports as in flight.
    pub in_flight: u32,
}

/// Request the upstream's load once, on a separate connection.
///
/// Waits for the answer without a timeout: a paused upstream could count an abandoned
/// measurement later, together with the next one.
///
/// # Errors
///
/// Returns the cause as text if the upstream is not configured or unreachable, or its
/// answer is malformed.
pub async fn measure_load(node: &Arc<Node>) -> Result<LoadMeasurement, String> {
    let upstream = node
        .own_upstream()
        .ok_or("the configuration does not name this daemon's upstream")?;
    let deadline = Deadline::in_millis(node.clock.now(), CONNECT_TIMEOUT_MS);
    let mut sender = connect(node, upstream.address, deadline).await?;
    let body_cut = Arc::new(AtomicBool::new(false));
    let body = RequestBody::new(GateBody::Buffered(Bytes::new()), body_cut);
    let request = Request::get("/load").header("host", "load").body(body);
    let request = request.map_err(|e| e.to_string())?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    let body = Limited::new(response.into_body(), MAX_MEASUREMENT_BODY_BYTES);
    let body = body.collect().await.map_err(|e| e.to_string())?;
    read_load(&body.to_bytes())
}

/// Parse `state` and `in_flight` from `key=value` words.
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
        other => return Err(format!("unknown upstream state {other:?}")),
    };
    let in_flight = value("in_flight").and_then(|number| number.parse().ok());
    Ok(LoadMeasurement {
        state,
        in_flight: in_flight.unwrap_or_default(),
    })
}
