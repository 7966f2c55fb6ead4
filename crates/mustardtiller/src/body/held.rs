//! Bodies in memory that are charged to the daemon's account.

use bytes::Bytes;

use crate::board::HeldGuard;

/// Bytes reserved at once for a body of unknown length.
const FIRST_BYTES: usize = 4 * 1024;

/// A body that is being read into memory.
#[derive(Debug)]
pub struct HeldBuffer {
    bytes: Vec<u8>,
    /// Length of the whole body, if it is known.
    length: Option<usize>,
    guard: HeldGuard,
}

impl HeldBuffer {
    /// Create an empty buffer that charges what it reserves to `guard`.
    #[must_use]
    pub const fn new(guard: HeldGuard, length: Option<usize>) -> Self {
        Self {
            bytes: Vec::new(),
            length,
            guard,
        }
    }

    /// Return the number of bytes read.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Append a chunk; returns false if the account has no room for it.
    #[must_use]
    pub fn try_push(&mut self, chunk: &[u8]) -> bool {
        let more = self.missing(chunk.len());
        if more > 0 && !self.guard.try_grow(more as u64) {
            return false;
        }
        self.append(chunk, more);
        true
    }

    /// Append a chunk that can't be refused any more.
    pub fn push(&mut self, chunk: &[u8]) {
        let more = self.missing(chunk.len());
        if more > 0 {
            self.guard.grow(more as u64);
        }
        self.append(chunk, more);
    }

    /// Return the body; it stays charged until its last clone is dropped.
    #[must_use]
    pub fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        hold(Bytes::from(self.bytes), self.guard)
    }

    /// Return by how much the buffer has to grow for a chunk, doubling at least.
    fn missing(&self, chunk: usize) -> usize {
        let (held, needed) = (self.bytes.capacity(), self.bytes.len() + chunk);
        if needed <= held {
            return 0;
        }
        let doubled = (held * 2).max(FIRST_BYTES);
        let wanted = self.length.map_or(doubled, |length| doubled.min(length));
        needed.max(wanted) - held
    }

    fn append(&mut self, chunk: &[u8], more: usize) {
        if more > 0 {
            let capacity = self.bytes.capacity() + more;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
    }
}

/// Keep bytes charged until their last clone is dropped.
#[must_use]
pub fn hold(bytes: Bytes, guard: HeldGuard) -> Bytes {
    Bytes::from_owner(Held {
        bytes,
        _guard: guard,
    })
}

/// Bytes together with their charge.
struct Held {
    bytes: Bytes,
    _guard: HeldGuard,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
