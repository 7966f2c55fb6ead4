//! The HTTP state of a caller's connection, built anew when its limits change.

use std::error::Error;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use hyper::body::Incoming;
use hyper::server::conn::http1::Connection;
use hyper::service::HttpService;

use super::body::CallerAnswer;
use super::limits::ConnectionLimits;
use super::socket::CallerSocket;
use crate::board::CallerConnection;
use crate::daemon::Node;
use crate::events::Event;
use crate::events::MISSING_ID;
use crate::metrics::CounterId;
use mustardtiller_core::USUAL_FIELDS;

/// A service for the requests of a caller.
pub trait CallerService:
    HttpService<Incoming, ResBody = CallerAnswer, Error: Into<Box<dyn Error + Send + Sync>>>
{
}

impl<S> CallerService for S where
    S: HttpService<Incoming, ResBody = CallerAnswer, Error: Into<Box<dyn Error + Send + Sync>>>
{
}

/// How the HTTP state of a connection ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HttpEnd {
    /// The library rejected a head, whose caller may still be sending.
    HeadRejected,
    /// Any other way.
    Closed,
}

/// The HTTP state of one connection; completes when the connection has ended.
///
/// The HTTP library takes its limits when the state is built. Between two requests,
/// nothing is in flight and nothing unwritten, so that a new state loses nothing.
pub struct CallerHttp<S: CallerService> {
    node: Arc<Node>,
    caller: Arc<CallerConnection>,
    /// Absent only while it is built anew.
    connection: Option<Connection<CallerSocket, S>>,
    limits: ConnectionLimits,
    /// Header fields for which the parser has space.
    fields: usize,
    /// Requests that had been read when the state was built.
    requests: u64,
    is_closing: bool,
}

impl<S: CallerService> CallerHttp<S> {
    /// Serve the requests on a socket with a service.
    pub fn new(
        node: Arc<Node>,
        caller: Arc<CallerConnection>,
        socket: CallerSocket,
        service: S,
    ) -> Self {
        let limits = ConnectionLimits::for_next_head(&node);
        let connection = limits.builder(USUAL_FIELDS);
        Self {
            connection: Some(connection.serve_connection(socket, service)),
            requests: caller.requests(),
            node,
            caller,
            limits,
            fields: USUAL_FIELDS,
            is_closing: false,
        }
    }

    /// End the connection once no request is in flight.
    pub fn graceful_shutdown(&mut self) {
        self.is_closing = true;
        if let Some(connection) = &mut self.connection {
            Pin::new(connection).graceful_shutdown();
        }
    }

    /// Report whether the next head needs other limits than the state has.
    ///
    /// Space for many fields is given up after the head that needed it, since the parser
    /// reserves it for each head.
    fn is_outdated(&self) -> bool {
        let is_raised = self.fields > USUAL_FIELDS && self.caller.requests() != self.requests;
        self.caller.is_between_requests()
            && !self.is_closing
            && (is_raised || self.limits != ConnectionLimits::for_next_head(&self.node))
    }

    /// Build the state anew; what was read of the next head is read once more.
    fn renew(&mut self) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let mut parts = connection.into_parts();
        parts.io.replay(&parts.read_buf);
        self.limits = ConnectionLimits::for_next_head(&self.node);
        self.fields = parts.io.fields();
        self.requests = self.caller.requests();
        let builder = self.limits.builder(self.fields);
        let mut connection = builder.serve_connection(parts.io, parts.service);
        if self.is_closing {
            Pin::new(&mut connection).graceful_shutdown();
        }
        self.connection = Some(connection);
    }
}

impl<S: CallerService> Unpin for CallerHttp<S> {}

impl<S: CallerService> Future for CallerHttp<S> {
    type Output = HttpEnd;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<HttpEnd> {
        let this = &mut *self;
        // Checked before anything is read, so that a head meets the limits in force.
        if this.is_outdated() {
            this.renew();
        }
        loop {
            let Some(connection) = &mut this.connection else {
                return Poll::Ready(HttpEnd::Closed);
            };
            if let Poll::Ready(ended) = Pin::new(connection).poll(cx) {
                return Poll::Ready(match ended {
                    Err(error) if error.is_parse() => {
                        record_rejected_head(&this.node, &error);
                        HttpEnd::HeadRejected
                    }
                    _ => HttpEnd::Closed,
                });
            }
            // A head that came while a request is in flight is held until that has ended.
            if !this.caller.is_head_held() || !this.caller.is_between_requests() {
                return Poll::Pending;
            }
            this.renew();
        }
    }
}

/// Count and log a head that the HTTP library rejected.
///
/// It answers such a head itself, with 400, 414 or 431, before any request exists.
fn record_rejected_head(node: &Node, error: &hyper::Error) {
    node.metrics.count(CounterId::HeadsRejected);
    if node.may_log_rejection(MISSING_ID.as_bytes()) {
        Event::HeadRejected.log(error);
    }
}
