//! Request bodies from callers and answer bodies to them.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use smol::Timer;

use crate::body::BodyCut;
use crate::body::ChunkSource;
use crate::entry::AnswerChunks;
use mustardtiller_core::UnknownReason;

/// Request body of a caller, read only when the gate asks for it.
#[derive(Debug)]
pub struct CallerBody {
    incoming: Incoming,
    timer: Timer,
    chunk_timeout_ms: u64,
    remaining_bytes: u64,
    first: Option<Bytes>,
}

impl CallerBody {
    /// Wrap a body of at most `limit` bytes.
    ///
    /// The body fails if a chunk takes the caller more than `chunk_timeout_ms`
    /// milliseconds.
    pub fn new(incoming: Incoming, chunk_timeout_ms: u64, limit: u64) -> Self {
        Self {
            incoming,
            timer: Timer::never(),
            chunk_timeout_ms,
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
                None => return Poll::Ready(None),
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

    fn restart_timer(&mut self) {
        self.timer = Timer::after(Duration::from_millis(self.chunk_timeout_ms));
    }
}

impl ChunkSource for CallerBody {
    fn begin(&mut self) {
        self.restart_timer();
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyCut>>> {
        let polled = self.poll_data(cx);
        if polled.is_ready() {
            self.restart_timer();
            return polled;
        }
        match Pin::new(&mut self.timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Some(Err(BodyCut))),
            Poll::Pending => Poll::Pending,
        }
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

impl fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerStream").finish_non_exhaustive()
    }
}
