//! The edge to the platform.

use std::fmt;
use std::pin::Pin;

use snafu::Snafu;

use mustardtiller_core::Digest;
use mustardtiller_core::Registration;

/// Why the platform could not be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PublishedError {
    /// The call failed or took too long.
    #[snafu(display("{cause}"))]
    Call {
        /// The cause.
        cause: String,
    },
    /// This source has no such thing.
    #[snafu(display("this source has no {what}"))]
    Absent {
        /// What was read.
        what: &'static str,
    },
    /// A value makes no sense.
    #[snafu(display("{cause}"))]
    Malformed {
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
pub struct PublishedValue {
    /// The value.
    pub bytes: Vec<u8>,
    /// The platform's tag of it.
    pub tag: String,
}

/// The upstreams that are registered.
#[derive(Clone, Debug, Default)]
pub struct Registrations {
    /// The entries that make sense.
    pub entries: Vec<Registration>,
    /// The entries that don't, each with its name and what is wrong.
    pub malformed: Vec<String>,
}

/// A pending read.
pub type ReadFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, PublishedError>> + Send + 'a>>;

/// What the platform gives, at the edge of the process. Each call counts.
pub trait PublishedSource: Send + Sync + fmt::Debug {
    /// Read the manifest.
    ///
    /// With the tag of the value held, wait there for another; `None` if none came.
    fn manifest(&self, held: Option<&str>) -> ReadFuture<'_, Option<PublishedValue>>;

    /// Read a part.
    fn part(&self, digest: Digest) -> ReadFuture<'_, Vec<u8>>;

    /// Read the host list.
    fn hosts(&self) -> ReadFuture<'_, Vec<u8>>;

    /// Read the upstreams that registered themselves.
    fn registrations(&self) -> ReadFuture<'_, Registrations>;
}
