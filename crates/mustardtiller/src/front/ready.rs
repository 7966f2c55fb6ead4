//! Readiness endpoint, polled by the platform before it sends callers here.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::TcpListener;
use smol_hyper::rt::SmolTimer;

use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;
use crate::http::FairSocket;
use crate::metrics::CounterId;

/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Report whether the daemon is ready.
///
/// It is if it serves, has a configuration, and its entry can accept connections.
#[must_use]
pub fn is_ready(node: &Node) -> bool {
    node.board.phase.read() == Phase::Serving
        && node.board.configuration.read().is_some()
        && node.board.accepts_callers.load(Ordering::SeqCst)
}

/// Answer every request with 200 if the daemon is ready, else with 503.
pub async fn serve_ready(node: Arc<Node>, listener: TcpListener) {
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                node.metrics.count(CounterId::AcceptsFailed);
                Event::AcceptFailed.log(format_args!("readiness listener: {e}"));
                node.clock.sleep_millis(ACCEPT_PAUSE_MS).await;
                continue;
            }
        };
        let service_node = Arc::clone(&node);
        node.spawn(async move {
            let service = service_fn(|_| {
                let response = answer(is_ready(&service_node));
                async { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(SmolTimer::new());
            let serving = builder.serve_connection(FairSocket::new(socket), service);
            if let Err(e) = serving.await {
                log::debug!("readiness connection: {e}");
            }
        });
    }
}

fn answer(ready: bool) -> Response<Full<Bytes>> {
    let (status, text) = if ready {
        (200, "ready\n")
    } else {
        (503, "not ready\n")
    };
    Response::builder()
        .status(status)
        .body(Full::new(Bytes::from_static(text.as_bytes())))
        .expect("the status and headers of the response are valid")
}
