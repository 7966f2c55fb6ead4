//! Bodies to and from the upstream.

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

/// The body of a request to the upstream.
#[derive(Debug)]
pub struct RequestBody {
    body: GateBody,
    cut: Arc<AtomicBool>,
    ended: bool,
}

impl RequestBody {
    /// Wrap a body; `cut` is set if it turns out to be cut.
    pub const fn new(body: GateBody, cut: Arc<AtomicBool>) -> Self {
        Self {
            body,
            cut,
            ended: false,
        }
    }

    fn poll_source(
        source: &mut dyn ChunkSource,
        cut: &AtomicBool,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyCut>>> {
        source.begin();
        let polled = source.poll_chunk(cx);
        if matches!(polled, Poll::Ready(Some(Err(_)))) {
            cut.store(true, Ordering::SeqCst);
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
        let piece = match &mut this.body {
            GateBody::Buffered(bytes) if bytes.is_empty() => return Poll::Ready(None),
            GateBody::Buffered(bytes) => Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            GateBody::Streamed { source, .. } => Self::poll_source(source.as_mut(), &this.cut, cx),
        };
        if matches!(piece, Poll::Ready(None)) {
            this.ended = true;
        }
        piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
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

/// The rest of an upstream's answer; holds its slot until it is read.
#[derive(Debug)]
pub struct UpstreamBody {
    pub(super) node: Arc<Node>,
    pub(super) incoming: Incoming,
    pub(super) sender: Option<SendRequest<RequestBody>>,
    pub(super) deadline: Deadline,
    pub(super) began: Instant,
    pub(super) kind_digest: u32,
    pub(super) start: StartConditions,
    pub(super) permit: Option<Permit>,
}

impl UpstreamBody {
    /// Wait for the next piece; `None` once the answer is whole.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream cut the answer or the deadline passed.
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

    /// Give the slot and the connection back.
    fn finish(&mut self) {
        if self.permit.take().is_some() {
            let micros = self.node.clock.now().micros_since(self.began);
            self.node.board.gate.completed(micros, false);
            let gate = &self.node.board.gate;
            self.node.metrics.time_upstream(micros);
            gate.record_service_time(self.kind_digest, micros, self.start);
        }
        if let Some(sender) = self.sender.take() {
            put_back(&self.node, sender);
        }
    }
}
