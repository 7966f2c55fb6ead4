//! The order of a read of the platform and the versions that daemons know.

use crate::Version;

/// What a read of the platform amounts to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadVersion {
    /// The content that is held; the version held stays.
    Held,
    /// The version that the platform's items give.
    AsRead,
    /// Newer content than the versions known, under this higher revision.
    Raised(u64),
}

/// A read of the platform, compared with the versions that are known.
///
/// It answers a change that leaves no trace among the items: when one is removed, the
/// newest of the rest may be older than a version that others hold. A read is newer than
/// every version with a lower revision than the platform had at the read, so its content
/// may take that revision. A version's revision is never above the platform's at which
/// its content was true, so an older view never gets past a newer one.
#[derive(Clone, Copy, Debug)]
pub struct PlatformRead {
    /// Revision of the newest item that was read.
    pub revision: u64,
    /// Revision of the platform as of which the content holds; `None` if it has none.
    pub as_of: Option<u64>,
}

impl PlatformRead {
    /// Decide what the read amounts to.
    ///
    /// `outdated` is the highest revision that a read has shown to be outdated.
    #[must_use]
    pub fn version(&self, held: Version, same_content: bool, outdated: u64) -> ReadVersion {
        let Some(as_of) = self.as_of else {
            return ReadVersion::AsRead;
        };
        let known = held.revision.max(outdated);
        if self.revision > known {
            ReadVersion::AsRead
        } else if same_content && held.revision >= outdated {
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
        !same_content && self.as_of.is_some_and(|as_of| as_of > version.revision)
    }
}
