//! The entry's end of a link.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use async_channel::Sender;
use async_channel::unbounded;
use event_listener::Event;

use super::credit::SendCredit;
use super::inbox::inbox;
use super::stream::ClientStream;
use super::table::LinkTable;
use super::table::Registration;
use super::write_queue::WriteQueue;
use crate::clock::Clock;
use mustardtiller_core::ClockOffset;
use mustardtiller_core::ClockSample;
use mustardtiller_core::Deadline;
use mustardtiller_core::Incarnation;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Sent;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::Unsent;
use mustardtiller_wire::Frame;
use mustardtiller_wire::RequestHead;

/// Streams that one link carries at once.
const MAX_STREAMS: u32 = 1_024;

/// Time without a frame after which a link is not trusted with what can't be
/// repeated, in microseconds: ten times what an answer usually takes.
const QUIET_MICROS: u64 = 2_000_000;

/// Time for a sign of life, in milliseconds: several ways between regions and back.
const PROOF_MS: u64 = 100;

/// Until when a request on a link is wanted.
#[derive(Clone, Copy, Debug)]
pub struct StreamDeadlines {
    /// When it stops being wanted.
    pub deadline: Deadline,
    /// Until when an answer has its full worth.
    pub target: Deadline,
}

/// An attempt that could not be put on the link.
#[derive(Debug)]
pub struct OpenError {
    /// The attempt, of which nothing was sent.
    pub unsent: Unsent,
    /// Why.
    pub reason: NotRunReason,
}

/// A link that is up, shared by all requests to one upstream's daemon.
pub struct LinkHandle {
    write_queue: WriteQueue,
    registrations: Sender<Registration>,
    next_stream: AtomicU32,
    open: AtomicU32,
    frames: AtomicU64,
    heard_at: AtomicU64,
    heard: Event,
    pings: AtomicU64,
    ping_at: AtomicU64,
    silent: AtomicBool,
    going_away: AtomicBool,
    gate: Incarnation,
    offset: ArcSwap<ClockOffset>,
}

impl LinkHandle {
    /// Create the handle of a link whose handshake is done.
    pub(super) fn new(
        write_queue: WriteQueue,
        gate: Incarnation,
        sample: ClockSample,
    ) -> (Self, LinkTable) {
        let (registrations, rx) = unbounded();
        let mut offset = ClockOffset::default();
        offset.observe(sample);
        let handle = Self {
            write_queue,
            registrations,
            next_stream: AtomicU32::new(1),
            open: AtomicU32::new(0),
            frames: AtomicU64::new(0),
            heard_at: AtomicU64::new(sample.received.as_micros()),
            heard: Event::new(),
            pings: AtomicU64::new(0),
            ping_at: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            going_away: AtomicBool::new(false),
            gate,
            offset: ArcSwap::from_pointee(offset),
        };
        (handle, LinkTable::new(rx))
    }

    /// Return the incarnation of the gate at the other end.
    #[must_use]
    pub const fn gate(&self) -> Incarnation {
        self.gate
    }

