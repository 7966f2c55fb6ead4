//! Errors of encoding and decoding.

use snafu::Snafu;

/// Category of a [`WireError`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum WireErrorKind {
    /// A frame or datagram exceeds its limit.
    TooLarge,
    /// The bytes don't decode to a message.
    Malformed,
}

/// A message that could not be encoded or decoded.
#[derive(Clone, Debug)]
#[derive(Snafu)]
#[snafu(display("{context}"))]
pub struct WireError {
    kind: WireErrorKind,
    context: String,
}

impl WireError {
    /// Return the category of the error.
    #[must_use]
    pub const fn kind(&self) -> WireErrorKind {
        self.kind
    }

    pub(crate) fn too_large(bytes: usize, limit: usize) -> Self {
        let context = format!("message of {bytes} bytes exceeds the limit of {limit} bytes");
        Self {
            kind: WireErrorKind::TooLarge,
            context,
        }
    }

    pub(crate) fn malformed(cause: &impl std::fmt::Display) -> Self {
        Self {
            kind: WireErrorKind::Malformed,
            context: format!("malformed message: {cause}"),
        }
    }
}
