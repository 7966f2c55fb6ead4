//! Connections from callers, and whether the entry accepts them.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use event_listener::Event;

use mustardtiller_core::CallerState;
use mustardtiller_core::CallerTimes;
use mustardtiller_core::Instant;

/// Value of `idle_since` while a request is in flight.
const BUSY: u64 = u64::MAX;

/// Value of `awaited_since` and `unread_since` while the caller owes nothing.
const NOT_AWAITED: u64 = u64::MAX;

/// One connection from a caller.
///
/// Its own task writes all but `unwanted`, which the entry listener writes.
#[derive(Debug)]
pub struct CallerConnection {
    /// Since when it has waited for a request, in microseconds, or [`BUSY`].
    idle_since: AtomicU64,
    /// Since when bytes of a body are awaited, in microseconds, or [`NOT_AWAITED`].
    awaited_since: AtomicU64,
    /// Since when the caller reads nothing, in microseconds, or [`NOT_AWAITED`].
    unread_since: AtomicU64,
    /// Whether the head of the answer is there, so that no body is awaited.
    is_answering: AtomicBool,
    /// Requests whose heads have been read.
    requests: AtomicU64,
    /// Whether the last request has a body whose end has not been read.
    body_unread: AtomicBool,
    /// Whether a head that arrived has more fields than the parser has space for.
    head_held: AtomicBool,
    unwanted: AtomicBool,
    ended: AtomicBool,
    changed: Event,
}

impl CallerConnection {
    /// Create the state of a connection that was accepted at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            idle_since: AtomicU64::new(now.as_micros()),
            awaited_since: AtomicU64::new(NOT_AWAITED),
            unread_since: AtomicU64::new(NOT_AWAITED),
            is_answering: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            body_unread: AtomicBool::new(false),
            head_held: AtomicBool::new(false),
            unwanted: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            changed: Event::new(),
        }
    }

    /// Record that a request is in flight, and whether it has a body.
    pub fn begin_request(&self, has_body: bool) {
        self.body_unread.store(has_body, Ordering::SeqCst);
        self.is_answering.store(false, Ordering::Relaxed);
        self.idle_since.store(BUSY, Ordering::SeqCst);
        self.requests.fetch_add(1, Ordering::SeqCst);
    }

    /// Return the number of requests whose heads have been read.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::SeqCst)
    }

    /// Record whether a head waits for a parser with space for more fields.
    pub fn hold_head(&self, held: bool) {
        self.head_held.store(held, Ordering::Relaxed);
    }

    /// Report whether a head waits for a parser with space for more fields.
    #[must_use]
    pub fn is_head_held(&self) -> bool {
        self.head_held.load(Ordering::Relaxed)
    }

    /// Record that the end of the request's body has been read.
    pub fn end_body(&self) {
        self.body_unread.store(false, Ordering::SeqCst);
    }

    /// Report whether the next bytes belong to a head.
    ///
    /// After an answer that came before its request's body, they are the rest of that body.
    #[must_use]
    pub fn awaits_head(&self) -> bool {
        self.idle_since.load(Ordering::SeqCst) != BUSY && !self.body_unread.load(Ordering::SeqCst)
    }

    /// Record that the head of the answer is there; the rest of the body is not awaited.
    pub fn begin_answer(&self) {
        self.is_answering.store(true, Ordering::Relaxed);
        self.end_wait();
    }

    /// Record that no request is in flight since `now`, as its answer is written.
    pub fn end_request(&self, now: Instant) {
        self.end_wait();
        self.idle_since.store(now.as_micros(), Ordering::SeqCst);
    }

    /// Record that bytes of a body are awaited since `now`, unless it is being answered.
    pub fn begin_wait(&self, now: Instant) {
        if !self.is_answering.load(Ordering::Relaxed) {
            self.awaited_since.store(now.as_micros(), Ordering::Relaxed);
        }
    }

    /// Record that no bytes of a body are awaited.
    pub fn end_wait(&self) {
        self.awaited_since.store(NOT_AWAITED, Ordering::Relaxed);
    }

    /// Record that the caller reads nothing since `now`.
    pub fn begin_unread(&self, now: Instant) {
        self.unread_since.store(now.as_micros(), Ordering::Relaxed);
    }

    /// Record that the caller reads on.
    pub fn end_unread(&self) {
        self.unread_since.store(NOT_AWAITED, Ordering::Relaxed);
    }

    /// Report whether the connection may be closed at `now` without a word.
    ///
    /// Either no request is in flight, or the connection is to make room and its caller
    /// doesn't read the answer.
    #[must_use]
    pub fn is_closable(&self, now: Instant) -> bool {
        let times = self.times();
        match times.state(now) {
            CallerState::Idle(_) => true,
            CallerState::Stalled(_) => self.is_dismissed() && times.unread(now).is_some(),
            CallerState::Busy => false,
        }
    }

    /// Report whether a head is awaited and no byte of an answer is unwritten.
    #[must_use]
    pub fn is_between_requests(&self) -> bool {
        self.awaits_head() && self.unread_since.load(Ordering::Relaxed) == NOT_AWAITED
    }

    /// Return what the connection does at `now`.
    #[must_use]
    pub fn state(&self, now: Instant) -> CallerState {
        self.times().state(now)
    }

    fn times(&self) -> CallerTimes {
        CallerTimes {
            idle_since: read_time(&self.idle_since),
            awaited_since: read_time(&self.awaited_since),
            unread_since: read_time(&self.unread_since),
        }
    }

    /// Ask the connection's task to close it once no request is in flight.
    ///
    /// Returns whether this is the first time.
    pub fn dismiss(&self) -> bool {
        let first = !self.unwanted.swap(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
        first
    }

    /// Report whether the connection is to be closed.
    #[must_use]
    pub fn is_dismissed(&self) -> bool {
        self.unwanted.load(Ordering::SeqCst)
    }

    /// Wait until the connection is to be closed.
    pub async fn dismissed(&self) {
        loop {
            let changed = self.changed.listen();
            if self.unwanted.load(Ordering::SeqCst) {
                return;
            }
            changed.await;
        }
    }

    /// Record that the connection has ended.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Report whether the connection has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

/// Read a time; `None` if it is [`BUSY`] or [`NOT_AWAITED`].
fn read_time(time: &AtomicU64) -> Option<Instant> {
    let micros = time.load(Ordering::SeqCst);
    (micros != BUSY && micros != NOT_AWAITED).then(|| Instant::from_micros(micros))
}
