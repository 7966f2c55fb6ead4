//! The gate's end of a link: accepts connections and runs their requests.

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
use super::disown::DirectoryEntry;
use super::disown::LinkName;
use super::disown::SeenStreams;
use super::handshake;
use super::inbox::Delivery;
use super::inbox::InboxSender;
use super::inbox::inbox;
use super::incoming::gate_request;
use super::reader::ReadError;
use super::reader::SocketReader;
use super::responder::Responder;
use super::write_queue::WriteQueue;
use super::write_queue::write_queue;
use crate::board::HeldGuard;
use crate::board::Holder;
use crate::board::Phase;
use crate::body::hold;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use mustardtiller_core::Deadline;
use mustardtiller_core::Digest;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Verdict;
use mustardtiller_wire::BodyFraming;
use mustardtiller_wire::Frame;
use mustardtiller_wire::MAX_FRAME_BYTES;
use mustardtiller_wire::RegistrySnapshot;
use mustardtiller_wire::RequestHead;

/// Most values that may wait on one link; peers ask for one after the other.
const MAX_WAITING_VALUES: usize = 4;

/// Streams that a peer may have open on one link.
const MAX_STREAMS: usize = 2_048;

/// Largest encoded registry that is sent to a peer, in bytes: one frame with its header.
const MAX_REGISTRY_BYTES: usize = MAX_FRAME_BYTES - 64;

/// Time to complete the handshake, in milliseconds.
const HELLO_TIMEOUT_MS: u64 = 2_000;

/// Time for which an entry counts as active after a request, in microseconds.
///
/// Active entries get a load report at once when the upstream becomes slow or
/// recovers.
const RECENT_USE_MICROS: u64 = 500_000;

/// Time from the statement of what was read of a disowned link to its end, in milliseconds.
///
/// The entry would take the requests as lost if it saw the end first.
const DISOWNED_MS: u64 = 200;

/// Time without a frame after which a link without streams is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 90_000;

/// Accept links until the daemon has stopped.
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
                node.metrics.count(CounterId::AcceptsFailed);
                Event::AcceptFailed.log(format_args!("link listener: {e}"));
                node.clock.sleep_millis(10).await;
            }
        }
    }
}

async fn serve_link(node: Arc<Node>, socket: TcpStream) {
    let _ = socket.set_nodelay(true);
    let deadline = Deadline::in_millis(node.clock.now(), HELLO_TIMEOUT_MS);
    let accepting = handshake::accept(&node.board, node.clock, socket.clone());
    let (reader, sent_load, name) = match node.clock.within(deadline, accepting).await {
        Some(Ok(accepted)) => {
            node.adopt_notice();
            accepted
        }
        Some(Err(e)) => {
            node.metrics.count(CounterId::HandshakesRefused);
            Event::HandshakeRefused.log(e);
            return;
        }
        None => {
            node.metrics.count(CounterId::HandshakesRefused);
            Event::HandshakeRefused.log("no handshake in time");
            return;
        }
    };
    let (write_queue, writer) = write_queue(&node.board.held);
    node.spawn(writer.write_all(socket));
    let (finished_tx, finished_rx) = unbounded();
    let link = ServerLink {
        entry: node.links.enter(name),
        seen: SeenStreams::default(),
        node,
        write_queue,
        streams: HashMap::new(),
        waiting_values: Arc::new(()),
        reported_leaving: sent_load.leaving,
        finished_tx,
        finished_rx,
    };
    link.run(reader).await;
}

/// The reader's state of one stream. Dropping it cancels the request.
#[derive(Debug)]
struct ServerStream {
    inbox_tx: InboxSender,
    credit: Arc<SendCredit>,
    /// The running request; `None` for one with a token, which is never cancelled.
    task: Option<Task<()>>,
}

/// One link, owned by its reader.
#[derive(Debug)]
struct ServerLink {
    node: Arc<Node>,
    write_queue: WriteQueue,
    streams: HashMap<u32, ServerStream>,
    /// The link's place among those that the gate serves.
    entry: DirectoryEntry,
    /// The streams whose heads were read.
    seen: SeenStreams,
    /// Shared by the values that wait to be written.
    waiting_values: Arc<()>,
    /// The `leaving` flag in the welcome, or in the last report of its change.
    reported_leaving: bool,
    finished_tx: Sender<u32>,
    /// Streams whose requests have ended.
    finished_rx: Receiver<u32>,
}

