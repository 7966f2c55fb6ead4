//! Fetches configuration values and the registry from a peer.

use std::net::SocketAddr;

use bytes::Bytes;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use super::handshake;
use super::reader::SocketReader;
use crate::daemon::Node;
use mustardtiller_core::Deadline;
use mustardtiller_core::Digest;
use mustardtiller_wire::Frame;
use mustardtiller_wire::RegistrySnapshot;
use mustardtiller_wire::encode_frame;

/// Fetch values from a peer over a separate connection.
///
/// Returns one item for each digest, in the same order; `None` where the peer
/// lacks the value or the deadline passed first.
pub async fn fetch_values(
    node: &Node,
    peer: SocketAddr,
    digests: &[Digest],
    deadline: Deadline,
) -> Vec<Option<Vec<u8>>> {
    let mut values = vec![None; digests.len()];
    let fetching = fetch_each(node, peer, digests, &mut values);
    let _ = node.clock.within(deadline, fetching).await;
    values
}

/// Fetch the registered upstreams from a peer; `None` if that fails.
pub async fn fetch_registry(
    node: &Node,
    peer: SocketAddr,
    deadline: Deadline,
) -> Option<RegistrySnapshot> {
    let fetching = async {
        let mut socket = TcpStream::connect(peer).await.ok()?;
        let opened = handshake::open(&node.board, node.clock, socket.clone(), "", 0, None).await;
        let (mut reader, _, _) = opened.ok()?;
        let mut buf = Vec::new();
        encode_frame(&Frame::FetchRegistry { stream: 1 }, &mut buf)
            .expect("a fetch request fits a frame");
        socket.write_all(&buf).await.ok()?;
        postcard::from_bytes(&next_value(&mut reader).await??).ok()
    };
    node.clock.within(deadline, fetching).await.flatten()
}

/// Fetch the values one after another into `values`; `None` if the connection fails.
async fn fetch_each(
    node: &Node,
    peer: SocketAddr,
    digests: &[Digest],
    values: &mut [Option<Vec<u8>>],
) -> Option<()> {
    let mut socket = TcpStream::connect(peer).await.ok()?;
    let opened = handshake::open(&node.board, node.clock, socket.clone(), "", 0, None).await;
    let (mut reader, _, _) = opened.ok()?;
    for (index, digest) in digests.iter().enumerate() {
        let stream = index as u32 + 1;
        let mut buf = Vec::new();
        let frame = Frame::Fetch {
            stream,
            digest: digest.0,
        };
        encode_frame(&frame, &mut buf).expect("a fetch request fits a frame");
        socket.write_all(&buf).await.ok()?;
        values[index] = next_value(&mut reader).await?.map(|bytes| bytes.to_vec());
    }
    Some(())
}

/// Wait for the next value.
///
/// The outer `None` is a failed connection, the inner one a value that the peer lacks.
async fn next_value(reader: &mut SocketReader) -> Option<Option<Bytes>> {
    loop {
        match reader.next().await.ok()? {
            Frame::Value { bytes, .. } => return Some(bytes),
            // A gate sends these on every link.
            Frame::Load { .. } | Frame::GoAway => {}
            _ => return None,
        }
    }
}
