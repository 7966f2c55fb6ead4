//! The HTTP endpoint that exposes the metrics.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::TcpListener;
use smol_hyper::rt::SmolTimer;

use crate::daemon::Node;
use crate::http::FairSocket;

/// The content type of the text exposition format.
const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serve `GET /metrics`.
pub async fn serve_metrics(node: Arc<Node>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            node.clock.sleep_millis(10).await;
            continue;
        };
        let metrics_node = Arc::clone(&node);
        node.spawn(async move {
            let service = service_fn(|req| {
                let response = respond(&metrics_node, &req);
                async { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(SmolTimer::new());
            // A client that disconnects early is not an error.
            let _ = builder
                .serve_connection(FairSocket::new(socket), service)
                .await;
        });
    }
}

fn respond(node: &Node, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if req.uri().path() != "/metrics" {
        return text(404, "text/plain", "see /metrics\n".to_owned());
    }
    node.metrics.gauges.set_held_bytes(&node.board.held);
    let mut buf = String::new();
    match node.metrics.write(&mut buf) {
        Ok(()) => text(200, CONTENT_TYPE, buf),
        Err(e) => text(500, "text/plain", e.to_string()),
    }
}

fn text(status: u16, content_type: &str, body: String) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Full::new(Bytes::from(body)))
        .expect("status and content type are valid")
}
