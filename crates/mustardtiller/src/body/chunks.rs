//! The edge at which a front end or a link hands over a streamed body.

use std::fmt;
use std::future::poll_fn;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;

/// The body ended before it was whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyCut;

impl fmt::Display for BodyCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("body cut")
    }
}

impl std::error::Error for BodyCut {}

/// A body that arrives in pieces, at the edge of the process.
pub trait ChunkSource: Send + Sync + fmt::Debug {
    /// Say that the body is wanted; the sender may have waited for that.
    fn begin(&mut self);

    /// Poll for the next piece; `None` once the body is whole.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyCut>>>;
}

/// Wait for the next piece; `None` once the body is whole.
///
/// # Errors
///
/// Returns an error if the body ended before it was whole.
pub async fn next_chunk(source: &mut dyn ChunkSource) -> Option<Result<Bytes, BodyCut>> {
    poll_fn(|cx| source.poll_chunk(cx)).await
}
