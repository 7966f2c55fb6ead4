//! One question to the upstream beside this daemon: who it is, and its load.

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
use crate::daemon::Node;
use crate::gate::GateBody;
use crate::http::UpstreamLoad;
use crate::settings::DiscoverySettings;
use mustardtiller_core::Deadline;
use mustardtiller_core::UpstreamName;

/// Time for a probe, in milliseconds; the health path answers without a slot.
const PROBE_MS: u64 = 400;

/// Largest body of an answer to a probe, in bytes.
const PROBE_BYTES: usize = 4_096;

/// Health path while no configuration tells another.
const FIRST_HEALTH_PATH: &str = "/health";

/// What an upstream says of itself.
///
/// Whether it calls itself healthy is left out: that may be false either way,
/// and its answers to requests tell better.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProbeReport {
    /// Its name.
    pub name: UpstreamName,
    /// Its load, if it tells one.
    pub load: Option<UpstreamLoad>,
}

/// Ask the upstream who it is.
///
/// # Errors
///
/// Returns the cause as text.
pub async fn probe(node: &Arc<Node>, discovery: &DiscoverySettings) -> Result<ProbeReport, String> {
    let deadline = Deadline::in_millis(node.clock.now(), PROBE_MS);
    let probing = async {
        let mut sender = connect(node, discovery.upstream, deadline).await?;
        query(&mut sender, node, discovery).await
    };
    let probed = node.clock.within(deadline, probing).await;
    probed.unwrap_or_else(|| Err("no answer in time".to_owned()))
}

/// Asks the upstream for its load, on a connection that is kept.
#[derive(Debug, Default)]
pub struct LoadProbe {
    kept: Option<SendRequest<RequestBody>>,
}

impl LoadProbe {
    /// Ask once. The connection is kept only if the answer came whole.
    ///
    /// # Errors
    ///
    /// Returns the cause as text.
    pub async fn query(
        &mut self,
        node: &Arc<Node>,
        discovery: &DiscoverySettings,
        deadline: Deadline,
    ) -> Result<UpstreamLoad, String> {
        let kept = self.kept.take().filter(SendRequest::is_ready);
        let probed = match kept {
            // An upstream may forget an idle connection without notice.
            Some(sender) => match self.ask_on(sender, node, discovery).await {
                Ok(probed) => Ok(probed),
                Err(_) => self.ask_anew(node, discovery, deadline).await,
            },
            None => self.ask_anew(node, discovery, deadline).await,
        }?;
        if !node.serves(probed.name.as_str()) {
            node.board.recheck_local.notify(1);
            return Err(format!("{} answers at the address", probed.name));
        }
        probed.load.ok_or_else(|| "it tells no load".to_owned())
    }

    async fn ask_anew(
        &mut self,
        node: &Arc<Node>,
        discovery: &DiscoverySettings,
        deadline: Deadline,
    ) -> Result<ProbeReport, String> {
        let sender = connect(node, discovery.upstream, deadline).await?;
        self.ask_on(sender, node, discovery).await
    }

    async fn ask_on(
        &mut self,
        mut sender: SendRequest<RequestBody>,
        node: &Node,
        discovery: &DiscoverySettings,
    ) -> Result<ProbeReport, String> {
        let probed = query(&mut sender, node, discovery).await?;
        if sender.ready().await.is_ok() {
            self.kept = Some(sender);
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
    let response = sender.send_request(request).await;
    let response = response.map_err(|e| e.to_string())?;
    let (head, body) = response.into_parts();
    let text = |name| head.headers.get(name)?.to_str().ok();
    let name = text(node.dialect.upstream).ok_or("the answer names no upstream")?;
    let load = text(node.dialect.load).and_then(node.dialect.read_load);
    let body = Limited::new(body, PROBE_BYTES).collect().await;
    body.map_err(|e| e.to_string())?;
    Ok(ProbeReport {
        name: name.into(),
        load,
    })
}

fn health_path(node: &Node, discovery: &DiscoverySettings) -> String {
    let configuration = node.board.configuration.read();
    let service = configuration
        .as_ref()
        .as_ref()
        .and_then(|configuration| configuration.service(&discovery.service));
    service.map_or_else(
        || FIRST_HEALTH_PATH.to_owned(),
        |service| service.health_path.to_string(),
    )
}
