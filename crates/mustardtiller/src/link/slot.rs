//! The current link to one upstream's daemon, if one is up.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwapOption;
use event_listener::Event;

use super::client::LinkHandle;
use crate::clock::Clock;
use mustardtiller_core::Deadline;

/// The current link to one upstream's daemon. Written by its link controller.
pub struct LinkSlot {
    current: ArcSwapOption<LinkHandle>,
    claimed: AtomicBool,
    retired: AtomicBool,
    changed: Event,
}

impl LinkSlot {
    /// Start with no link.
    #[must_use]
    pub fn new() -> Self {
        Self {
            current: ArcSwapOption::empty(),
            claimed: AtomicBool::new(false),
            retired: AtomicBool::new(false),
            changed: Event::new(),
        }
    }

    /// Report whether a link is up.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.current.load().is_some()
    }

    /// Return the link, if it is up.
    #[must_use]
    pub fn get(&self) -> Option<Arc<LinkHandle>> {
        self.current.load_full()
    }

    /// Wait for a link; `None` if the deadline passes first.
    pub async fn wait(&self, clock: Clock, deadline: Deadline) -> Option<Arc<LinkHandle>> {
        let up = async {
            loop {
                let changed = self.changed.listen();
                if let Some(link) = self.get() {
                    return link;
                }
                changed.await;
            }
        };
        clock.within(deadline, up).await
    }

    /// Claim the task of maintaining this slot's link; true for the first claim only.
    pub(crate) fn claim(&self) -> bool {
        !self.claimed.swap(true, Ordering::SeqCst)
    }

    /// Set or clear the link. For the link controller.
    pub(crate) fn set(&self, link: Option<Arc<LinkHandle>>) {
        self.current.store(link);
        self.changed.notify(usize::MAX);
    }

    /// Close the link and stop the link controller from reconnecting it.
    pub(crate) fn retire(&self) {
        self.retired.store(true, Ordering::SeqCst);
        if let Some(link) = self.get() {
            link.close();
        }
        self.changed.notify(usize::MAX);
    }

    pub(crate) fn is_retired(&self) -> bool {
        self.retired.load(Ordering::SeqCst)
    }
}

impl Default for LinkSlot {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for LinkSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkSlot")
            .field("up", &self.is_up())
            .finish_non_exhaustive()
    }
}
