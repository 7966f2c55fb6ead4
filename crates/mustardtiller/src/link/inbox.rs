//! The receiving end of one stream.

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

use super::credit::PIECE_BYTES;
use super::credit::WINDOW_BYTES;
use super::write_queue::WriteQueue;
use mustardtiller_wire::Frame;

/// What became of a delivered frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The stream took it.
    Taken,
    /// Nobody waits for it any more.
    Late,
    /// The peer sent more than it was granted.
    Overrun,
}

/// Delivers frames of one stream; held by the link's reader.
#[derive(Debug)]
pub struct InboxFeed {
    tx: Sender<Frame>,
    window: Arc<AtomicI64>,
}

/// Takes the frames of one stream.
#[derive(Debug)]
pub struct Inbox {
    stream: u32,
    rx: Pin<Box<Receiver<Frame>>>,
    window: Arc<AtomicI64>,
    owed: u32,
    write_queue: WriteQueue,
}

/// Create both ends for a stream.
pub fn inbox(stream: u32, write_queue: WriteQueue) -> (InboxFeed, Inbox) {
    let (tx, rx) = unbounded();
    let window = Arc::new(AtomicI64::new(WINDOW_BYTES + PIECE_BYTES as i64));
    let feed = InboxFeed {
        tx,
        window: Arc::clone(&window),
    };
    (
        feed,
        Inbox {
            stream,
            rx: Box::pin(rx),
            window,
            owed: 0,
            write_queue,
        },
    )
}

impl InboxFeed {
    /// Deliver a frame that carries `bytes` of a body.
    pub fn deliver(&self, frame: Frame, bytes: usize) -> Delivery {
        let left = self.window.fetch_sub(bytes as i64, Ordering::SeqCst) - bytes as i64;
        if left < 0 {
            return Delivery::Overrun;
        }
        match self.tx.try_send(frame) {
            Ok(()) => Delivery::Taken,
            Err(_) => Delivery::Late,
        }
    }
}

impl Inbox {
    /// Wait for the next frame; `None` once the link is gone.
    pub async fn next(&mut self) -> Option<Frame> {
        poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Poll for the next frame.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Frame>> {
        self.rx.as_mut().poll_next(cx)
    }

    /// Record that `bytes` of a body were taken, and grant as many again.
    pub fn taken(&mut self, bytes: usize) {
        self.owed += bytes as u32;
        if i64::from(self.owed) * 2 >= WINDOW_BYTES {
            self.window
                .fetch_add(i64::from(self.owed), Ordering::SeqCst);
            let bytes = std::mem::take(&mut self.owed);
            let _ = self.write_queue.send(Frame::Credit {
                stream: self.stream,
                bytes,
            });
        }
    }
}
