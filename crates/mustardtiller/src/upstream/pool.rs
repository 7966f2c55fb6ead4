//! Connections to the upstream, and the pool of idle ones.

use std::net::SocketAddr;
use std::sync::Arc;

use concurrent_queue::ConcurrentQueue;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use smol::net::TcpStream;

use super::body::RequestBody;
use crate::daemon::Node;
use crate::http::FairSocket;
use crate::metrics::CounterId;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;

/// Largest buffer of a connection, in bytes, and so the largest head of an answer.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Most idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Time for which an idle connection may be reused, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 2_000;

/// Timeout for making a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Timeout for a connection to become ready again after an answer, in milliseconds.
const READY_TIMEOUT_MS: u64 = 1_000;

struct IdleConnection {
    sender: SendRequest<RequestBody>,
    reuse_until: Deadline,
}

/// Lock-free pool of idle connections to the upstream.
pub struct UpstreamPool {
    idle: ConcurrentQueue<IdleConnection>,
}

impl UpstreamPool {
    /// Create an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self {
            idle: ConcurrentQueue::bounded(MAX_IDLE_CONNECTIONS),
        }
    }

    /// Take an idle connection that is still usable.
    pub fn take(&self, now: Instant) -> Option<SendRequest<RequestBody>> {
        while let Ok(idle) = self.idle.pop() {
            if idle.sender.is_ready() && !idle.reuse_until.has_passed(now) {
                return Some(idle.sender);
            }
        }
        None
    }

    fn put(&self, sender: SendRequest<RequestBody>, now: Instant) {
        let reuse_until = Deadline::in_millis(now, IDLE_TIMEOUT_MS);
        // If the pool is full, the connection is dropped and closes.
        let _ = self.idle.push(IdleConnection {
            sender,
            reuse_until,
        });
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

/// Return a connection to the pool after its answer has been read.
pub fn put_back(node: &Arc<Node>, mut sender: SendRequest<RequestBody>) {
    let clock = node.clock;
    let owner = Arc::clone(node);
    node.spawn(async move {
        let deadline = Deadline::in_millis(clock.now(), READY_TIMEOUT_MS);
        if let Some(Ok(())) = clock.within(deadline, sender.ready()).await {
            owner.pool.put(sender, clock.now());
        }
    });
}

/// Open a new connection to the upstream.
///
/// # Errors
///
/// Returns the cause as text if the connection fails or times out.
pub async fn connect(
    node: &Arc<Node>,
    address: SocketAddr,
    deadline: Deadline,
) -> Result<SendRequest<RequestBody>, String> {
    let limit = Deadline::in_millis(node.clock.now(), CONNECT_TIMEOUT_MS).min(deadline);
    let connecting = async {
        let socket = TcpStream::connect(address)
            .await
            .map_err(|e| e.to_string())?;
        socket.set_nodelay(true).map_err(|e| e.to_string())?;
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(FairSocket::new(socket))
            .await;
        handshake.map_err(|e| e.to_string())
    };
    let connected = node.clock.within(limit, connecting).await;
    let (sender, connection) =
        connected.unwrap_or_else(|| Err("connecting to the upstream timed out".to_owned()))?;
    node.metrics.count(CounterId::UpstreamConnections);
    node.spawn(async move {
        // An error here also reaches the request in flight, which reports it.
        let _ = connection.await;
    });
    Ok(sender)
}
