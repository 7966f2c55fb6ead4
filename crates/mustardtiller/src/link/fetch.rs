//! Values of the published configuration, fetched from a peer.

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

/// Fetch values from a peer over a connection of its own.
///
/// Returns what the peer had of them, in the order asked.
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

/// Fetch the registered upstreams from a peer; `None` if it can't be had.
pub async fn fetch_registry(
    node: &Node,
    peer: SocketAddr,
    deadline: Deadline,
) -> Option<RegistrySnapshot> {
    let fetching = async {
        let mut socket = TcpStream::connect(peer).await.ok()?;
        let opened = handshake::open(&node.board, node.clock, socket.clone(), "").await;
        let (mut reader, _, _) = opened.ok()?;
        let mut buf = Vec::new();
        encode_frame(&Frame::FetchRegistry { stream: 1 }, &mut buf).expect("a fetch fits a frame");
        socket.write_all(&buf).await.ok()?;
        postcard::from_bytes(&next_value(&mut reader).await??).ok()
    };
    node.clock.within(deadline, fetching).await.flatten()
}

async fn fetch_each(
    node: &Node,
    peer: SocketAddr,
    digests: &[Digest],
    values: &mut [Option<Vec<u8>>],
) -> Option<()> {
    let mut socket = TcpStream::connect(peer).await.ok()?;
    let opened = handshake::open(&node.board, node.clock, socket.clone(), "").await;
    let (mut reader, _, _) = opened.ok()?;
    for (index, digest) in digests.iter().enumerate() {
        let stream = index as u32 + 1;
        let mut buf = Vec::new();
        let ask = Frame::Fetch {
            stream,
            digest: digest.0,
        };
        encode_frame(&ask, &mut buf).expect("a fetch fits a frame");
        socket.write_all(&buf).await.ok()?;
        values[index] = next_value(&mut reader).await?.map(|bytes| bytes.to_vec());
    }
    Some(())
}

/// Wait for the next value; the inner `None` is one that the peer does not have.
async fn next_value(reader: &mut SocketReader) -> Option<Option<Bytes>> {
    loop {
        match reader.next().await.ok()? {
            Frame::Value { bytes, .. } => return Some(bytes),
            // A gate tells of its load on every link.
            Frame::Load { .. } | Frame::GoAway => {}
            _ => return None,
        }
    }
}