/// A value that counts as waiting until it is written.
struct WaitingValue {
    bytes: Bytes,
    _waiting: Arc<()>,
}

impl AsRef<[u8]> for WaitingValue {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Why the gate closes a link.
enum ServerLinkEnd {
    Read(ReadError),
    Violation(&'static str),
    Idle,
    Disowned,
}

impl ServerLink {
    async fn run(mut self, mut reader: SocketReader) {
        let end = self.read(&mut reader).await;
        match end {
            ServerLinkEnd::Read(ReadError::Malformed { source }) => {
                self.node.metrics.count(CounterId::FramesMalformed);
                Event::FrameMalformed.log(source);
            }
            ServerLinkEnd::Violation(violation) => {
                self.node.metrics.count(CounterId::FramesMalformed);
                Event::FrameMalformed.log(violation);
            }
            ServerLinkEnd::Read(_) | ServerLinkEnd::Idle => {}
            ServerLinkEnd::Disowned => {
                self.streams.clear();
                self.node.clock.sleep_millis(DISOWNED_MS).await;
            }
        }
        if self.write_queue.is_overrun() || self.has_unread_values() {
            reader.shut_down();
        }
        self.write_queue.close();
    }

    async fn read(&mut self, reader: &mut SocketReader) -> ServerLinkEnd {
        let drain_node = Arc::clone(&self.node);
        let slowdown_node = Arc::clone(&self.node);
        let mut last_request_at: Option<Instant> = None;
        let mut go_away_sent = false;
        let mut idle_deadline = Deadline::in_millis(self.node.clock.now(), IDLE_TIMEOUT_MS);
        loop {
            let clock = self.node.clock;
            let availability = drain_node.board.gate.availability.listen();
            let load = self.node.load_report();
            // Entries normally get load reports with their answers. One that was
            // told the gate is leaving sends no requests and gets no answers, so
            // a change is reported to it at once.
            if self.reported_leaving != load.leaving {
                self.reported_leaving = load.leaving;
                let _ = self.write_queue.send(Frame::Load { load });
            }
            let next = async { Step::Frame(reader.next().await) };
            let drain = async {
                if go_away_sent {
                    future::pending::<()>().await;
                }
                drain_node.board.phase.reached(Phase::Withdrawn).await;
                Step::Draining
            };
            let idle = async {
                clock.sleep_until(idle_deadline).await;
                Step::Idle
            };
            let slowdown_changed = async {
                slowdown_node
                    .board
                    .gate
                    .slowdown
                    .slow_changed
                    .listen()
                    .await;
                Step::SlowdownChanged
            };
            let availability_changed = async {
                availability.await;
                Step::AvailabilityChanged
            };
            let disowned = self.entry.disowned.clone();
            let disowned = async {
                match disowned.recv().await {
                    Ok(reply) => Step::Disowned(reply),
                    Err(_) => future::pending().await,
                }
            };
            let others = future::or(
                future::or(future::or(disowned, drain), availability_changed),
                future::or(slowdown_changed, idle),
            );
            match future::or(next, others).await {
                Step::Frame(Ok(frame)) => {
                    let now = clock.now();
                    idle_deadline = Deadline::in_millis(now, IDLE_TIMEOUT_MS);
                    if matches!(frame, Frame::Open { .. }) {
                        last_request_at = Some(now);
                    }
                    self.remove_finished();
                    if let Err(violation) = self.handle_frame(frame) {
                        return ServerLinkEnd::Violation(violation);
                    }
                }
                Step::Frame(Err(e)) => return ServerLinkEnd::Read(e),
                Step::SlowdownChanged => {
                    let now = clock.now();
                    if last_request_at.is_some_and(|at| now.micros_since(at) < RECENT_USE_MICROS) {
                        let load = self.node.load_report();
                        let _ = self.write_queue.send(Frame::Load { load });
                    }
                }
                Step::AvailabilityChanged => {}
                Step::Disowned(reply) => {
                    let link_id = self.entry.name.id;
                    let read = self.seen.read();
                    let _ = reply.send(Frame::Disowned { link_id, read });
                    return ServerLinkEnd::Disowned;
                }
                Step::Draining => {
                    go_away_sent = true;
                    let _ = self.write_queue.send(Frame::GoAway);
                }
                Step::Idle => {
                    self.remove_finished();
                    if self.streams.is_empty() {
                        return ServerLinkEnd::Idle;
                    }
                    idle_deadline = Deadline::in_millis(clock.now(), IDLE_TIMEOUT_MS);
                }
            }
        }
    }

