//! The controller that connects one link and reconnects it after a loss.

use std::sync::Arc;

use smol::future;
use smol::net::TcpStream;

use super::client::LinkHandle;
use super::guard::drain_replaced;
use super::guard::replace_silent;
use super::handshake;
use super::handshake::HandshakeError;
use super::reader::ReadError;
use super::reader::SocketReader;
use super::table::LinkEnd;
use super::table::StreamTable;
use super::write_queue::write_queue;
use crate::board::Candidate;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use mustardtiller_core::ClockSample;
use mustardtiller_core::Deadline;
use mustardtiller_core::Incarnation;
use mustardtiller_wire::Welcome;

/// Time to connect and complete the handshake, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// First reconnect back-off, in milliseconds; doubles with each failure.
const FIRST_BACKOFF_MS: u64 = 20;

/// Longest reconnect back-off, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Connect a candidate's link, and reconnect it until its slot is retired.
pub async fn maintain_link(node: Arc<Node>, candidate: Arc<Candidate>) {
    let mut failures = 0_u32;
    let mut rng = node.rng();
    while !candidate.link_slot.is_retired() {
        match connect(&node, &candidate).await {
            Ok(connected) => {
                failures = 0;
                let mut next = Some(start_link(&node, &candidate, connected));
                while let Some(running) = next {
                    next = run_link(&node, &candidate, running).await;
                }
            }
            Err(e) => {
                node.metrics.count(CounterId::LinksFailed);
                if failures == 0 {
                    Event::LinkLost.log(format_args!("{}: {e}", candidate.upstream.name));
                }
                failures += 1;
            }
        }
        let backoff = (FIRST_BACKOFF_MS << failures.min(8)).min(MAX_BACKOFF_MS);
        node.clock
            .sleep_millis(rng.u64(backoff / 2..=backoff))
            .await;
    }
}

/// A connection whose handshake is complete.
pub(super) struct Connected {
    pub(super) socket: TcpStream,
    pub(super) reader: SocketReader,
    welcome: Welcome,
    sample: ClockSample,
    link_id: u64,
}

impl Connected {
    pub(super) const fn gate_incarnation(&self) -> Incarnation {
        Incarnation(self.welcome.incarnation)
    }
}

/// Connect to a candidate's gate and complete the handshake.
pub(super) async fn connect(
    node: &Node,
    candidate: &Candidate,
) -> Result<Connected, HandshakeError> {
    let link_id = node.rng().u64(..);
    let deadline = Deadline::in_millis(node.clock.now(), CONNECT_TIMEOUT_MS);
    // With discovery, a daemon is not named after its upstream, so the handshake
    // names none; each request names its upstream instead.
    let name = match node.settings.discovery {
        None => candidate.upstream.name.as_str(),
        Some(_) => "",
    };
    let connecting = async {
        let socket = TcpStream::connect(candidate.upstream.link).await;
        let socket = socket.map_err(|source| HandshakeError::Connect { source })?;
        let configured = socket.set_nodelay(true);
        configured.map_err(|source| HandshakeError::Connect { source })?;
        let opened = handshake::open(
            &node.board,
            node.clock,
            socket.clone(),
            name,
            link_id,
            candidate.notice(),
        )
        .await?;
        Ok((socket, opened))
    };
    let connected = node.clock.within(deadline, connecting).await;
    let (socket, (reader, welcome, sample)) = connected.ok_or(HandshakeError::TimedOut)??;
    candidate
        .signals
        .record_load(welcome.load, node.clock.now());
    Ok(Connected {
        socket,
        reader,
        welcome,
        sample,
        link_id,
    })
}

/// A link that is up, with the reader of its frames.
struct RunningLink {
    link: Arc<LinkHandle>,
    table: StreamTable,
    reader: SocketReader,
}

/// Start the writer of a link, and publish the link in the candidate's slot.
fn start_link(node: &Node, candidate: &Candidate, connected: Connected) -> RunningLink {
    let gate = connected.gate_incarnation();
    let (write_queue, writer) = write_queue(&node.board.held);
    node.spawn(writer.write_all(connected.socket));
    let (link, table) = LinkHandle::new(write_queue, gate, connected.link_id, connected.sample);
    let link = Arc::new(link);
    node.metrics.count(CounterId::LinksMade);
    Event::LinkUp.log(format_args!(
        "{}, gate incarnation {}",
        candidate.upstream.name,
        link.gate_incarnation()
    ));
    let now = node.clock.now();
    if link.needs_clock_exchange(now) {
        link.ping(now);
    }
    candidate.link_slot.set(Some(Arc::clone(&link)));
    // The slot may have been retired meanwhile, which closed the link before it.
    if candidate.link_slot.is_retired() {
        link.close();
    }
    RunningLink {
        link,
        table,
        reader: connected.reader,
    }
}

/// Wait until a link ends, or another one takes its place because it may be silent.
///
/// Returns the link that has taken its place.
async fn run_link(
    node: &Arc<Node>,
    candidate: &Arc<Candidate>,
    running: RunningLink,
) -> Option<RunningLink> {
    let link = Arc::clone(&running.link);
    let reading = read_link(Arc::clone(node), Arc::clone(candidate), running);
    let mut reading = node.spawn_task(reading);
    let ended = async {
        (&mut reading).await;
        None
    };
    let replacing = async { Some(replace_silent(node, candidate, &link).await) };
    let Some(second) = future::or(ended, replacing).await else {
        candidate.link_slot.set(None);
        return None;
    };
    let second = start_link(node, candidate, second);
    node.spawn(drain_replaced(
        Arc::clone(node),
        Arc::clone(candidate),
        link,
        reading,
    ));
    Some(second)
}

/// Read a link until it ends.
async fn read_link(node: Arc<Node>, candidate: Arc<Candidate>, running: RunningLink) {
    let name = &candidate.upstream.name;
    let RunningLink {
        link,
        table,
        mut reader,
    } = running;
    let signals = &candidate.signals;
    let end = table
        .run(&link, &mut reader, signals, node.clock, &node.metrics)
        .await;
    link.close();
    node.metrics.count(CounterId::LinksLost);
    match end {
        LinkEnd::Closed => Event::LinkLost.log(format_args!("{name}: closed by this daemon")),
        LinkEnd::Read(ReadError::Malformed { source }) => {
            node.metrics.count(CounterId::FramesMalformed);
            Event::FrameMalformed.log(format_args!("{name}: {source}"));
        }
        LinkEnd::Read(e) => Event::LinkLost.log(format_args!("{name}: {e}")),
        LinkEnd::Violation(violation) => {
            node.metrics.count(CounterId::FramesMalformed);
            Event::FrameMalformed.log(format_args!("{name}: {violation}"));
        }
    }
}
