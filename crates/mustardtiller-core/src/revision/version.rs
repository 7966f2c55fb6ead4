//! The version of a configuration, which decides which of two is newer.

use std::fmt;

/// A content digest (the first 16 bytes of a SHA-256).
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub [u8; 16]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The version of a configuration: its revision, then its digest.
///
/// Two contents with the same revision are ordered by digest, so that every
/// daemon that receives both ends with the same one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version {
    /// The operators' revision number; it only increases.
    pub revision: u64,
    /// The digest of the manifest.
    pub digest: Digest,
}

impl Version {
    /// Report whether both have the same revision but different contents.
    #[must_use]
    pub fn conflicts_with(&self, other: &Self) -> bool {
        self.revision == other.revision && self.digest != other.digest
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.revision, self.digest)
    }
}
