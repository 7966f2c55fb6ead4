//! The gate's end of links.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::unbounded;
use bytes::Bytes;
use smol::Task;
use smol::future;
use smol::net::TcpListener;
use smol::net::TcpStream;

use super::credit::SendCredit;
use super::handshake;
use super::inbox::Delivery;
use super::inbox::InboxFeed;
use super::inbox::inbox;
use super::incoming::gate_request;
use super::reader::ReadError;
use super::reader::SocketReader;
use super::responder::Responder;
use super::write_queue::WriteQueue;
use super::write_queue::write_queue;
use crate::board::Phase;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use mustardtiller_core::Deadline;
use mustardtiller_core::Digest;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Verdict;
use mustardtiller_wire::Frame;
use mustardtiller_wire::RegistrySnapshot;
use mustardtiller_wire::RequestHead;

/// Streams that a peer may have open on one link.
const MAX_STREAMS: usize = 2_048;

/// Time for a peer's first frame, in milliseconds.
const HELLO_MS: u64 = 2_000;

/// Time since its last request for which an entry hears of shifts, in microseconds.
const USED_MICROS: u64 = 500_000;

/// Time without a frame after which a link is given up, in milliseconds.
const IDLE_MS: u64 = 90_000;

/// Accept links until the daemon drains.
pub async fn serve_links(node: Arc<Node>, listener: TcpListener) {
    loop {
        let stopped = async {
            node.board.phase.reached(Phase::Stopped).await;
            None
        };
        let accepted = async { Some(listener.accept().await) };
        match future::or(stopped, accepted).await {
            None => return,
            Some(Ok((socket, _))) => {
                let serving = serve_link(Arc::clone(&node), socket);
                node.spawn(serving);
            }
            Some(Err(e)) => {
                Event::AcceptFailed.log(format_args!("link: {e}"));
                node.clock.sleep_millis(10).await;
            }
        }
    }
}

async fn serve_link(node: Arc<Node>, socket: TcpStream) {
    let _ = socket.set_nodelay(true);
    let deadline = Deadline::in_millis(node.clock.now(), HELLO_MS);
    let accepting = handshake::accept(&node.board, node.clock, socket.clone());
    let (reader, told) = match node.clock.within(deadline, accepting).await {
        Some(Ok(accepted)) => accepted,
        Some(Err(e)) => {
            node.metrics.count(CounterId::HandshakesRefused);
            Event::HandshakeRefused.log(e);
            return;
        }
        None => return,
    };
    let (write_queue, feed) = write_queue();
    node.spawn(feed.write_all(socket));
    let (done, finished) = unbounded();
    let link = ServerLink {
        node,
        write_queue,
        streams: HashMap::new(),
        told_leaving: told.leaving,
        done,
        finished,
    };
    link.run(reader).await;
}

/// A stream as the gate's reader knows it. Dropping it cancels the request.
#[derive(Debug)]
struct ServerStream {
    feed: InboxFeed,
    credit: Arc<SendCredit>,
    task: Option<Task<()>>,
}

/// One link, owned by its reader.
#[derive(Debug)]
struct ServerLink {
    node: Arc<Node>,
    write_queue: WriteQueue,
    streams: HashMap<u32, ServerStream>,
    /// What the entry was last told of whether new work is taken.
    told_leaving: bool,
    done: Sender<u32>,
    finished: Receiver<u32>,
}

/// Why the gate gives a link up.
enum LinkFault {
    Read(ReadError),
    Broken(&'static str),
    Idle,
}

impl ServerLink {
    async fn run(mut self, mut reader: SocketReader) {
        let fault = self.read(&mut reader).await;
        match fault {
            LinkFault::Read(ReadError::Malformed { source }) => {
                self.node.metrics.count(CounterId::FramesMalformed);
                Event::FrameMalformed.log(source);
            }
            LinkFault::Broken(wrong) => {
                self.node.metrics.count(CounterId::FramesMalformed);
                Event::FrameMalformed.log(wrong);
            }
            LinkFault::Read(_) | LinkFault::Idle => {}
        }
        self.write_queue.close();
    }

