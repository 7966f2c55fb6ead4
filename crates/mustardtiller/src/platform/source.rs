//! The edge to the platform.

use std::fmt;
use std::pin::Pin;

use snafu::Snafu;

use mustardtiller_core::Digest;

/// Why the platform could not be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PlatformError {
    /// The call failed or took too long.
    #[snafu(display("{cause}"))]
    Call {
        /// The cause.
        cause: String,
    },
    /// The platform answered with another status than 200 or 304.
    #[snafu(display("status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// A value is larger than the platform holds.
    #[snafu(display("a value exceeds {limit} bytes"))]
    TooLarge {
        /// The limit.
        limit: usize,
    },
}

/// A value and the tag by which to wait for another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformValue {
    /// The value.
    pub bytes: Vec<u8>,
    /// The platform's tag of it.
    pub tag: String,
}

/// A pending read.
pub type Reading<'a, T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// What the platform gives, at the edge of the process. Each call counts.
pub trait PlatformSource: Send + Sync + fmt::Debug {
    /// Read the manifest.
    ///
    /// With the tag of the value held, wait there for another; `None` if none came.
    fn manifest(&self, held: Option<&str>) -> Reading<'_, Option<PlatformValue>>;

    /// Read a part.
    fn part(&self, digest: Digest) -> Reading<'_, Vec<u8>>;

    /// Read the host list.
    fn hosts(&self) -> Reading<'_, Vec<u8>>;
}
