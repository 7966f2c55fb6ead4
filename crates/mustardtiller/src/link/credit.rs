//! Flow control: how many more bytes of a stream the receiver accepts.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

use event_listener::Event;

/// Flow-control window of one stream in one direction, in bytes.
pub const WINDOW_BYTES: i64 = 256 * 1024;

/// Largest chunk of a body in one frame, in bytes.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Least that a frame counts for, in bytes; about what it takes in a queue.
const MIN_FRAME_COST: usize = 256;

/// Return what a frame with `bytes` bytes of a body counts for.
pub const fn frame_cost(bytes: usize) -> usize {
    if bytes < MIN_FRAME_COST {
        MIN_FRAME_COST
    } else {
        bytes
    }
}

/// The sender's view of the receiver's flow-control window.
#[derive(Debug)]
pub struct SendCredit {
    left: AtomicI64,
    closed: AtomicBool,
    granted: Event,
}

impl SendCredit {
    /// Start with a full window.
    pub const fn new() -> Self {
        Self {
            left: AtomicI64::new(WINDOW_BYTES),
            closed: AtomicBool::new(false),
            granted: Event::new(),
        }
    }

    /// Add bytes that the receiver has granted.
    pub fn grant(&self, bytes: u32) {
        self.left.fetch_add(i64::from(bytes), Ordering::SeqCst);
        self.granted.notify(usize::MAX);
    }

    /// Stop the sender: the receiver accepts no more, or the link is lost.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.granted.notify(usize::MAX);
    }

    /// Wait until the window is open, then spend what a frame of `bytes` counts for.
    ///
    /// May overdraw the window by one chunk, which the receiver allows for.
    /// Returns false once the credit is closed.
    pub async fn spend(&self, bytes: usize) -> bool {
        loop {
            let granted = self.granted.listen();
            if self.closed.load(Ordering::SeqCst) {
                return false;
            }
            if self.left.load(Ordering::SeqCst) > 0 {
                let cost = frame_cost(bytes) as i64;
                self.left.fetch_sub(cost, Ordering::SeqCst);
                return true;
            }
            granted.await;
        }
    }
}