    async fn read(&mut self, reader: &mut SocketReader) -> LinkFault {
        let draining = Arc::clone(&self.node);
        let shifting = Arc::clone(&self.node);
        let mut used: Option<Instant> = None;
        let mut told = false;
        let mut quiet = Deadline::in_millis(self.node.clock.now(), IDLE_MS);
        loop {
            let clock = self.node.clock;
            let availability = draining.board.gate.availability.listen();
            let load = self.node.report();
            // An entry that was told to stay away sends nothing, and would never hear.
            if self.told_leaving != load.leaving {
                self.told_leaving = load.leaving;
                let _ = self.write_queue.send(Frame::Load { load });
            }
            let next = async { Step::Frame(reader.next().await) };
            let drain = async {
                if told {
                    future::pending::<()>().await;
                }
                draining.board.phase.reached(Phase::Withdrawn).await;
                Step::Draining
            };
            let idle = async {
                clock.sleep_until(quiet).await;
                Step::Idle
            };
            let shift = async {
                shifting.board.gate.slowdown.slow_changed.listen().await;
                Step::Shifted
            };
            let changed = async {
                availability.await;
                Step::Changed
            };
            let rest = future::or(future::or(drain, changed), future::or(shift, idle));
            match future::or(next, rest).await {
                Step::Frame(Ok(frame)) => {
                    let now = clock.now();
                    quiet = Deadline::in_millis(now, IDLE_MS);
                    if matches!(frame, Frame::Open { .. }) {
                        used = Some(now);
                    }
                    self.sweep();
                    if let Err(wrong) = self.take(frame) {
                        return LinkFault::Broken(wrong);
                    }
                }
                Step::Frame(Err(e)) => return LinkFault::Read(e),
                Step::Shifted => {
                    let now = clock.now();
                    if used.is_some_and(|used| now.micros_since(used) < USED_MICROS) {
                        let load = self.node.report();
                        let _ = self.write_queue.send(Frame::Load { load });
                    }
                }
                Step::Changed => {}
                Step::Draining => {
                    told = true;
                    let _ = self.write_queue.send(Frame::GoAway);
                }
                Step::Idle => {
                    self.sweep();
                    if self.streams.is_empty() {
                        return LinkFault::Idle;
                    }
                    quiet = Deadline::in_millis(clock.now(), IDLE_MS);
                }
            }
        }
    }

    /// Forget the streams that have ended.
    fn sweep(&mut self) {
        while let Ok(stream) = self.finished.try_recv() {
            if let Some(mut ended) = self.streams.remove(&stream)
                && let Some(task) = ended.task.take()
            {
                task.detach();
            }
        }
    }

    fn take(&mut self, frame: Frame) -> Result<(), &'static str> {
        match frame {
            Frame::Open { stream, head } => self.open(stream, *head),
            Frame::Data { stream, ref bytes } => {
                let count = bytes.len();
                self.deliver(stream, frame, count)
            }
            Frame::DataEnd { stream } | Frame::DataCut { stream } => self.deliver(stream, frame, 0),
            Frame::Credit { stream, bytes } => {
                if let Some(known) = self.streams.get(&stream) {
                    known.credit.grant(bytes);
                }
                Ok(())
            }
            Frame::Cancel { stream } => {
                self.cancel(stream);
                Ok(())
            }
            Frame::Ping { sequence } => {
                let now = self.node.clock.now();
                let load = self.node.report();
                let pong = Frame::Pong {
                    sequence,
                    clock_micros: now.as_micros(),
                    load,
                };
                let _ = self.write_queue.send(pong);
                Ok(())
            }
            Frame::Fetch { stream, digest } => {
                let bytes = self.value(Digest(digest));
                let _ = self.write_queue.send(Frame::Value { stream, bytes });
                Ok(())
            }
            Frame::FetchRegistry { stream } => {
                let bytes = Some(self.registry());
                let _ = self.write_queue.send(Frame::Value { stream, bytes });
                Ok(())
            }
            Frame::Hello(_)
            | Frame::Welcome(_)
            | Frame::Admitted { .. }
            | Frame::Refused { .. }
            | Frame::Answer { .. }
            | Frame::AnswerData { .. }
            | Frame::AnswerEnd { .. }
            | Frame::AnswerCut { .. }
            | Frame::Pong { .. }
            | Frame::Value { .. }
            | Frame::Load { .. }
            | Frame::GoAway => Err("an entry sent a gate's frame"),
        }
    }

