//! The callers' connections that the entry holds, and how it makes room for new ones.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::board::CallerConnection;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use mustardtiller_core::CallerState;
use mustardtiller_core::callers_to_close;
use mustardtiller_core::longest_idle;

/// Share of the process's descriptors that callers may hold, as a divisor.
///
/// The rest is for links, the upstream and the platform.
const DESCRIPTOR_DIVISOR: u64 = 2;

/// Connections beyond the bound that are refused with an answer, as a divisor of it.
const REFUSED_DIVISOR: usize = 8;

/// Connections that are closed when none can be accepted for lack of descriptors.
const EXHAUSTED_BATCH: usize = 16;

/// Pause after a connection could not be accepted, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

/// What a new connection gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Room {
    /// There is room for it.
    Free,
    /// There is none, as every connection has a request in flight.
    Full,
    /// Too many are being refused already.
    Exhausted,
}

/// The callers' connections, owned by the entry listener.
#[derive(Debug)]
pub struct CallerConnections {
    node: Arc<Node>,
    open: Vec<Arc<CallerConnection>>,
    bound: usize,
}

impl CallerConnections {
    /// Hold no connection; the bound comes from the settings and the process's limits.
    pub fn new(node: &Arc<Node>) -> Self {
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let bound = node
            .settings
            .caller_connections
            .min(descriptors / DESCRIPTOR_DIVISOR)
            .max(1);
        Self {
            node: Arc::clone(node),
            open: Vec::new(),
            bound: usize::try_from(bound).unwrap_or(usize::MAX),
        }
    }

    /// Report what a connection that was just accepted gets, closing others for it.
    pub fn make_room(&mut self) -> Room {
        self.node
            .board
            .accepts_callers
            .store(true, Ordering::SeqCst);
        if self.open.len() < self.bound {
            return Room::Free;
        }
        self.open.retain(|connection| !connection.has_ended());
        let closed = callers_to_close(&self.states(), self.bound);
        self.dismiss(closed);
        if self.open.len() < self.bound {
            Room::Free
        } else if self.open.len() < self.bound + (self.bound / REFUSED_DIVISOR).max(1) {
            Room::Full
        } else {
            Room::Exhausted
        }
    }

    /// Close idle and stalled connections after one could not be accepted, and pause.
    ///
    /// If there is none to close, the daemon isn't ready until it accepts one again.
    pub async fn recover(&mut self, error: &io::Error) {
        self.free_descriptors();
        self.node.metrics.count(CounterId::AcceptsFailed);
        Event::AcceptFailed.log(format_args!("entry listener: {error}"));
        self.node.clock.sleep_millis(ACCEPT_PAUSE_MS).await;
    }

    fn free_descriptors(&mut self) {
        self.open.retain(|connection| !connection.has_ended());
        let closed = longest_idle(&self.states(), EXHAUSTED_BATCH);
        let accepts = self.dismiss(closed) > 0;
        self.node
            .board
            .accepts_callers
            .store(accepts, Ordering::SeqCst);
    }

    /// Hold a connection that was just accepted.
    pub fn add(&mut self) -> Arc<CallerConnection> {
        let connection = Arc::new(CallerConnection::new(self.node.clock.now()));
        self.open.push(Arc::clone(&connection));
        connection
    }

    fn states(&self) -> Vec<CallerState> {
        let now = self.node.clock.now();
        self.open.iter().map(|open| open.state(now)).collect()
    }

    /// Have connections closed by their tasks, and return how many.
    ///
    /// A dismissed connection is held no longer, though its task may serve one more
    /// request that was on its way.
    fn dismiss(&mut self, mut indices: Vec<usize>) -> usize {
        indices.sort_unstable();
        let count = indices.len();
        for index in indices.into_iter().rev() {
            if self.open.swap_remove(index).dismiss() {
                self.node.metrics.count(CounterId::CallersDismissed);
            }
        }
        count
    }
}

/// What callers are owed, so that a stop waits for it.
#[derive(Clone, Copy, Debug)]
pub enum Owed {
    /// Answers, on a connection whose requests are served.
    Answers,
    /// At most a refusal, and a close that doesn't reset the connection.
    Close,
}

/// Counts what callers are owed until it is dropped.
#[derive(Debug)]
pub struct OwedGuard {
    node: Arc<Node>,
    owed: Owed,
}

impl OwedGuard {
    /// Begin to count; ends when the last byte is written.
    pub fn begin(node: &Arc<Node>, owed: Owed) -> Self {
        match owed {
            Owed::Answers => {
                node.metrics.gauges.caller_connections.inc();
            }
            Owed::Close => {
                node.board.closes_owed.fetch_add(1, Ordering::SeqCst);
            }
        }
        Self {
            node: Arc::clone(node),
            owed,
        }
    }
}

impl Drop for OwedGuard {
    fn drop(&mut self) {
        match self.owed {
            Owed::Answers => {
                self.node.metrics.gauges.caller_connections.dec();
            }
            Owed::Close => {
                self.node.board.closes_owed.fetch_sub(1, Ordering::SeqCst);
            }
        }
    }
}
