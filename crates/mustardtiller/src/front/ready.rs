//! The listener on which the platform asks whether callers may come.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;

/// Pause after a connection could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Report whether callers may come: there is a configuration, and no stop.
#[must_use]
pub fn is_ready(node: &Node) -> bool {
    node.board.phase.read() == Phase::Serving && node.board.configuration.read().is_some()
}

/// Answer any request with 200 if callers may come, else with 503.
pub async fn serve_ready(node: Arc<Node>, listener: TcpListener) {
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                Event::AcceptFailed.log(format_args!("ready: {e}"));
                node.clock.sleep_millis(ACCEPT_PAUSE_MS).await;
                continue;
            }
        };
        let asked = Arc::clone(&node);
        node.spawn(async move {
            let service = service_fn(|_| {
                let response = answer(is_ready(&asked));
                async { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(SmolTimer::new());
            let serving = builder.serve_connection(FuturesIo::new(socket), service);
            if let Err(e) = serving.await {
                log::debug!("ready: {e}");
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
        .expect("the parts of the response are valid")
}
