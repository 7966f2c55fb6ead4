//! The entry's end of a link.

use std::fmt;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use async_channel::Sender;
use async_channel::unbounded;
use event_listener::Event;
use event_listener::EventListener;

use super::credit::SendCredit;
use super::inbox::inbox;
use super::stream::ClientStream;
use super::table::StreamRegistration;
use super::table::StreamTable;
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
use mustardtiller_wire::ReadStreams;
use mustardtiller_wire::RequestHead;

/// Streams that may be open on one link at once.
const MAX_STREAMS: u32 = 1_024;

/// Time without a frame after which a link counts as quiet, in microseconds.
///
/// A quiet link is checked with a ping before a non-idempotent request is sent
/// on it.
const QUIET_MICROS: u64 = 2_000_000;

/// Timeout of the ping that checks a quiet link, in milliseconds.
///
/// It allows for several round trips between regions.
const LIVENESS_TIMEOUT_MS: u64 = 100;

/// The deadlines of a request on a link.
#[derive(Clone, Copy, Debug)]
pub struct StreamDeadlines {
    /// When the caller gives up on the request.
    pub deadline: Deadline,
    /// Latest time for the answer to meet the latency target.
    pub target: Deadline,
}

/// An attempt that could not be sent on the link.
#[derive(Debug)]
pub struct OpenError {
    /// The attempt, of which nothing was sent.
    pub unsent: Unsent,
    /// Why it was not sent.
    pub reason: NotRunReason,
}

/// A link that is up, shared by all requests to one upstream's daemon.
pub struct LinkHandle {
    write_queue: WriteQueue,
    registrations: Sender<StreamRegistration>,
    next_stream: AtomicU32,
    open: AtomicU32,
    frames: AtomicU64,
    last_frame_at: AtomicU64,
    frame_received: Event,
    pings: AtomicU64,
    ping_sent_at: AtomicU64,
    silent: AtomicBool,
    going_away: AtomicBool,
    gate_incarnation: Incarnation,
    /// Random number by which the gate knows the link.
    id: u64,
    /// Notified when an answer on the link is overdue.
    pub(super) overdue: Event,
    /// What the gate has read of a link that was disowned.
    read: OnceLock<ReadStreams>,
    offset: ArcSwap<ClockOffset>,
}

impl LinkHandle {
    /// Create the handle and stream table of a link after its handshake.
    pub(super) fn new(
        write_queue: WriteQueue,
        gate_incarnation: Incarnation,
        id: u64,
        sample: ClockSample,
    ) -> (Self, StreamTable) {
        let (registrations, rx) = unbounded();
        let mut offset = ClockOffset::default();
        offset.observe(sample);
        let handle = Self {
            write_queue,
            registrations,
            next_stream: AtomicU32::new(1),
            open: AtomicU32::new(0),
            frames: AtomicU64::new(0),
            last_frame_at: AtomicU64::new(sample.received.as_micros()),
            frame_received: Event::new(),
            pings: AtomicU64::new(0),
            ping_sent_at: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            going_away: AtomicBool::new(false),
            gate_incarnation,
            id,
            overdue: Event::new(),
            read: OnceLock::new(),
            offset: ArcSwap::from_pointee(offset),
        };
        (handle, StreamTable::new(rx))
    }

    /// Return the incarnation of the gate at the other end.
    #[must_use]
    pub const fn gate_incarnation(&self) -> Incarnation {
        self.gate_incarnation
    }

