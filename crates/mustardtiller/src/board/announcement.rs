//! What an entry remembers of an upstream's statement that it is leaving.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// What is known of an upstream's statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Standing {
    /// It has said nothing.
    None,
    /// It has said that it is leaving.
    Leaving,
    /// It has started again, and its gate may not know that yet.
    Former,
}

/// Whether an upstream has said itself that it is leaving; outlasts its gate.
///
/// Written by load reports and the routes controller, which learn of a new start
/// independently: a gate that learns of it later repeats what the former said.
#[derive(Debug)]
pub struct Announcement {
    standing: AtomicU8,
}

impl Announcement {
    /// Create the state of an upstream that has said nothing.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            standing: AtomicU8::new(Standing::None as u8),
        }
    }

    /// Report whether the upstream has said that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        standing_of(self.standing.load(Ordering::SeqCst)) == Standing::Leaving
    }

    /// Record whether its gate says that it has said so.
    ///
    /// After a new start, this counts only once the gate has said that it has not.
    pub fn hear(&self, leaving: bool) {
        let _ = self
            .standing
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |standing| {
                match (standing_of(standing), leaving) {
                    (Standing::None, true) => Some(Standing::Leaving as u8),
                    (Standing::Former, false) => Some(Standing::None as u8),
                    (Standing::None, false) | (Standing::Leaving, _) | (Standing::Former, true) => {
                        None
                    }
                }
            });
    }

    /// Forget what the upstream said before it started again.
    pub fn forget(&self) {
        self.standing
            .store(Standing::Former as u8, Ordering::SeqCst);
    }
}

impl Default for Announcement {
    fn default() -> Self {
        Self::new()
    }
}

const fn standing_of(standing: u8) -> Standing {
    if standing == Standing::Leaving as u8 {
        Standing::Leaving
    } else if standing == Standing::Former as u8 {
        Standing::Former
    } else {
        Standing::None
    }
}
