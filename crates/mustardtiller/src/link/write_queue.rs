//! The sending half of a link.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::unbounded;
use event_listener::Event;
use smol::future;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use mustardtiller_wire::Frame;
use mustardtiller_wire::encode_frame;

/// Bytes of bodies queued on one link before their senders wait.
const MAX_BULK_BYTES: usize = 128 * 1024;

/// Bytes gathered into one write.
const WRITE_BYTES: usize = 64 * 1024;

/// Queues frames for the writer of one link.
///
/// Heads and control go before bodies, so a large upload does not hold up a
/// browse. Pieces of bodies wait while too many bytes are queued.
#[derive(Clone, Debug)]
pub struct WriteQueue {
    urgent: Sender<Frame>,
    bulk: Sender<Frame>,
    queue: Arc<BulkQueue>,
}

#[derive(Debug)]
struct BulkQueue {
    bytes: AtomicUsize,
    drained: Event,
}

/// The writer's ends of an [`WriteQueue`].
#[derive(Debug)]
pub struct LinkWriter {
    urgent: Receiver<Frame>,
    bulk: Receiver<Frame>,
    queue: Arc<BulkQueue>,
}

/// Create an outlet and the feed for its writer.
pub fn write_queue() -> (WriteQueue, LinkWriter) {
    let (urgent_tx, urgent) = unbounded();
    let (bulk_tx, bulk) = unbounded();
    let queue = Arc::new(BulkQueue {
        bytes: AtomicUsize::new(0),
        drained: Event::new(),
    });
    let write_queue = WriteQueue {
        urgent: urgent_tx,
        bulk: bulk_tx,
        queue: Arc::clone(&queue),
    };
    (
        write_queue,
        LinkWriter {
            urgent,
            bulk,
            queue,
        },
    )
}

impl WriteQueue {
    /// Queue a head or a control frame; gives it back if the link is closed.
    pub fn send(&self, frame: Frame) -> Result<(), Box<Frame>> {
        let sent = self.urgent.try_send(frame);
        sent.map_err(|refused| Box::new(refused.into_inner()))
    }

    /// Queue a frame behind the bodies, without waiting.
    pub fn send_behind(&self, frame: Frame) -> Result<(), Box<Frame>> {
        let sent = self.bulk.try_send(frame);
        sent.map_err(|refused| Box::new(refused.into_inner()))
    }

    /// Queue a piece of a body, waiting while too much is queued.
    pub async fn send_piece(&self, frame: Frame, bytes: usize) -> Result<(), Box<Frame>> {
        loop {
            let drained = self.queue.drained.listen();
            if self.queue.bytes.load(Ordering::SeqCst) < MAX_BULK_BYTES {
                break;
            }
            if self.bulk.is_closed() {
                return Err(Box::new(frame));
            }
            drained.await;
        }
        self.queue.bytes.fetch_add(bytes, Ordering::SeqCst);
        self.send_behind(frame)
    }

    /// Close the link; what is queued is still written.
    pub fn close(&self) {
        self.urgent.close();
        self.bulk.close();
        self.queue.drained.notify(usize::MAX);
    }
}

impl LinkWriter {
    /// Write frames until the outlet closes or the connection fails.
    pub async fn write_all(self, mut socket: TcpStream) {
        while let Some(frame) = self.next().await {
            // Idle links are many and hold no buffer.
            let mut buf = Vec::new();
            self.gather(&frame, &mut buf);
            if socket.write_all(&buf).await.is_err() {
                break;
            }
        }
        let _ = socket.close().await;
        self.urgent.close();
        self.bulk.close();
        self.queue.drained.notify(usize::MAX);
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

    fn gather(&self, first: &Frame, buf: &mut Vec<u8>) {
        self.encode(first, buf);
        while buf.len() < WRITE_BYTES {
            let Ok(frame) = self.urgent.try_recv().or_else(|_| self.bulk.try_recv()) else {
                return;
            };
            self.encode(&frame, buf);
        }
    }

    fn encode(&self, frame: &Frame, buf: &mut Vec<u8>) {
        if let Frame::Data { bytes, .. } | Frame::AnswerData { bytes, .. } = frame {
            self.queue.bytes.fetch_sub(bytes.len(), Ordering::SeqCst);
            self.queue.drained.notify(usize::MAX);
        }
        encode_frame(frame, buf).expect("heads and pieces are bounded where they are made");
    }
}
