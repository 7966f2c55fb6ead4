//! Where a change stands in the history of the platform.

use std::fmt;

/// Where a change stands in the history of the platform.
///
/// A platform that comes back from a copy gives revisions out again, and begins a new
/// era. A revision therefore orders changes of one era only.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::Position;
///
/// let lost = Position { era: 1, revision: 400 };
/// let written_again = Position { era: 2, revision: 361 };
/// assert!(written_again > lost);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// The era; zero on a platform that counts none.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}

impl From<u64> for Position {
    /// Return the position of a revision on a platform that counts no eras.
    fn from(revision: u64) -> Self {
        Self { era: 0, revision }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era > 0 {
            write!(f, "{}.", self.era)?;
        }
        write!(f, "{}", self.revision)
    }
}
