//! The order of a read of the platform and the versions that daemons know.

use crate::Position;
use crate::Version;

/// What a read of the platform amounts to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadVersion {
    /// The content that is held; the version held stays.
    Held,
    /// The version that the platform's items give.
    AsRead,
    /// Newer content than the versions known, under this later position.
    Raised(Position),
}

/// A read of the platform, compared with the versions that are known.
///
/// It answers a change that leaves no trace among the items: when one is removed, the
/// newest of the rest may be older than a version that others hold. A read is newer than
/// every version of its document at a position before the platform's at the read, so its
/// content may take that position. A version's position is never after the platform's at
/// which its content was true, so an older view never gets past a newer one.
///
/// A read of an older document than another's says nothing of that one: the platform may
/// have come back from a copy that lacks it.
#[derive(Clone, Copy, Debug)]
pub struct PlatformRead {
    /// Operators' number of the document that was read.
    pub serial: u64,
    /// Position of the newest item that was read.
    pub position: Position,
    /// Position of the platform as of which the content holds; `None` if it has none.
    pub as_of: Option<Position>,
}

impl PlatformRead {
    /// Decide what the read amounts to.
    ///
    /// `outdated` is the latest position that a read has shown to be outdated.
    #[must_use]
    pub fn version(&self, held: Version, same_content: bool, outdated: Position) -> ReadVersion {
        let Some(as_of) = self.as_of else {
            return ReadVersion::AsRead;
        };
        let known = held.position().max(outdated);
        if self.serial != held.serial || self.position > known {
            ReadVersion::AsRead
        } else if same_content && held.position() >= outdated {
            ReadVersion::Held
        } else if as_of > known {
            ReadVersion::Raised(as_of)
        } else {
            ReadVersion::AsRead
        }
    }

    /// Report whether the read shows that another content of this version is outdated.
    #[must_use]
    pub fn outdates(&self, version: Version, same_content: bool) -> bool {
        let is_later = |as_of| (self.serial, as_of) > (version.serial, version.position());
        !same_content && self.as_of.is_some_and(is_later)
    }
}
