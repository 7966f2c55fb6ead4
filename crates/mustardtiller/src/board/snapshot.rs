//! Read-copy-update cells.

use std::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use arc_swap::Guard;
use event_listener::Event;
use event_listener::EventListener;

/// A value that is read without blocking and replaced as a whole.
pub struct Snapshot<T> {
    value: ArcSwap<T>,
    changed: Event,
}

impl<T> Snapshot<T> {
    /// Create a snapshot that holds `value`.
    #[must_use]
    pub fn new(value: T) -> Self {
        Self {
            value: ArcSwap::from_pointee(value),
            changed: Event::new(),
        }
    }

    /// Borrow the current value; later updates don't affect the guard.
    #[must_use]
    pub fn read(&self) -> Guard<Arc<T>> {
        self.value.load()
    }

    /// Clone a reference to the current value, to hold it across await points.
    #[must_use]
    pub fn share(&self) -> Arc<T> {
        self.value.load_full()
    }

    /// Replace the value and wake all listeners.
    pub fn publish(&self, value: Arc<T>) {
        self.value.store(value);
        self.changed.notify(usize::MAX);
    }

    /// Listen for the next change.
    ///
    /// Call it before reading, so that no change in between is missed.
    #[must_use]
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }
}

impl<T: fmt::Debug> fmt::Debug for Snapshot<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Snapshot").field(&self.read()).finish()
    }
}
