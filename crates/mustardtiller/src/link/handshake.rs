//! The handshake of a link.

use std::sync::Arc;

use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use snafu::Snafu;

use super::disown::LinkName;
use super::reader::ReadError;
use super::reader::SocketReader;
use crate::board::Board;
use crate::board::Phase;
use crate::clock::Clock;
use mustardtiller_core::ClockSample;
use mustardtiller_core::Incarnation;
use mustardtiller_core::Instant;
use mustardtiller_wire::Frame;
use mustardtiller_wire::Hello;
use mustardtiller_wire::LoadReport;
use mustardtiller_wire::PROTOCOL_VERSION;
use mustardtiller_wire::ReadStreams;
use mustardtiller_wire::UpstreamNotice;
use mustardtiller_wire::Welcome;
use mustardtiller_wire::encode_frame;

/// Why the handshake failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum HandshakeError {
    /// The connection could not be made or failed.
    #[snafu(display("connection failed: {source}"))]
    Connect {
        /// The cause.
        source: std::io::Error,
    },
    /// The peer's first frame could not be read.
    #[snafu(display("{source}"))]
    Read {
        /// The cause.
        source: ReadError,
    },
    /// The handshake was not complete in time.
    #[snafu(display("handshake timed out"))]
    TimedOut,
    /// The peer's first frame is not the expected handshake message.
    #[snafu(display("first frame is not a handshake"))]
    Unexpected,
    /// The peer speaks another version of the protocol.
    #[snafu(display("peer speaks unsupported protocol version {version}"))]
    Version {
        /// The peer's version.
        version: u16,
    },
    /// The two sides name different upstreams.
    #[snafu(display("upstream mismatch: peer named `{upstream}`"))]
    OtherUpstream {
        /// The upstream that the peer named.
        upstream: String,
    },
}

/// Open a link: send the hello and read the welcome.
///
/// The gate is told by `notice` what its upstream said before. An empty `upstream` accepts a peer that serves any upstream.
pub async fn open(
    board: &Board,
    clock: Clock,
    socket: TcpStream,
    upstream: &str,
    link_id: u64,
    notice: Option<UpstreamNotice>,
) -> Result<(SocketReader, Welcome, ClockSample), HandshakeError> {
    let hello = Frame::Hello(Hello {
        version: PROTOCOL_VERSION,
        incarnation: board.identity.incarnation.0,
        link_id,
        upstream: upstream.to_owned(),
        link: board.identity.link,
        notice,
    });
    let sent = clock.now();
    write_frame(&socket, &hello).await?;
    let mut reader = SocketReader::new(socket);
    let first = reader
        .next()
        .await
        .map_err(|source| HandshakeError::Read { source })?;
    let Frame::Welcome(welcome) = first else {
        return Err(HandshakeError::Unexpected);
    };
    check_version(welcome.version)?;
    if !upstream.is_empty() && welcome.upstream != upstream {
        return Err(HandshakeError::OtherUpstream {
            upstream: welcome.upstream,
        });
    }
    let peer = Instant::from_micros(welcome.clock_micros);
    let sample = ClockSample {
        sent,
        received: clock.now(),
        peer,
    };
    Ok((reader, welcome, sample))
}

/// Accept a link: read the hello and send the welcome.
///
/// Returns the load report that the welcome carried and the link's name. The welcome is sent before
/// the hello is checked, so a rejected peer learns this side's version and upstream.
/// Until this daemon knows a host, the peer is published as its neighbour.
pub async fn accept(
    board: &Board,
    clock: Clock,
    socket: TcpStream,
) -> Result<(SocketReader, LoadReport, LinkName), HandshakeError> {
    let mut reader = SocketReader::new(socket.clone());
    let first = reader
        .next()
        .await
        .map_err(|source| HandshakeError::Read { source })?;
    let Frame::Hello(hello) = first else {
        return Err(HandshakeError::Unexpected);
    };
    let now = clock.now();
    let closing = board.phase.read() >= Phase::Withdrawn;
    let load = board.gate.load_report(now, closing);
    let welcome = Frame::Welcome(Welcome {
        version: PROTOCOL_VERSION,
        incarnation: board.identity.incarnation.0,
        upstream: board.identity.upstream.to_string(),
        clock_micros: now.as_micros(),
        load,
    });
    write_frame(&socket, &welcome).await?;
    check_version(hello.version)?;
    if !hello.upstream.is_empty() && hello.upstream != board.identity.upstream.as_str() {
        return Err(HandshakeError::OtherUpstream {
            upstream: hello.upstream,
        });
    }
    if hello.notice.is_some() {
        board.notice.publish(Arc::new(hello.notice));
    }
    if board.hosts.read().members.is_empty() {
        board.neighbour.publish(Arc::new(Some(hello.link)));
    }
    let name = LinkName {
        entry: Incarnation(hello.incarnation),
        id: hello.link_id,
    };
    Ok((reader, load, name))
}

/// Disown an earlier link to the same gate: it reads no more of it.
///
/// Returns what it had read; `None` if it no longer knows the link.
pub async fn disown(
    reader: &mut SocketReader,
    socket: &TcpStream,
    link_id: u64,
) -> Option<ReadStreams> {
    write_frame(socket, &Frame::Disown { link_id }).await.ok()?;
    loop {
        match reader.next().await.ok()? {
            Frame::Disowned { read, .. } => return read,
            // A gate sends these on every link.
            Frame::Load { .. } | Frame::GoAway => {}
            _ => return None,
        }
    }
}

const fn check_version(version: u16) -> Result<(), HandshakeError> {
    if version == PROTOCOL_VERSION {
        Ok(())
    } else {
        Err(HandshakeError::Version { version })
    }
}

async fn write_frame(socket: &TcpStream, frame: &Frame) -> Result<(), HandshakeError> {
    let mut buf = Vec::new();
    encode_frame(frame, &mut buf).expect("a handshake message fits a frame");
    let mut socket = socket.clone();
    let written = socket.write_all(&buf).await;
    written.map_err(|source| HandshakeError::Connect { source })
}
