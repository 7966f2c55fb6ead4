//! Errors of building and reading artefacts.

use snafu::Snafu;

/// Category of an [`ArtefactError`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ArtefactErrorKind {
    /// A value could not be encoded or decoded.
    Damaged,
    /// A part is missing.
    Missing,
    /// A part's content does not match its digest.
    Mismatch,
    /// The parts contradict one another or hold invalid values.
    Inconsistent,
    /// A value is larger than the platform can hold.
    TooLarge,
    /// The artefact has a format that this program does not support.
    Format,
}

/// An artefact that could not be built or was not accepted.
#[derive(Clone, Debug)]
#[derive(Snafu)]
#[snafu(display("{context}"))]
pub struct ArtefactError {
    kind: ArtefactErrorKind,
    context: String,
}

impl ArtefactError {
    /// Return the category of the error.
    #[must_use]
    pub const fn kind(&self) -> ArtefactErrorKind {
        self.kind
    }

    pub(crate) fn new(kind: ArtefactErrorKind, context: impl Into<String>) -> Self {
        Self {
            kind,
            context: context.into(),
        }
    }
}
