//! The receive queue of one stream.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::unbounded;
use smol::stream::Stream;

use super::credit::MAX_CHUNK_BYTES;
use super::credit::WINDOW_BYTES;
use super::write_queue::WriteQueue;
use mustardtiller_wire::Frame;

/// The result of delivering a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The frame was queued.
    Delivered,
    /// The stream's receiver was dropped.
    ReceiverGone,
    /// The peer exceeded the stream's flow-control window.
    WindowExceeded,
}

/// The sending half of an [`Inbox`], held by the link's reader.
#[derive(Debug)]
pub struct InboxSender {
    tx: Sender<Frame>,
    window: Arc<AtomicI64>,
}

/// Queue of the frames received for one stream.
#[derive(Debug)]
pub struct Inbox {
    stream: u32,
    rx: Pin<Box<Receiver<Frame>>>,
    window: Arc<AtomicI64>,
    /// Bytes consumed but not yet granted back to the peer.
    ungranted: u32,
    write_queue: WriteQueue,
}

/// Create both halves of a stream's inbox.
pub fn inbox(stream: u32, write_queue: WriteQueue) -> (InboxSender, Inbox) {
    let (tx, rx) = unbounded();
    // The sender may overdraw the window by one chunk.
    let window = Arc::new(AtomicI64::new(WINDOW_BYTES + MAX_CHUNK_BYTES as i64));
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
    pub fn deliver(&self, frame: Frame, bytes: usize) -> Delivery {
        let left = self.window.fetch_sub(bytes as i64, Ordering::SeqCst) - bytes as i64;
        if left < 0 {
            return Delivery::WindowExceeded;
        }
        match self.tx.try_send(frame) {
            Ok(()) => Delivery::Delivered,
            Err(_) => Delivery::ReceiverGone,
        }
    }
}

impl Inbox {
    /// Wait for the next frame; `None` once the link is lost.
    pub async fn next(&mut self) -> Option<Frame> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Poll for the next frame.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Frame>> {
        self.rx.as_mut().poll_next(cx)
    }

    /// Record that `bytes` bytes of a body were consumed.
    ///
    /// Grants them back to the peer in one frame once half a window has been consumed.
    pub fn note_consumed(&mut self, bytes: usize) {
        self.ungranted += bytes as u32;
        if i64::from(self.ungranted) * 2 >= WINDOW_BYTES {
            self.window
                .fetch_add(i64::from(self.ungranted), Ordering::SeqCst);
            let bytes = std::mem::take(&mut self.ungranted);
            let _ = self.write_queue.send(Frame::Credit {
                stream: self.stream,
                bytes,
            });
        }
    }
}
