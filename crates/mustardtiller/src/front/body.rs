//! Request bodies from callers and answer bodies to them.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use smol::Timer;

use super::watch::BodyWatch;
use crate::board::CallerConnection;
use crate::body::BodyCut;
use crate::body::ChunkSource;
use crate::clock::Clock;
use crate::entry::AnswerChunks;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::STALLED_MS;
use mustardtiller_core::UnknownReason;

/// Request body of a caller, read only when the gate asks for it.
#[derive(Debug)]
pub struct CallerBody {
    incoming: Incoming,
    watch: BodyWatch,
    timer: Timer,
    /// Since when bytes are awaited; `None` while none are.
    awaited_since: Option<Instant>,
    remaining_bytes: u64,
    first: Option<Bytes>,
}

impl CallerBody {
    /// Wrap a body of at most `limit` bytes.
    ///
    /// The body fails if it is given up as stalled, or a chunk takes the caller longer
    /// than the daemon's settings allow.
    pub fn new(incoming: Incoming, watch: BodyWatch, limit: u64) -> Self {
        Self {
            incoming,
            watch,
            timer: Timer::never(),
            awaited_since: None,
            remaining_bytes: limit,
            first: None,
        }
    }

    /// Prepend bytes that were read already.
    #[must_use]
    pub fn with_first_chunk(mut self, first: Bytes) -> Self {
        self.first = Some(first);
        self
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyCut>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(self.check_limit(first)));
        }
        loop {
            let frame = match Pin::new(&mut self.incoming).poll_frame(cx) {
                Poll::Ready(frame) => frame,
                Poll::Pending => return Poll::Pending,
            };
            match frame {
                None => {
                    self.watch.end_body();
                    return Poll::Ready(None);
                }
                Some(Err(_)) => return Poll::Ready(Some(Err(BodyCut))),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Poll::Ready(Some(self.check_limit(bytes)));
                    }
                }
            }
        }
    }

    fn check_limit(&mut self, bytes: Bytes) -> Result<Bytes, BodyCut> {
        self.remaining_bytes = self
            .remaining_bytes
            .checked_sub(bytes.len() as u64)
            .ok_or(BodyCut)?;
        Ok(bytes)
    }

    /// Begin to wait for bytes, unless that has begun, and return since when.
    fn begin_wait(&mut self) -> Instant {
        if let Some(since) = self.awaited_since {
            return since;
        }
        let since = self.watch.begin_wait();
        self.awaited_since = Some(since);
        self.restart_timer();
        since
    }

    fn end_wait(&mut self) {
        if self.awaited_since.take().is_some() {
            self.watch.end_wait();
            self.timer = Timer::never();
        }
    }

    fn restart_timer(&mut self) {
        let tick_ms = STALLED_MS.min(self.watch.node().settings.piece_ms);
        self.timer = Timer::after(Duration::from_millis(tick_ms));
    }

    /// Report whether the body is given up after a wait since `since`.
    fn is_given_up(&self, since: Instant) -> bool {
        let node = self.watch.node();
        let deadline = Deadline::in_millis(since, node.settings.piece_ms);
        deadline.has_passed(node.clock.now()) || self.watch.refusal(since).is_some()
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        self.end_wait();
    }
}

impl ChunkSource for CallerBody {
    fn begin(&mut self) {}

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyCut>>> {
        let polled = self.poll_data(cx);
        if polled.is_ready() {
            self.end_wait();
            return polled;
        }
        let since = self.begin_wait();
        while Pin::new(&mut self.timer).poll(cx).is_ready() {
            if self.is_given_up(since) {
                return Poll::Ready(Some(Err(BodyCut)));
            }
            self.restart_timer();
        }
        Poll::Pending
    }
}

type PendingRead =
    Pin<Box<dyn Future<Output = (AnswerChunks, Option<Result<Bytes, UnknownReason>>)> + Send>>;

/// Body of an answer to a caller.
pub enum AnswerStream {
    /// The whole body, held in memory.
    Buffered(Bytes),
    /// A body that is streamed chunk by chunk.
    Chunks {
        /// Read in progress; `None` after the end.
        next: Option<PendingRead>,
        /// Length in bytes, if the upstream announced it.
        length: Option<u64>,
        /// Called with whether the answer was complete; not called if the caller left.
        on_end: Option<Box<dyn FnOnce(bool) + Send + Sync>>,
    },
}

impl AnswerStream {
    /// Stream chunks; `on_end` is called with whether the answer was complete.
    pub fn chunks(
        chunks: AnswerChunks,
        length: Option<u64>,
        on_end: Box<dyn FnOnce(bool) + Send + Sync>,
    ) -> Self {
        Self::Chunks {
            next: Some(read_next(chunks)),
            length,
            on_end: Some(on_end),
        }
    }
}

fn read_next(mut chunks: AnswerChunks) -> PendingRead {
    Box::pin(async move {
        let chunk = chunks.next().await;
        (chunks, chunk)
    })
}

impl Body for AnswerStream {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Chunks { next, on_end, .. } => {
                let Some(reading) = next.as_mut() else {
                    return Poll::Ready(None);
                };
                let Poll::Ready((chunks, chunk)) = reading.as_mut().poll(cx) else {
                    return Poll::Pending;
                };
                *next = None;
                if let Some(Ok(bytes)) = chunk {
                    *next = Some(read_next(chunks));
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                if let Some(on_end) = on_end.take() {
                    on_end(chunk.is_none());
                }
                Poll::Ready(chunk.map(|_| Err(BodyCut)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Chunks { next, .. } => next.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Chunks {
                length: Some(length),
                ..
            } => SizeHint::with_exact(*length),
            Self::Chunks { length: None, .. } => SizeHint::default(),
        }
    }
}

/// An answer to a caller, whose request is in flight until the answer is written.
#[derive(Debug)]
pub struct CallerAnswer {
    stream: AnswerStream,
    connection: Arc<CallerConnection>,
    clock: Clock,
}

impl CallerAnswer {
    /// Wrap the body of an answer on a caller's connection.
    pub const fn new(
        stream: AnswerStream,
        connection: Arc<CallerConnection>,
        clock: Clock,
    ) -> Self {
        Self {
            stream,
            connection,
            clock,
        }
    }
}

impl Drop for CallerAnswer {
    fn drop(&mut self) {
        self.connection.end_request(self.clock.now());
    }
}

impl Body for CallerAnswer {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        Pin::new(&mut self.stream).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.stream.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.stream.size_hint()
    }
}

impl fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerStream").finish_non_exhaustive()
    }
}