    /// Return the streams that are open.
    #[must_use]
    pub fn open_streams(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    /// Return how many frames have come.
    #[must_use]
    pub fn frames(&self) -> u64 {
        self.frames.load(Ordering::Relaxed)
    }

    /// Estimate what the gate's clock reads.
    #[must_use]
    pub fn gate_now(&self, now: Instant) -> Option<Instant> {
        self.offset.load().peer_now(now)
    }

    /// Put a request on the link.
    ///
    /// `limits` are in our time; the frame carries them in the gate's time.
    ///
    /// # Errors
    ///
    /// Returns the attempt, unsent, if the link is closed or full.
    pub fn open(
        self: &Arc<Self>,
        unsent: Unsent,
        mut head: RequestHead,
        limits: StreamDeadlines,
        now: Instant,
    ) -> Result<(Sent, ClientStream), OpenError> {
        let offset = self.offset.load();
        let there = offset.to_peer(limits.deadline, now);
        let target = offset.to_peer(limits.target, now);
        let (Some(there), Some(target)) = (there, target) else {
            return Err(OpenError {
                unsent,
                reason: NotRunReason::Unreachable,
            });
        };
        head.deadline_micros = there.instant().as_micros();
        head.target_micros = target.instant().as_micros();
        // Only the gate can say of a token that it did not run.
        let bound = head.token.is_some();
        if !bound && self.going_away.load(Ordering::SeqCst) {
            return Err(OpenError {
                unsent,
                reason: NotRunReason::Leaving,
            });
        }
        if self.open.fetch_add(1, Ordering::SeqCst) >= MAX_STREAMS {
            self.open.fetch_sub(1, Ordering::SeqCst);
            return Err(OpenError {
                unsent,
                reason: NotRunReason::LinkFull,
            });
        }
        let stream = self.register();
        let frame = Frame::Open {
            stream: stream.id(),
            head: Box::new(head),
        };
        let sent = unsent.send();
        match self.write_queue.send(frame) {
            Ok(()) => Ok((sent, stream)),
            Err(frame) => {
                let (unsent, _) = sent.unsent(frame);
                Err(OpenError {
                    unsent,
                    reason: NotRunReason::Unreachable,
                })
            }
        }
    }

    /// Ask the gate for a sign of life, its clock and its load.
    pub fn ping(&self, now: Instant) {
        let sequence = self.pings.fetch_add(1, Ordering::SeqCst) + 1;
        self.ping_at.store(now.as_micros(), Ordering::SeqCst);
        let _ = self.write_queue.send(Frame::Ping { sequence });
    }

    /// Report whether the gate has given no sign of life for long.
    #[must_use]
    pub fn is_quiet(&self, now: Instant) -> bool {
        let heard = Instant::from_micros(self.heard_at.load(Ordering::Relaxed));
        now.micros_since(heard) > QUIET_MICROS
    }

    /// Ask for a sign of life, and report whether one came.
    ///
    /// A connection that fell silent while nothing was on it is told by this
    /// before anything is lost on it. It is closed if nothing else is on it.
    pub async fn probe_alive(&self, clock: Clock) -> bool {
        let heard = self.heard.listen();
        let now = clock.now();
        self.ping(now);
        let limit = Deadline::in_millis(now, PROOF_MS);
        let alive = clock.within(limit, heard).await.is_some();
        if !alive && self.open_streams() == 0 {
            self.close_silent();
        }
        alive
    }

    pub(super) fn note_frame(&self, now: Instant) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.heard_at.store(now.as_micros(), Ordering::Relaxed);
        self.heard.notify(usize::MAX);
    }

    /// Close the link as silent; what is on it becomes unknown.
    pub fn close_silent(&self) {
        self.silent.store(true, Ordering::SeqCst);
        self.close();
    }

    /// Close the link; what is on it becomes unknown.
    pub fn close(&self) {
        self.registrations.close();
        self.write_queue.close();
    }

    /// Note that the gate closes: it takes nothing new.
    pub(super) fn note_going_away(&self) {
        self.going_away.store(true, Ordering::SeqCst);
    }

    /// Wait until the link is closed from this side.
    pub(super) async fn closed(&self) {
        self.registrations.closed().await;
    }

    /// Return why requests on the link were lost.
    pub(super) fn loss(&self) -> UnknownReason {
        if self.silent.load(Ordering::SeqCst) {
            UnknownReason::LinkSilent
        } else {
            UnknownReason::LinkLost
        }
    }

    pub(super) const fn write_queue(&self) -> &WriteQueue {
        &self.write_queue
    }

    pub(super) fn end_stream(&self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }

    /// Make a stream known to the reader before its first frame is queued.
    fn register(self: &Arc<Self>) -> ClientStream {
        let stream = self.next_stream.fetch_add(1, Ordering::SeqCst);
        let (feed, inbox) = inbox(stream, self.write_queue.clone());
        let credit = Arc::new(SendCredit::new());
        let registration = Registration {
            stream,
            feed,
            credit: Arc::clone(&credit),
        };
        // A closed table drops the feed, and the stream sees the link as lost.
        let _ = self.registrations.try_send(registration);
        ClientStream::new(Arc::clone(self), stream, inbox, credit)
    }

    pub(super) fn heard_pong(&self, sequence: u64, peer: Instant, now: Instant) {
        if sequence != self.pings.load(Ordering::SeqCst) {
            return;
        }
        let sent = Instant::from_micros(self.ping_at.load(Ordering::SeqCst));
        let mut offset = ClockOffset::clone(&self.offset.load());
        offset.observe(ClockSample {
            sent,
            received: now,
            peer,
        });
        self.offset.store(Arc::new(offset));
    }
}

impl fmt::Debug for LinkHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkHandle")
            .field("gate", &self.gate)
            .field("open", &self.open)
            .finish_non_exhaustive()
    }
}