    /// Remove the streams whose requests have finished.
    fn remove_finished(&mut self) {
        while let Ok(stream) = self.finished_rx.try_recv() {
            if let Some(mut ended) = self.streams.remove(&stream)
                && let Some(task) = ended.task.take()
            {
                task.detach();
            }
        }
    }

    /// Handle one frame from the entry.
    ///
    /// # Errors
    ///
    /// Returns how the entry violated the protocol.
    fn handle_frame(&mut self, frame: Frame) -> Result<(), &'static str> {
        match frame {
            Frame::Open { stream, head } => self.open(stream, *head),
            Frame::Data { stream, ref bytes } => {
                let count = bytes.len();
                self.deliver(stream, frame, count)
            }
            Frame::DataEnd { stream } | Frame::DataCut { stream } => self.deliver(stream, frame, 0),
            Frame::Credit { stream, bytes } => {
                if let Some(server_stream) = self.streams.get(&stream) {
                    server_stream.credit.grant(bytes);
                }
                Ok(())
            }
            Frame::Cancel { stream } => {
                self.cancel(stream);
                Ok(())
            }
            Frame::Ping { sequence } => {
                let now = self.node.clock.now();
                let load = self.node.load_report();
                let pong = Frame::Pong {
                    sequence,
                    clock_micros: now.as_micros(),
                    load,
                };
                if self.write_queue.send(pong).is_err() && self.write_queue.is_overrun() {
                    return Err("entry does not read what it asked for");
                }
                Ok(())
            }
            Frame::Fetch { stream, digest } => {
                let bytes = self.published_value(Digest(digest));
                self.send_value(stream, bytes)
            }
            Frame::FetchRegistry { stream } => {
                let bytes = self.encode_registry();
                self.send_value(stream, bytes)
            }
            Frame::Disown { link_id } => {
                self.disown(link_id);
                Ok(())
            }
            Frame::Hello(_)
            | Frame::Welcome(_)
            | Frame::Disowned { .. }
            | Frame::Admitted { .. }
            | Frame::Refused { .. }
            | Frame::Answer { .. }
            | Frame::AnswerData { .. }
            | Frame::AnswerEnd { .. }
            | Frame::AnswerCut { .. }
            | Frame::Pong { .. }
            | Frame::Value { .. }
            | Frame::Load { .. }
            | Frame::GoAway => Err("entry sent a frame that only a gate may send"),
        }
    }

    /// End another link of the same entry, which states here what it has read.
    fn disown(&self, link_id: u64) {
        let name = LinkName {
            id: link_id,
            ..self.entry.name
        };
        if !self.node.links.disown(name, self.write_queue.clone()) {
            let read = None;
            let _ = self.write_queue.send(Frame::Disowned { link_id, read });
        }
    }

    fn open(&mut self, stream: u32, mut head: RequestHead) -> Result<(), &'static str> {
        self.seen.insert(stream);
        if self.streams.contains_key(&stream) {
            return Err("stream opened twice");
        }
        if self.streams.len() >= MAX_STREAMS {
            self.refuse(stream, NotRunReason::LinkFull);
            return Ok(());
        }
        if !self.node.serves(&head.upstream) {
            self.refuse(stream, NotRunReason::WrongUpstream);
            return Ok(());
        }
        if !self.hold_body(&mut head) {
            self.refuse(stream, NotRunReason::MemoryFull);
            return Ok(());
        }
        let (inbox_tx, inbox) = inbox(stream, self.write_queue.clone());
        let credit = Arc::new(SendCredit::new());
        let responder = Responder {
            node: Arc::clone(&self.node),
            write_queue: self.write_queue.clone(),
            stream,
            credit: Arc::clone(&credit),
            finished_tx: self.finished_tx.clone(),
        };
        let req = gate_request(head, inbox, self.write_queue.clone(), stream);
        // A request with a token runs to its end even if it is cancelled, so
        // that a repeat of it gets the recorded answer.
        let detached = req.token.is_some();
        let task = self.node.spawn_task(responder.respond(req));
        let task = if detached {
            task.detach();
            None
        } else {
            Some(task)
        };
        self.streams.insert(
            stream,
            ServerStream {
                inbox_tx,
                credit,
                task,
            },
        );
        Ok(())
    }

