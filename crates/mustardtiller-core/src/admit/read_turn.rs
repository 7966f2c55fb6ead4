//! How much a task reads from one peer before other tasks run.

/// Bytes after which other tasks get their turn.
const TURN_BYTES: usize = 32 * 1024;

/// Least that a read or a frame counts for, in bytes.
///
/// A frame of a few bytes takes about as long to handle as one of half a kilobyte.
const MIN_COST_BYTES: usize = 512;

/// What is left of a reader's turn.
///
/// Answers peers that send without a pause: neither a read that finds bytes nor a frame
/// that is in the buffer makes the reader wait, so it would hold its thread. Bytes alone
/// don't bound a turn, since thousands of small frames fit into one read.
///
/// # Examples
///
/// ```
/// use mustardtiller_core::ReadTurn;
///
/// let mut turn = ReadTurn::default();
/// turn.note_read(16 * 1024);
/// assert!(!turn.is_over());
/// turn.note_read(16 * 1024);
/// assert!(turn.is_over());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadTurn {
    bytes_left: usize,
}

impl ReadTurn {
    /// Count a read of `bytes` bytes.
    pub fn note_read(&mut self, bytes: usize) {
        let cost = bytes.max(MIN_COST_BYTES);
        self.bytes_left = self.bytes_left.saturating_sub(cost);
    }

    /// Count a frame that was taken from the buffer; its bytes were counted as read.
    pub const fn note_frame(&mut self) {
        self.bytes_left = self.bytes_left.saturating_sub(MIN_COST_BYTES);
    }

    /// Report whether other tasks should run before the next read or frame.
    #[must_use]
    pub const fn is_over(&self) -> bool {
        self.bytes_left == 0
    }
}

impl Default for ReadTurn {
    fn default() -> Self {
        Self {
            bytes_left: TURN_BYTES,
        }
    }
}
