//! The write queue of a link.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::unbounded;
use event_listener::Event as Signal;
use smol::future;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::credit::frame_cost;
use crate::board::HeldBytes;
use crate::board::Holder;
use crate::events::Event;
use mustardtiller_wire::Frame;
use mustardtiller_wire::WireError;
use mustardtiller_wire::encode_frame;

/// Bytes of bodies queued on one link before their senders are held back.
const MAX_BULK_BYTES: usize = 128 * 1024;

/// Most frames that may wait ahead of bodies; a peer that leaves more unread is lost.
const MAX_URGENT_FRAMES: usize = 16_384;

/// Size from which a batch is written without adding further frames, in bytes.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// The queue of frames to be written to one link.
///
/// Heads and control frames go before bodies, so that a large upload does not
/// delay a small request. Senders of bodies get backpressure while too many
/// bytes are queued.
#[derive(Clone, Debug)]
pub struct WriteQueue {
    urgent: Sender<Frame>,
    bulk: Sender<Frame>,
    bulk_bytes: Arc<BulkBytes>,
}

/// What the bodies that are queued count for, in bytes.
#[derive(Debug)]
struct BulkBytes {
    bytes: AtomicUsize,
    drained: Signal,
    account: Arc<HeldBytes>,
}

impl BulkBytes {
    fn add(&self, cost: usize) {
        self.bytes.fetch_add(cost, Ordering::SeqCst);
        self.account.charge(Holder::Links, cost as u64);
    }

    fn sub(&self, cost: usize) {
        self.bytes.fetch_sub(cost, Ordering::SeqCst);
        self.account.release(Holder::Links, cost as u64);
        self.drained.notify(usize::MAX);
    }
}

impl Drop for BulkBytes {
    fn drop(&mut self) {
        let left = self.bytes.load(Ordering::SeqCst);
        self.account.release(Holder::Links, left as u64);
    }
}

/// The receiving half of a [`WriteQueue`], which writes its frames to the connection.
#[derive(Debug)]
pub struct LinkWriter {
    urgent: Receiver<Frame>,
    bulk: Receiver<Frame>,
    bulk_bytes: Arc<BulkBytes>,
}

/// Create a write queue and its writer; what is queued is charged to `account`.
pub fn write_queue(account: &Arc<HeldBytes>) -> (WriteQueue, LinkWriter) {
    let (urgent_tx, urgent) = unbounded();
    let (bulk_tx, bulk) = unbounded();
    let bulk_bytes = Arc::new(BulkBytes {
        bytes: AtomicUsize::new(0),
        drained: Signal::new(),
        account: Arc::clone(account),
    });
    let write_queue = WriteQueue {
        urgent: urgent_tx,
        bulk: bulk_tx,
        bulk_bytes: Arc::clone(&bulk_bytes),
    };
    (
        write_queue,
        LinkWriter {
            urgent,
            bulk,
            bulk_bytes,
        },
    )
}

impl WriteQueue {
    /// Queue a head or control frame, ahead of bodies.
    ///
    /// Closes the queue if the peer leaves too many of them unread.
    ///
    /// # Errors
    ///
    /// Returns the frame if the link is closed.
    pub fn send(&self, frame: Frame) -> Result<(), Box<Frame>> {
        if self.is_overrun() {
            self.close();
        }
        let sent = self.urgent.try_send(frame);
        sent.map_err(|refused| Box::new(refused.into_inner()))
    }

    /// Queue a frame after the bodies already queued, without waiting.
    ///
    /// # Errors
    ///
    /// Returns the frame if the link is closed.
    pub fn send_after_bodies(&self, frame: Frame) -> Result<(), Box<Frame>> {
        let sent = self.bulk.try_send(frame);
        sent.map_err(|refused| Box::new(refused.into_inner()))
    }

    /// Queue a chunk of a body, waiting while too many bytes are queued.
    ///
    /// # Errors
    ///
    /// Returns the frame if the link is closed.
    pub async fn send_chunk(&self, frame: Frame, bytes: usize) -> Result<(), Box<Frame>> {
        loop {
            let drained = self.bulk_bytes.drained.listen();
            if self.bulk_bytes.bytes.load(Ordering::SeqCst) < MAX_BULK_BYTES {
                break;
            }
            if self.bulk.is_closed() {
                return Err(Box::new(frame));
            }
            drained.await;
        }
        let cost = frame_cost(bytes);
        self.bulk_bytes.add(cost);
        let sent = self.send_after_bodies(frame);
        if sent.is_err() {
            self.bulk_bytes.sub(cost);
        }
        sent
    }

    /// Report whether the peer has left too many frames unread.
    pub fn is_overrun(&self) -> bool {
        self.urgent.len() >= MAX_URGENT_FRAMES
    }

    /// Return the account that the link's queues are charged to.
    pub fn account(&self) -> &Arc<HeldBytes> {
        &self.bulk_bytes.account
    }

    /// Close the queue; frames already queued are still written.
    pub fn close(&self) {
        self.urgent.close();
        self.bulk.close();
        self.bulk_bytes.drained.notify(usize::MAX);
    }
}

impl LinkWriter {
    /// Write frames until the queue is closed or the connection fails.
    pub async fn write_all(self, mut socket: TcpStream) {
        while let Some(frame) = self.next().await {
            // Each batch gets a new buffer, so that idle links, the majority, hold none.
            let mut buf = Vec::new();
            if let Err(e) = self.encode_batch(&frame, &mut buf) {
                Event::FrameMalformed.log(format_args!("not sent: {e}"));
                break;
            }
            if socket.write_all(&buf).await.is_err() {
                break;
            }
        }
        let _ = socket.close().await;
        self.urgent.close();
        self.bulk.close();
        self.bulk_bytes.drained.notify(usize::MAX);
    }

    async fn next(&self) -> Option<Frame> {
        let urgent = async { self.urgent.recv().await.ok() };
        let bulk = async { self.bulk.recv().await.ok() };
        match future::or(urgent, bulk).await {
            Some(frame) => Some(frame),
            None => self
                .urgent
                .try_recv()
                .or_else(|_| self.bulk.try_recv())
                .ok(),
        }
    }

    /// Encode `first` and whatever else is queued, up to [`WRITE_BATCH_BYTES`].
    fn encode_batch(&self, first: &Frame, buf: &mut Vec<u8>) -> Result<(), WireError> {
        self.encode(first, buf)?;
        while buf.len() < WRITE_BATCH_BYTES {
            let Ok(frame) = self.urgent.try_recv().or_else(|_| self.bulk.try_recv()) else {
                return Ok(());
            };
            self.encode(&frame, buf)?;
        }
        Ok(())
    }

    fn encode(&self, frame: &Frame, buf: &mut Vec<u8>) -> Result<(), WireError> {
        if let Frame::Data { bytes, .. } | Frame::AnswerData { bytes, .. } = frame {
            self.bulk_bytes.sub(frame_cost(bytes.len()));
        }
        encode_frame(frame, buf)
    }
}
