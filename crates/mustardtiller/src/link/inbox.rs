//! The receive queue of one stream.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::unbounded;
use smol::stream::Stream;

use super::credit::MAX_CHUNK_BYTES;
use super::credit::WINDOW_BYTES;
use super::credit::frame_cost;
use super::write_queue::WriteQueue;
use crate::board::HeldBytes;
use crate::board::Holder;
use mustardtiller_wire::Frame;

/// What a stream's frames without credit, such as heads and ends, may count for.
const CONTROL_BYTES: i64 = 4 * 1024;

/// The result of delivering a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The frame was queued.
    Delivered,
    /// The stream's receiver was dropped.
    ReceiverGone,
    /// The stream was cut, since there was no room for the frame.
    Cut,
    /// The peer exceeded the stream's flow-control window.
    WindowExceeded,
}

/// The sending half of an [`Inbox`], held by the link's reader.
#[derive(Debug)]
pub struct InboxSender {
    tx: Sender<Frame>,
    window: Arc<Window>,
}

/// Queue of the frames received for one stream.
#[derive(Debug)]
pub struct Inbox {
    stream: u32,
    rx: Pin<Box<Receiver<Frame>>>,
    window: Arc<Window>,
    /// Bytes consumed but not yet granted back to the peer.
    ungranted: u32,
    write_queue: WriteQueue,
}

/// What a stream's queue holds and may still receive, in bytes.
#[derive(Debug)]
struct Window {
    left: AtomicI64,
    held: AtomicU64,
    /// Whether the stream was cut, since there was no room for its frames.
    is_overrun: AtomicBool,
    account: Arc<HeldBytes>,
}

impl Window {
    /// Take a frame into the queue; false if there is no room for the chunk in it.
    fn charge(&self, frame: &Frame, cost: u64) -> bool {
        let own = self.held.load(Ordering::Relaxed);
        let is_chunk = matches!(frame, Frame::Data { .. } | Frame::AnswerData { .. });
        if !is_chunk {
            self.account.charge(Holder::Streams, cost);
        } else if !self.account.try_charge(Holder::Streams, own, cost) {
            self.is_overrun.store(true, Ordering::SeqCst);
            return false;
        }
        self.held.fetch_add(cost, Ordering::Relaxed);
        true
    }

    fn release(&self, cost: u64) {
        self.held.fetch_sub(cost, Ordering::Relaxed);
        self.account.release(Holder::Streams, cost);
    }
}

impl Drop for Window {
    fn drop(&mut self) {
        let held = self.held.load(Ordering::Relaxed);
        self.account.release(Holder::Streams, held);
    }
}

/// Create both halves of a stream's inbox.
pub fn inbox(stream: u32, write_queue: WriteQueue) -> (InboxSender, Inbox) {
    let (tx, rx) = unbounded();
    // The sender may overdraw the window by one chunk.
    let left = WINDOW_BYTES + MAX_CHUNK_BYTES as i64 + CONTROL_BYTES;
    let window = Arc::new(Window {
        left: AtomicI64::new(left),
        held: AtomicU64::new(0),
        is_overrun: AtomicBool::new(false),
        account: Arc::clone(write_queue.account()),
    });
    let inbox_tx = InboxSender {
        tx,
        window: Arc::clone(&window),
    };
    (
        inbox_tx,
        Inbox {
            stream,
            rx: Box::pin(rx),
            window,
            ungranted: 0,
            write_queue,
        },
    )
}

impl InboxSender {
    /// Queue a frame that carries `bytes` bytes of a body, without waiting.
    ///
    /// A chunk for which there is no room cuts the stream.
    pub fn deliver(&self, frame: Frame, bytes: usize) -> Delivery {
        let cost = frame_cost(bytes);
        let left = &self.window.left;
        if left.fetch_sub(cost as i64, Ordering::SeqCst) < cost as i64 {
            return Delivery::WindowExceeded;
        }
        if self.tx.is_closed() {
            return Delivery::ReceiverGone;
        }
        if !self.window.charge(&frame, cost as u64) {
            self.tx.close();
            return Delivery::Cut;
        }
        match self.tx.try_send(frame) {
            Ok(()) => Delivery::Delivered,
            Err(_) => Delivery::ReceiverGone,
        }
    }
}

impl Inbox {
    /// Wait for the next frame; `None` once the link is lost or the stream is cut.
    pub async fn next(&mut self) -> Option<Frame> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Poll for the next frame.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Frame>> {
        let polled = self.rx.as_mut().poll_next(cx);
        if let Poll::Ready(Some(frame)) = &polled {
            self.window.release(frame_cost(body_bytes(frame)) as u64);
        }
        polled
    }

    /// Report whether the stream was cut, since there was no room for its frames.
    pub fn is_overrun(&self) -> bool {
        self.window.is_overrun.load(Ordering::SeqCst)
    }

    /// Record that a chunk of `bytes` bytes of a body was consumed.
    ///
    /// Grants what it counts for back to the peer, in one frame once half a window has
    /// been consumed.
    pub fn note_consumed(&mut self, bytes: usize) {
        let cost = frame_cost(bytes) as u32;
        self.ungranted += cost;
        if i64::from(self.ungranted) * 2 >= WINDOW_BYTES {
            self.window
                .left
                .fetch_add(i64::from(self.ungranted), Ordering::SeqCst);
            let bytes = std::mem::take(&mut self.ungranted);
            let _ = self.write_queue.send(Frame::Credit {
                stream: self.stream,
                bytes,
            });
        }
    }
}

/// Return how many bytes of a body a frame carries.
const fn body_bytes(frame: &Frame) -> usize {
    match frame {
        Frame::Data { bytes, .. }
        | Frame::AnswerData { bytes, .. }
        | Frame::Answer { bytes, .. } => bytes.len(),
        _ => 0,
    }
}
