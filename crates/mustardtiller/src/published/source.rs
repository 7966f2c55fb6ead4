//! The interface to the platform.

use std::fmt;
use std::pin::Pin;

use snafu::Snafu;

use mustardtiller_core::Deadline;
use mustardtiller_core::Digest;
use mustardtiller_core::Position;
use mustardtiller_core::Registration;

/// Why the platform could not be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PublishedError {
    /// The request to the platform failed or timed out.
    #[snafu(display("call to the platform failed: {cause}"))]
    Call {
        /// The cause.
        cause: String,
    },
    /// This source does not provide what was read.
    #[snafu(display("this source has no {what}"))]
    Absent {
        /// What was read.
        what: &'static str,
    },
    /// A value is malformed.
    #[snafu(display("{cause}"))]
    Malformed {
        /// The cause.
        cause: String,
    },
    /// The platform answered with an unexpected status.
    #[snafu(display("platform answered with status {status}"))]
    Status {
        /// The status.
        status: u16,
    },
    /// The platform came back from a copy during a read of several calls.
    #[snafu(display("the platform came back from a copy meanwhile"))]
    Returned,
    /// A page of a read of several calls does not go beyond the one before.
    #[snafu(display("the page after the key {key:?} does not go beyond it"))]
    Stalled {
        /// The key after which the page begins; empty for the first page.
        key: String,
    },
    /// A value exceeds the size limit.
    #[snafu(display("value exceeds {limit} bytes"))]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
}

/// A value and the tag with which to wait for its change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedValue {
    /// The value.
    pub bytes: Vec<u8>,
    /// The platform's tag of the value, as in an `ETag`.
    pub tag: String,
    /// Position of the platform as of which the value holds, if it counts its changes.
    pub as_of: Option<Position>,
}

/// How much of the registrations to read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadExtent {
    /// One call: some of the entries, or all of them in a small fleet.
    FirstPage,
    /// All entries.
    All,
}

/// The upstreams that are registered.
#[derive(Clone, Debug, Default)]
pub struct Registrations {
    /// Whether there are more entries than these.
    pub has_more: bool,
    /// Position of the platform at which they were read.
    pub position: Position,
    /// Calls to the platform that the read took.
    pub calls: u32,
    /// The valid entries.
    pub entries: Vec<Registration>,
    /// The malformed entries, each with its name and what is wrong.
    pub malformed: Vec<String>,
}

/// The future of one read.
pub type ReadFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, PublishedError>> + Send + 'a>>;

/// A source of configuration, hosts and registrations: the platform.
///
/// Every read adds load to the platform, so few should be made.
pub trait PublishedSource: Send + Sync + fmt::Debug {
    /// Read the manifest.
    ///
    /// With the tag of the value held, wait for a change until `wait_until`; `None` if
    /// none came in time.
    fn manifest(
        &self,
        held: Option<&str>,
        wait_until: Deadline,
    ) -> ReadFuture<'_, Option<PublishedValue>>;

    /// Read the part with the given digest.
    fn part(&self, digest: Digest) -> ReadFuture<'_, Vec<u8>>;

    /// Read the host list.
    fn hosts(&self) -> ReadFuture<'_, Vec<u8>>;

    /// Read the registered upstreams.
    fn registrations(&self, extent: ReadExtent) -> ReadFuture<'_, Registrations>;
}
