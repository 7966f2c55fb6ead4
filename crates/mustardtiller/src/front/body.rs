//! Bodies to and from callers.

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

/// A caller's body, read only once it is wanted.
#[derive(Debug)]
pub struct CallerBody {
    incoming: Incoming,
    timer: Timer,
    piece_ms: u64,
    left: u64,
    first: Option<Bytes>,
}

impl CallerBody {
    /// Wrap a body of at most `limit` bytes.
    ///
    /// The caller has `piece_ms` milliseconds for each piece.
    pub fn new(incoming: Incoming, piece_ms: u64, limit: u64) -> Self {
        Self {
            incoming,
            timer: Timer::never(),
            piece_ms,
            left: limit,
            first: None,
        }
    }

    /// Put bytes that were read already before the rest.
    #[must_use]
    pub fn behind(mut self, first: Bytes) -> Self {
        self.first = Some(first);
        self
    }

    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyCut>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(self.within_limit(first)));
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
                        return Poll::Ready(Some(self.within_limit(bytes)));
                    }
                }
            }
        }
    }

    fn within_limit(&mut self, bytes: Bytes) -> Result<Bytes, BodyCut> {
        self.left = self.left.checked_sub(bytes.len() as u64).ok_or(BodyCut)?;
        Ok(bytes)
    }

    fn rearm(&mut self) {
        self.timer = Timer::after(Duration::from_millis(self.piece_ms));
    }
}

impl ChunkSource for CallerBody {
    fn begin(&mut self) {
        self.rearm();
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyCut>>> {
        let polled = self.poll_data(cx);
        if polled.is_ready() {
            self.rearm();
            return polled;
        }
        match Pin::new(&mut self.timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Some(Err(BodyCut))),
            Poll::Pending => Poll::Pending,
        }
    }
}

type Next =
    Pin<Box<dyn Future<Output = (AnswerChunks, Option<Result<Bytes, UnknownReason>>)> + Send>>;

/// The body of an answer to a caller.
pub enum AnswerStream {
    /// It is whole.
    Buffered(Bytes),
    /// It follows piece by piece.
    Pieces {
        /// The pending read.
        next: Option<Next>,
        /// The length, if the upstream said it.
        length: Option<u64>,
        /// Called once with whether the answer came whole.
        ended: Option<Box<dyn FnOnce(bool) + Send + Sync>>,
    },
}

impl AnswerStream {
    /// Stream pieces; `ended` hears whether the answer came whole.
    pub fn pieces(
        pieces: AnswerChunks,
        length: Option<u64>,
        ended: Box<dyn FnOnce(bool) + Send + Sync>,
    ) -> Self {
        Self::Pieces {
            next: Some(read(pieces)),
            length,
            ended: Some(ended),
        }
    }
}

fn read(mut pieces: AnswerChunks) -> Next {
    Box::pin(async move {
        let piece = pieces.next().await;
        (pieces, piece)
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
            Self::Pieces { next, ended, .. } => {
                let Some(reading) = next.as_mut() else {
                    return Poll::Ready(None);
                };
                let Poll::Ready((pieces, piece)) = reading.as_mut().poll(cx) else {
                    return Poll::Pending;
                };
                *next = None;
                if let Some(Ok(bytes)) = piece {
                    *next = Some(read(pieces));
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                if let Some(ended) = ended.take() {
                    ended(piece.is_none());
                }
                Poll::Ready(piece.map(|_| Err(BodyCut)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Pieces { next, .. } => next.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Pieces {
                length: Some(length),
                ..
            } => SizeHint::with_exact(*length),
            Self::Pieces { length: None, .. } => SizeHint::default(),
        }
    }
}

impl fmt::Debug for AnswerStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerStream").finish_non_exhaustive()
    }
}
