//! Why an artefact is not accepted.

use snafu::Snafu;

/// What is wrong with an artefact.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ArtefactErrorKind {
    /// A value could not be decoded.
    Damaged,
    /// A part is not there.
    Missing,
    /// A part's content does not match its digest.
    Mismatch,
    /// The parts contradict one another.
    Inconsistent,
    /// A value is larger than the platform holds.
    TooLarge,
    /// The artefact has a format that this program does not know.
    Format,
}

/// An artefact that is not accepted.
#[derive(Clone, Debug)]
#[derive(Snafu)]
#[snafu(display("{context}"))]
pub struct ArtefactError {
    kind: ArtefactErrorKind,
    context: String,
}

impl ArtefactError {
    /// Return what is wrong.
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
