//! The controller that connects one link and reconnects it after a loss.

use std::sync::Arc;

use smol::net::TcpStream;

use super::client::LinkHandle;
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
use mustardtiller_core::Deadline;
use mustardtiller_core::Incarnation;

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
            Ok((link, table, reader)) => {
                failures = 0;
                run_link(&node, &candidate, link, table, reader).await;
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

async fn connect(
    node: &Node,
    candidate: &Candidate,
) -> Result<(Arc<LinkHandle>, StreamTable, SocketReader), HandshakeError> {
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
    let (write_queue, writer) = write_queue(&node.board.held);
    node.spawn(writer.write_all(socket));
    let (link, table) = LinkHandle::new(write_queue, Incarnation(welcome.incarnation), sample);
    Ok((Arc::new(link), table, reader))
}

/// Publish the link in the candidate's slot and read it until it ends.
async fn run_link(
    node: &Node,
    candidate: &Candidate,
    link: Arc<LinkHandle>,
    table: StreamTable,
    mut reader: SocketReader,
) {
    let name = &candidate.upstream.name;
    node.metrics.count(CounterId::LinksMade);
    Event::LinkUp.log(format_args!(
        "{name}, gate incarnation {}",
        link.gate_incarnation()
    ));
    let now = node.clock.now();
    if link.needs_clock_exchange(now) {
        link.ping(now);
    }
    candidate.link_slot.set(Some(Arc::clone(&link)));
    let end = table
        .run(
            &link,
            &mut reader,
            &candidate.signals,
            node.clock,
            &node.metrics,
        )
        .await;
    candidate.link_slot.set(None);
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