    /// Charge a body that came with its head; returns false if there is no room for it.
    ///
    /// A request with a token is never refused here, as only the ledger may void the token.
    fn hold_body(&self, head: &mut RequestHead) -> bool {
        let BodyFraming::Inline(bytes) = &mut head.body else {
            return true;
        };
        let account = Arc::clone(&self.node.board.held);
        let mut guard = HeldGuard::new(account, Holder::Requests);
        let length = bytes.len() as u64;
        if head.token.is_some() {
            guard.grow(length);
        } else if !guard.try_grow(length) {
            return false;
        }
        *bytes = hold(std::mem::take(bytes), guard);
        true
    }

    fn refuse(&self, stream: u32, reason: NotRunReason) {
        let verdict = Verdict::NotRun(reason).into();
        let load = self.node.load_report();
        let _ = self.write_queue.send(Frame::Refused {
            stream,
            verdict,
            load,
        });
    }

    /// Cancel a request whose caller has gone, and end its stream.
    ///
    /// A request with a token runs on and ends its stream itself.
    fn cancel(&mut self, stream: u32) {
        let Some(server_stream) = self.streams.get(&stream) else {
            return;
        };
        self.node.metrics.count(CounterId::CallersGone);
        server_stream.credit.close();
        if server_stream.task.is_some() {
            self.streams.remove(&stream);
            let _ = self
                .write_queue
                .send_after_bodies(Frame::AnswerCut { stream });
        }
    }

    fn deliver(&self, stream: u32, frame: Frame, bytes: usize) -> Result<(), &'static str> {
        match self
            .streams
            .get(&stream)
            .map(|s| s.inbox_tx.deliver(frame, bytes))
        {
            Some(Delivery::WindowExceeded) => Err("stream exceeded its flow-control window"),
            Some(Delivery::Cut) => {
                self.node.metrics.count(CounterId::StreamsCut);
                Ok(())
            }
            Some(Delivery::Delivered | Delivery::ReceiverGone) | None => Ok(()),
        }
    }

    /// Send a value, unless the peer has left too many of them unread.
    fn send_value(&self, stream: u32, bytes: Option<Bytes>) -> Result<(), &'static str> {
        if self.has_unread_values() {
            return Err("peer does not read the values that it asked for");
        }
        let bytes = bytes.map(|bytes| {
            Bytes::from_owner(WaitingValue {
                bytes,
                _waiting: Arc::clone(&self.waiting_values),
            })
        });
        let _ = self.write_queue.send(Frame::Value { stream, bytes });
        Ok(())
    }

    /// Report whether as many values wait to be written as a link may have.
    fn has_unread_values(&self) -> bool {
        // The link itself has one reference.
        Arc::strong_count(&self.waiting_values) > MAX_WAITING_VALUES
    }

    /// Encode the registered upstreams for a peer.
    ///
    /// Returns `None` if they don't fit a frame; the peer then reads the platform.
    fn encode_registry(&self) -> Option<Bytes> {
        let registry = self.node.board.listed.read();
        let snapshot = RegistrySnapshot {
            era: registry.position.era,
            revision: registry.position.revision,
            entries: registry
                .entries()
                .map(|entry| entry.as_ref().into())
                .collect(),
        };
        let bytes = postcard::to_allocvec(&snapshot).expect("a registry can always be encoded");
        if bytes.len() > MAX_REGISTRY_BYTES {
            Event::RegistryFailed.log(format_args!(
                "{} bytes are too many for a peer",
                bytes.len()
            ));
            return None;
        }
        Some(Bytes::from(bytes))
    }

    /// Return the manifest or part with this digest from the artefact in force.
    fn published_value(&self, digest: Digest) -> Option<Bytes> {
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
        for server_stream in self.streams.values() {
            server_stream.credit.close();
        }
    }
}

/// What the reader's loop waits for.
enum Step {
    Frame(Result<Frame, ReadError>),
    Draining,
    AvailabilityChanged,
    SlowdownChanged,
    Disowned(WriteQueue),
    Idle,
}
