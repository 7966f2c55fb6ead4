//! Request bodies to the upstream and answer bodies from it.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::client::conn::http1::SendRequest;

use super::pool::put_back;
use crate::board::StartConditions;
use crate::body::BodyCut;
use crate::body::ChunkSource;
use crate::daemon::Node;
use crate::gate::GateBody;
use crate::gate::Permit;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;

/// Body of a request to the upstream.
#[derive(Debug)]
pub struct RequestBody {
    body: GateBody,
    body_cut: Arc<AtomicBool>,
    ended: bool,
}

impl RequestBody {
    /// Wrap a body; `body_cut` is set if the body ends early.
    pub const fn new(body: GateBody, body_cut: Arc<AtomicBool>) -> Self {
        Self {
            body,
            body_cut,
            ended: false,
        }
    }

    fn poll_source(
        source: &mut dyn ChunkSource,
        body_cut: &AtomicBool,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyCut>>> {
        source.begin();
        let polled = source.poll_chunk(cx);
        if matches!(polled, Poll::Ready(Some(Err(_)))) {
            body_cut.store(true, Ordering::SeqCst);
        }
        polled
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        let this = self.get_mut();
        let chunk = match &mut this.body {
            GateBody::Buffered(bytes) if bytes.is_empty() => return Poll::Ready(None),
            GateBody::Buffered(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            GateBody::Streamed { source, .. } => {
                Self::poll_source(source.as_mut(), &this.body_cut, cx)
            }
        };
        if matches!(chunk, Poll::Ready(None)) {
            this.ended = true;
        }
        chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            GateBody::Buffered(bytes) => bytes.is_empty(),
            GateBody::Streamed { .. } => self.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            GateBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            GateBody::Streamed {
                length: Some(length),
                ..
            } => SizeHint::with_exact(*length),
            GateBody::Streamed { length: None, .. } => SizeHint::default(),
        }
    }
}

/// Rest of an upstream's answer; holds the request's slot until it is read.
#[derive(Debug)]
pub struct UpstreamBody {
    pub(super) node: Arc<Node>,
    pub(super) incoming: Incoming,
    /// Sender of the connection; `None` once it was returned to the pool.
    pub(super) sender: Option<SendRequest<RequestBody>>,
    /// Whether the connection may carry another request after this answer.
    pub(super) reusable: bool,
    pub(super) deadline: Deadline,
    pub(super) started_at: Instant,
    pub(super) kind_digest: u32,
    pub(super) start: StartConditions,
    pub(super) permit: Option<Permit>,
}

impl UpstreamBody {
    /// Wait for the next chunk; `None` once the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream ended the answer early or the deadline passed.
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyCut>> {
        loop {
            let frame = self
                .node
                .clock
                .within(self.deadline, self.incoming.frame())
                .await;
            match frame {
                Some(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
                Some(None) => {
                    self.finish();
                    return None;
                }
                Some(Some(Err(_))) | None => return Some(Err(BodyCut)),
            }
        }
    }

    /// Record the service time, and release the slot and the connection.
    fn finish(&mut self) {
        if self.permit.take().is_some() {
            let micros = self.node.clock.now().micros_since(self.started_at);
            self.node.board.gate.record_completion(micros, false);
            let gate = &self.node.board.gate;
            self.node.metrics.record_upstream_time(micros);
            gate.record_service_time(self.kind_digest, micros, self.start);
        }
        let sender = self.sender.take();
        if let Some(sender) = sender.filter(|_| self.reusable) {
            put_back(&self.node, sender);
        }
    }
}
