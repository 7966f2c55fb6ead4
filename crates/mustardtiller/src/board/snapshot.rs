//! Read-copy-update.

use std::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use arc_swap::Guard;
use event_listener::Event;
use event_listener::EventListener;

/// A value that is read without waiting and replaced whole.
pub struct Snapshot<T> {
    value: ArcSwap<T>,
    changed: Event,
}

impl<T> Snapshot<T> {
    /// Start with a value.
    #[must_use]
    pub fn new(value: T) -> Self {
        Self {
            value: ArcSwap::from_pointee(value),
            changed: Event::new(),
        }
    }

    /// Read the current value; it stays as it is while it is held.
    #[must_use]
    pub fn read(&self) -> Guard<Arc<T>> {
        self.value.load()
    }

    /// Share the current value beyond a short read.
    #[must_use]
    pub fn share(&self) -> Arc<T> {
        self.value.load_full()
    }

    /// Replace the value and wake who waits for a change.
    pub fn publish(&self, value: Arc<T>) {
        self.value.store(value);
        self.changed.notify(usize::MAX);
    }

    /// Listen for the next change; listen first, then read.
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
