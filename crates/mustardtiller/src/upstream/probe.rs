//! Health probe of the upstream beside this daemon: its name and load.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;

use super::body::RequestBody;
use super::pool::connect;
use super::temperature::note_temperature;
use crate::board::ReadingStart;
use crate::daemon::Node;
use crate::gate::GateBody;
use crate::http::UpstreamLoad;
use crate::settings::DiscoverySettings;
use mustardtiller_core::Deadline;
use mustardtiller_core::UpstreamName;

/// Timeout of a probe, in milliseconds; short, as the health path needs no free slot.
const PROBE_TIMEOUT_MS: u64 = 400;

/// Largest body of a probe's answer, in bytes.
const MAX_PROBE_BODY_BYTES: usize = 4_096;

/// Health path until a configuration specifies one.
const DEFAULT_HEALTH_PATH: &str = "/health";

/// Name and load that an upstream reports.
///
/// The health status is ignored: it may be wrong either way, and answers to requests
/// are better evidence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeReport {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Load, if the answer has a valid load header.
    pub load: Option<UpstreamLoad>,
    /// Time for which the upstream stays cold, in milliseconds, if the answer says so.
    pub cold_ms: Option<u64>,
    /// What was known of its temperature when the probe was sent.
    pub begun: ReadingStart,
}

/// Probe the upstream for its name and load, on a new connection.
///
/// # Errors
///
/// Returns the cause as text if the probe fails or times out.
pub async fn probe(node: &Arc<Node>, discovery: &DiscoverySettings) -> Result<ProbeReport, String> {
    let deadline = Deadline::in_millis(node.clock.now(), PROBE_TIMEOUT_MS);
    let probing = async {
        let mut sender = connect(node, discovery.upstream, deadline).await?;
        query(&mut sender, node, discovery).await
    };
    let probed = node.clock.within(deadline, probing).await;
    probed.unwrap_or_else(|| Err("the health probe timed out".to_owned()))
}

/// Probe of the upstream's load that reuses its connection.
#[derive(Debug, Default)]
pub struct LoadProbe {
    idle: Option<SendRequest<RequestBody>>,
}

impl LoadProbe {
    /// Send one probe. The connection is kept only after a complete answer.
    ///
    /// # Errors
    ///
    /// Returns the cause as text if the probe fails, another upstream answers, or the
    /// answer has no valid load header.
    pub async fn query(
        &mut self,
        node: &Arc<Node>,
        discovery: &DiscoverySettings,
        deadline: Deadline,
    ) -> Result<UpstreamLoad, String> {
        let idle = self.idle.take().filter(SendRequest::is_ready);
        let probed = match idle {
            // An upstream may close an idle connection without notice.
            Some(sender) => match self.query_on(sender, node, discovery).await {
                Ok(probed) => Ok(probed),
                Err(_) => self.connect_and_query(node, discovery, deadline).await,
            },
            None => self.connect_and_query(node, discovery, deadline).await,
        }?;
        if !node.serves(probed.name.as_str()) {
            node.board.recheck_local.notify(1);
            return Err(format!(
                "the upstream {} answered instead of this daemon's own",
                probed.name
            ));
        }
        note_temperature(node, probed.begun, probed.cold_ms);
        probed
            .load
            .ok_or_else(|| "the answer has no valid load header".to_owned())
    }

    async fn connect_and_query(
        &mut self,
        node: &Arc<Node>,
        discovery: &DiscoverySettings,
        deadline: Deadline,
    ) -> Result<ProbeReport, String> {
        let sender = connect(node, discovery.upstream, deadline).await?;
        self.query_on(sender, node, discovery).await
    }

    async fn query_on(
        &mut self,
        mut sender: SendRequest<RequestBody>,
        node: &Node,
        discovery: &DiscoverySettings,
    ) -> Result<ProbeReport, String> {
        let probed = query(&mut sender, node, discovery).await?;
        if sender.ready().await.is_ok() {
            self.idle = Some(sender);
        }
        Ok(probed)
    }
}

async fn query(
    sender: &mut SendRequest<RequestBody>,
    node: &Node,
    discovery: &DiscoverySettings,
) -> Result<ProbeReport, String> {
    let body = RequestBody::new(
        GateBody::Buffered(Bytes::new()),
        Arc::new(AtomicBool::new(false)),
    );
    let request = Request::get(health_path(node, discovery))
        .header(HOST, discovery.upstream.to_string())
        .body(body)
        .map_err(|e| e.to_string())?;
    let begun = node.board.gate.cold.begin_reading(node.clock.now());
    let response = sender.send_request(request).await;
    let response = response.map_err(|e| e.to_string())?;
    let (head, body) = response.into_parts();
    let text = |name| head.headers.get(name)?.to_str().ok();
    let name = text(node.dialect.upstream).ok_or("the answer does not name the upstream")?;
    let load = text(node.dialect.load).and_then(node.dialect.read_load);
    let cold_ms = text(node.dialect.cold_ms).and_then(|ms| ms.trim().parse().ok());
    let body = Limited::new(body, MAX_PROBE_BODY_BYTES).collect().await;
    body.map_err(|e| e.to_string())?;
    Ok(ProbeReport {
        name: name.into(),
        load,
        cold_ms,
        begun,
    })
}

fn health_path(node: &Node, discovery: &DiscoverySettings) -> String {
    let configuration = node.board.configuration.read();
    let service = configuration
        .as_ref()
        .as_ref()
        .and_then(|configuration| configuration.service(&discovery.service));
    service.map_or_else(
        || DEFAULT_HEALTH_PATH.to_owned(),
        |service| service.health_path.to_string(),
    )
}
