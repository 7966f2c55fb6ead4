//! The version of a configuration, which decides which of two is newer.

use std::fmt;

use crate::Position;

/// A content digest (the first 16 bytes of a SHA-256).
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub [u8; 16]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The version of a configuration: the operators' serial number, the position, the digest.
///
/// The serial number decides first, because operators write a document again that the
/// platform has lost: a copy that lacks it shows an older document at a later position.
/// Two contents at the same position are ordered by digest, so that every daemon that
/// receives both ends with the same one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version {
    /// The operators' number of the document; zero if the revision is their number.
    pub serial: u64,
    /// The platform's era at the newest change; zero if it counts none.
    pub era: u64,
    /// The revision of the newest change in its era, or the operators' number; zero if
    /// there is no configuration.
    pub revision: u64,
    /// The digest of the manifest.
    pub digest: Digest,
}

impl Version {
    /// The version of a daemon without a configuration.
    pub const NONE: Self = Self {
        serial: 0,
        era: 0,
        revision: 0,
        digest: Digest([0; 16]),
    };

    /// Return the position of the newest change.
    #[must_use]
    pub const fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.revision,
        }
    }

    /// Report whether both stand at the same place but have different contents.
    #[must_use]
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.serial == other.serial
            && self.position() == other.position()
            && self.digest != other.digest
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.serial > 0 {
            write!(f, "{}:", self.serial)?;
        }
        write!(f, "{}@{}", self.position(), self.digest)
    }
}