    fn open(&mut self, stream: u32, head: RequestHead) -> Result<(), &'static str> {
        if self.streams.contains_key(&stream) {
            return Err("a stream was opened twice");
        }
        if self.streams.len() >= MAX_STREAMS {
            self.refuse(stream, NotRunReason::LinkFull);
            return Ok(());
        }
        if !self.node.serves(&head.upstream) {
            self.refuse(stream, NotRunReason::WrongUpstream);
            return Ok(());
        }
        let (feed, inbox) = inbox(stream, self.write_queue.clone());
        let credit = Arc::new(SendCredit::new());
        let responder = Responder {
            node: Arc::clone(&self.node),
            write_queue: self.write_queue.clone(),
            stream,
            credit: Arc::clone(&credit),
            done: self.done.clone(),
        };
        let req = gate_request(head, inbox, self.write_queue.clone(), stream);
        // An order with a token runs to its end, so that a repeat finds its answer.
        let detached = req.token.is_some();
        let task = self.node.spawn_task(responder.respond(req));
        let task = if detached {
            task.detach();
            None
        } else {
            Some(task)
        };
        self.streams
            .insert(stream, ServerStream { feed, credit, task });
        Ok(())
    }

    fn refuse(&self, stream: u32, reason: NotRunReason) {
        let verdict = Verdict::NotRun(reason).into();
        let load = self.node.report();
        let _ = self.write_queue.send(Frame::Refused {
            stream,
            verdict,
            load,
        });
    }

    /// Drop a request whose caller has gone, and say that it ended.
    ///
    /// One with a token goes on to its end and says so itself.
    fn cancel(&mut self, stream: u32) {
        let Some(known) = self.streams.get(&stream) else {
            return;
        };
        self.node.metrics.count(CounterId::CallersGone);
        known.credit.close();
        if known.task.is_some() {
            self.streams.remove(&stream);
            let _ = self.write_queue.send_behind(Frame::AnswerCut { stream });
        }
    }

    fn deliver(&self, stream: u32, frame: Frame, bytes: usize) -> Result<(), &'static str> {
        match self
            .streams
            .get(&stream)
            .map(|s| s.feed.deliver(frame, bytes))
        {
            Some(Delivery::Overrun) => Err("a stream exceeded its window"),
            Some(Delivery::Taken | Delivery::Late) | None => Ok(()),
        }
    }

    /// Return the registered upstreams as they travel.
    fn registry(&self) -> Bytes {
        let registry = self.node.board.registry.read();
        let form = RegistrySnapshot {
            entries: registry
                .entries()
                .map(|entry| entry.as_ref().into())
                .collect(),
        };
        let bytes = postcard::to_allocvec(&form).expect("a registry can be encoded");
        Bytes::from(bytes)
    }

    fn value(&self, digest: Digest) -> Option<Bytes> {
        let artefact = self.node.board.artefact.share();
        let artefact = artefact.as_ref().as_ref()?;
        if artefact.version().digest == digest {
            return Some(Bytes::copy_from_slice(&artefact.manifest_bytes));
        }
        artefact
            .parts
            .get(&digest)
            .map(|bytes| Bytes::copy_from_slice(bytes))
    }
}

impl Drop for ServerLink {
    fn drop(&mut self) {
        for known in self.streams.values() {
            known.credit.close();
        }
    }
}

enum Step {
    Frame(Result<Frame, ReadError>),
    Draining,
    Changed,
    Shifted,
    Idle,
}
