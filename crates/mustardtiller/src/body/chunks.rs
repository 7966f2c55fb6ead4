//! Interface through which front ends and links provide streamed bodies.

use std::fmt;
use std::future::poll_fn;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;

/// Error of a body that ended before it was complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyCut;

impl fmt::Display for BodyCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("body cut")
    }
}

impl std::error::Error for BodyCut {}

/// A streamed body that is read chunk by chunk.
pub trait ChunkSource: Send + Sync + fmt::Debug {
    /// Request the body; the sender may wait for this before it sends any chunk.
    fn begin(&mut self);

    /// Poll for the next chunk; `None` once the body is complete.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyCut>>>;
}

/// Wait for the next chunk; `None` once the body is complete.
///
/// # Errors
///
/// Returns an error if the body ended before it was complete.
pub async fn next_chunk(source: &mut dyn ChunkSource) -> Option<Result<Bytes, BodyCut>> {
    poll_fn(|cx| source.poll_chunk(cx)).await
}
