//! What a peer did wrong.

use snafu::Snafu;

/// What is wrong with some bytes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WireErrorKind {
    /// A frame or datagram exceeds its limit.
    TooLarge,
    /// The bytes decode to no message.
    Malformed,
}

/// Bytes that are no message.
#[derive(Clone, Debug)]
#[derive(Snafu)]
#[snafu(display("{context}"))]
pub struct WireError {
    kind: WireErrorKind,
    context: String,
}

impl WireError {
    /// Return what is wrong.
    #[must_use]
    pub const fn kind(&self) -> WireErrorKind {
        self.kind
    }

    pub(crate) fn too_large(bytes: usize, limit: usize) -> Self {
        let context = format!("{bytes} bytes exceed the limit of {limit}");
        Self {
            kind: WireErrorKind::TooLarge,
            context,
        }
    }

    pub(crate) fn malformed(cause: &impl std::fmt::Display) -> Self {
        Self {
            kind: WireErrorKind::Malformed,
            context: format!("no message: {cause}"),
        }
    }
}
