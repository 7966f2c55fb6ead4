//! Connections to the upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use concurrent_queue::ConcurrentQueue;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use super::body::RequestBody;
use crate::daemon::Node;
use crate::metrics::CounterId;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;

/// Idle connections that are kept.
const KEPT_CONNECTIONS: usize = 64;

/// Time for which an idle connection may be used again, in milliseconds.
const KEPT_MS: u64 = 2_000;

/// Time to make a connection, in milliseconds.
const CONNECT_MS: u64 = 1_000;

/// Time for an answered connection to become ready again, in milliseconds.
const READY_MS: u64 = 1_000;

struct Idle {
    sender: SendRequest<RequestBody>,
    until: Deadline,
}

/// Idle connections to the upstream, shared without a lock.
pub struct UpstreamPool {
    idle: ConcurrentQueue<Idle>,
}

impl UpstreamPool {
    /// Start with no connection.
    #[must_use]
    pub fn new() -> Self {
        Self {
            idle: ConcurrentQueue::bounded(KEPT_CONNECTIONS),
        }
    }

    /// Take an idle connection that is still good.
    pub fn take(&self, now: Instant) -> Option<SendRequest<RequestBody>> {
        while let Ok(idle) = self.idle.pop() {
            if idle.sender.is_ready() && !idle.until.has_passed(now) {
                return Some(idle.sender);
            }
        }
        None
    }

    fn put(&self, sender: SendRequest<RequestBody>, now: Instant) {
        let until = Deadline::in_millis(now, KEPT_MS);
        // A full pool closes the connection.
        let _ = self.idle.push(Idle { sender, until });
    }
}

impl Default for UpstreamPool {
    fn default() -> Self {
        Self::new()
    }
}

impl std::fmt::Debug for UpstreamPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("UpstreamPool")
            .field("idle", &self.idle.len())
            .finish()
    }
}

/// Put a connection back once its answer has been read.
pub fn put_back(node: &Arc<Node>, mut sender: SendRequest<RequestBody>) {
    let clock = node.clock;
    let owner = Arc::clone(node);
    node.spawn(async move {
        let deadline = Deadline::in_millis(clock.now(), READY_MS);
        if let Some(Ok(())) = clock.within(deadline, sender.ready()).await {
            owner.pool.put(sender, clock.now());
        }
    });
}

/// Make a new connection to the upstream.
///
/// # Errors
///
/// Returns the cause as text.
pub async fn connect(
    node: &Arc<Node>,
    address: SocketAddr,
    deadline: Deadline,
) -> Result<SendRequest<RequestBody>, String> {
    let limit = Deadline::in_millis(node.clock.now(), CONNECT_MS).min(deadline);
    let connecting = async {
        let socket = TcpStream::connect(address)
            .await
            .map_err(|e| e.to_string())?;
        socket.set_nodelay(true).map_err(|e| e.to_string())?;
        let handshake = http1::handshake(FuturesIo::new(socket)).await;
        handshake.map_err(|e| e.to_string())
    };
    let connected = node.clock.within(limit, connecting).await;
    let (sender, connection) = connected.unwrap_or_else(|| Err("no answer in time".to_owned()))?;
    node.metrics.count(CounterId::UpstreamConnections);
    node.spawn(async move {
        // The request in flight reports its own error.
        let _ = connection.await;
    });
    Ok(sender)
}
