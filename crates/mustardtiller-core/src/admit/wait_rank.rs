//! The rank of a request among those that wait for the same upstream.

/// Rank of a request under pressure; the lesser value goes first.
///
/// Answers the load at which an upstream is full and requests of several kinds wait: a
/// call that another request depends on goes before new work, since the work that its
/// parent has done is lost with it. Among new work, the kind's priority decides.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum WaitRank {
    /// A call made by a run that is in progress at another upstream.
    Nested,
    /// A call that no run depends on, with the priority of its kind; zero is the highest.
    Root(u8),
}

/// Lowest priority that has a class of its own.
const MAX_PRIORITY: u8 = 14;

impl WaitRank {
    /// Number of classes of ranks.
    pub const CLASSES: usize = MAX_PRIORITY as usize + 2;

    /// Return the rank of a request whose kind has this priority.
    ///
    /// `passed_depth` is the depth of the call that upstreams hand on, or `None` where they
    /// get none to hand on: there a stated depth can only be a caller's claim to go first.
    /// `is_nested_kind` is whether the kind is known to be made by runs.
    #[must_use]
    pub const fn of(passed_depth: Option<u8>, is_nested_kind: bool, priority: u8) -> Self {
        match passed_depth {
            Some(1..) => Self::Nested,
            _ if is_nested_kind => Self::Nested,
            Some(0) | None => Self::Root(priority),
        }
    }

    /// Return the index of the rank's class, below [`Self::CLASSES`].
    #[must_use]
    pub fn class(self) -> usize {
        match self {
            Self::Nested => 0,
            Self::Root(priority) => usize::from(priority.min(MAX_PRIORITY)) + 1,
        }
    }
}