    /// Return the number of open streams.
    #[must_use]
    pub fn open_streams(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    /// Return how many frames were received.
    #[must_use]
    pub fn frames(&self) -> u64 {
        self.frames.load(Ordering::Relaxed)
    }

    /// Estimate the gate's clock reading; `None` while the clock offset is unknown.
    #[must_use]
    pub fn gate_now(&self, now: Instant) -> Option<Instant> {
        self.offset.load().peer_now(now)
    }

    /// Return the measured round trip to the gate, in microseconds.
    pub(super) fn round_trip_micros(&self) -> u64 {
        self.offset.load().round_trip_micros()
    }

    /// Report whether the estimate of the gate's clock is too wide for deadlines.
    #[must_use]
    pub fn needs_clock_exchange(&self, now: Instant) -> bool {
        self.offset.load().needs_exchange(now)
    }

    /// Open a stream and send the request's head.
    ///
    /// `deadlines` are in this daemon's time; the frame carries them in the gate's time.
    ///
    /// # Errors
    ///
    /// Returns the attempt, unsent, if the link is closed or full, if the clock
    /// offset is unknown, or if the gate is leaving and the request has no token.
    pub fn open(
        self: &Arc<Self>,
        unsent: Unsent,
        mut head: RequestHead,
        deadlines: StreamDeadlines,
        now: Instant,
    ) -> Result<(Sent, ClientStream), OpenError> {
        let offset = self.offset.load();
        let gate_deadline = offset.to_peer(deadlines.deadline, now);
        let target = offset.to_peer(deadlines.target, now);
        let (Some(gate_deadline), Some(target)) = (gate_deadline, target) else {
            return Err(OpenError {
                unsent,
                reason: NotRunReason::Unreachable,
            });
        };
        head.deadline_micros = gate_deadline.instant().as_micros();
        head.target_micros = target.instant().as_micros();
        // A token is bound to one gate, and only that gate's ledger knows whether it
        // was used: such a request is sent there even while the gate is leaving.
        let has_token = head.token.is_some();
        if !has_token && self.going_away.load(Ordering::SeqCst) {
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

    /// Send a ping; the gate replies with its clock and load.
    pub fn ping(&self, now: Instant) {
        let sequence = self.pings.fetch_add(1, Ordering::SeqCst) + 1;
        self.ping_sent_at.store(now.as_micros(), Ordering::SeqCst);
        let _ = self.write_queue.send(Frame::Ping { sequence });
    }

    /// Report whether no frame has come for longer than `QUIET_MICROS`.
    #[must_use]
    pub fn is_quiet(&self, now: Instant) -> bool {
        now.micros_since(self.last_frame_at()) > QUIET_MICROS
    }

    /// Return when the last frame was received.
    pub(super) fn last_frame_at(&self) -> Instant {
        Instant::from_micros(self.last_frame_at.load(Ordering::Relaxed))
    }

    /// Record that an answer on the link takes longer than usual.
    pub fn note_overdue(&self) {
        self.overdue.notify(usize::MAX);
    }

    /// Ping the gate and report whether any frame comes in time.
    ///
    /// This detects a connection that died while idle before a request is lost
    /// on it. Without a reply the link is closed, unless streams are open on it.
    pub async fn probe_alive(&self, clock: Clock) -> bool {
        let frame_received = self.frame_received.listen();
        let now = clock.now();
        self.ping(now);
        let limit = Deadline::in_millis(now, LIVENESS_TIMEOUT_MS);
        let alive = clock.within(limit, frame_received).await.is_some();
        if !alive && self.open_streams() == 0 {
            self.close_silent();
        }
        alive
    }

    /// Record that a frame was received.
    pub(super) fn note_frame(&self, now: Instant) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        self.last_frame_at.store(now.as_micros(), Ordering::Relaxed);
        self.frame_received.notify(usize::MAX);
    }

    /// Close the link as silent; the outcome of its open streams becomes unknown.
    pub fn close_silent(&self) {
        self.silent.store(true, Ordering::SeqCst);
        self.close();
    }

    /// Close the link; the outcome of its open streams becomes unknown.
    pub fn close(&self) {
        self.registrations.close();
        self.write_queue.close();
    }

    /// Record that the gate accepts no new requests on this link.
    pub(super) fn note_going_away(&self) {
        self.going_away.store(true, Ordering::SeqCst);
    }

    /// Wait until the link is closed from this side.
    pub(super) async fn closed(&self) {
        self.registrations.closed().await;
    }

    /// Return the random number by which the gate knows the link.
    pub(super) const fn id(&self) -> u64 {
        self.id
    }

    /// Listen for the next frame from the gate.
    pub(super) fn frame_received(&self) -> EventListener {
        self.frame_received.listen()
    }

    /// Report whether a stream of this number was ever opened.
    pub(super) fn has_opened(&self, stream: u32) -> bool {
        (1..self.next_stream.load(Ordering::SeqCst)).contains(&stream)
    }

    /// Record what the gate had read when the link was disowned.
    ///
    /// It reads no more, so that a request that it has not read never runs.
    pub(super) fn note_read(&self, read: ReadStreams) {
        let _ = self.read.set(read);
    }

    /// Report whether the gate has stated that it never read the stream's head.
    pub(super) fn is_unread(&self, stream: u32) -> bool {
        self.read.get().is_some_and(|read| !read.contains(stream))
    }

    /// Return the reason reported for requests lost with the link.
    pub(super) fn lost_reason(&self) -> UnknownReason {
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

    /// Register a new stream with the reader, before its first frame is queued.
    fn register(self: &Arc<Self>) -> ClientStream {
        let stream = self.next_stream.fetch_add(1, Ordering::SeqCst);
        let (inbox_tx, inbox) = inbox(stream, self.write_queue.clone());
        let credit = Arc::new(SendCredit::new());
        let registration = StreamRegistration {
            stream,
            inbox_tx,
            credit: Arc::clone(&credit),
        };
        // If the table is closed, `inbox_tx` is dropped and the stream sees the link
        // as lost.
        let _ = self.registrations.try_send(registration);
        ClientStream::new(Arc::clone(self), stream, inbox, credit)
    }

    /// Update the clock offset from the reply to the latest ping.
    pub(super) fn note_pong(&self, sequence: u64, peer: Instant, now: Instant) {
        if sequence != self.pings.load(Ordering::SeqCst) {
            return;
        }
        let sent = Instant::from_micros(self.ping_sent_at.load(Ordering::SeqCst));
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
            .field("gate", &self.gate_incarnation)
            .field("open", &self.open)
            .finish_non_exhaustive()
    }
}
