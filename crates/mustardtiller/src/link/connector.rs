//! The controller that keeps one link up.

use std::sync::Arc;

use smol::net::TcpStream;

use super::client::LinkHandle;
use super::handshake;
use super::handshake::HandshakeError;
use super::reader::ReadError;
use super::reader::SocketReader;
use super::table::LinkEnd;
use super::table::LinkTable;
use super::write_queue::write_queue;
use crate::board::Candidate;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use mustardtiller_core::Deadline;
use mustardtiller_core::Incarnation;

/// Time to connect and shake hands, in milliseconds.
const CONNECT_MS: u64 = 1_000;

/// First wait after a link was lost, in milliseconds; doubles with each failure.
const FIRST_WAIT_MS: u64 = 20;

/// Longest wait after a link was lost, in milliseconds.
const LONGEST_WAIT_MS: u64 = 2_000;

/// Keep the link of a candidate up until its slot is retired.
pub async fn maintain_link(node: Arc<Node>, candidate: Arc<Candidate>) {
    let mut failures = 0_u32;
    let mut rng = node.rng();
    while !candidate.slot.is_retired() {
        match connect(&node, &candidate).await {
            Ok((link, table, reader)) => {
                failures = 0;
                carry(&node, &candidate, link, table, reader).await;
            }
            Err(e) => {
                node.metrics.count(CounterId::LinksLost);
                if failures == 0 {
                    Event::LinkLost.log(format_args!("{}: {e}", candidate.upstream.name));
                }
                failures += 1;
            }
        }
        let wait = (FIRST_WAIT_MS << failures.min(8)).min(LONGEST_WAIT_MS);
        node.clock.sleep_millis(rng.u64(wait / 2..=wait)).await;
    }
}

async fn connect(
    node: &Node,
    candidate: &Candidate,
) -> Result<(Arc<LinkHandle>, LinkTable, SocketReader), HandshakeError> {
    let deadline = Deadline::in_millis(node.clock.now(), CONNECT_MS);
    // A registered upstream's daemon has a name of its own; each request names the upstream.
    let name = match node.settings.discovery {
        None => candidate.upstream.name.as_str(),
        Some(_) => "",
    };
    let connecting = async {
        let socket = TcpStream::connect(candidate.upstream.link).await;
        let socket = socket.map_err(|source| HandshakeError::Connect { source })?;
        let prepared = socket.set_nodelay(true);
        prepared.map_err(|source| HandshakeError::Connect { source })?;
        let opened = handshake::open(&node.board, node.clock, socket.clone(), name).await?;
        Ok((socket, opened))
    };
    let connected = node.clock.within(deadline, connecting).await;
    let (socket, (reader, welcome, sample)) = connected.ok_or(HandshakeError::Late)??;
    candidate
        .signals
        .record_load(welcome.load, node.clock.now());
    let (write_queue, feed) = write_queue();
    node.spawn(feed.write_all(socket));
    let (link, table) = LinkHandle::new(write_queue, Incarnation(welcome.incarnation), sample);
    Ok((Arc::new(link), table, reader))
}

async fn carry(
    node: &Node,
    candidate: &Candidate,
    link: Arc<LinkHandle>,
    table: LinkTable,
    mut reader: SocketReader,
) {
    let name = &candidate.upstream.name;
    node.metrics.count(CounterId::LinksMade);
    Event::LinkUp.log(format_args!("{name}, gate {}", link.gate()));
    candidate.slot.set(Some(Arc::clone(&link)));
    let end = table
        .run(
            &link,
            &mut reader,
            &candidate.signals,
            node.clock,
            &node.metrics,
        )
        .await;
    candidate.slot.set(None);
    link.close();
    node.metrics.count(CounterId::LinksLost);
    match end {
        LinkEnd::Closed => Event::LinkLost.log(format_args!("{name}: closed here")),
        LinkEnd::Read(ReadError::Malformed { source }) => {
            node.metrics.count(CounterId::FramesMalformed);
            Event::FrameMalformed.log(format_args!("{name}: {source}"));
        }
        LinkEnd::Read(e) => Event::LinkLost.log(format_args!("{name}: {e}")),
        LinkEnd::Broken(wrong) => {
            node.metrics.count(CounterId::FramesMalformed);
            Event::FrameMalformed.log(format_args!("{name}: {wrong}"));
        }
    }
}
