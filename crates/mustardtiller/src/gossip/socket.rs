//! The UDP socket beside the link listener.

use std::net::SocketAddr;
use std::sync::Arc;

use smol::net::UdpSocket;

use crate::events::Event;
use crate::metrics::Counted;
use crate::metrics::Metrics;
use mustardtiller_core::Digest;
use mustardtiller_core::Version;
use mustardtiller_wire::Advert;
use mustardtiller_wire::Datagram;
use mustardtiller_wire::MAX_DATAGRAM_BYTES;
use mustardtiller_wire::decode_datagram;
use mustardtiller_wire::encode_datagram;

/// Sends and receives what daemons tell one another.
#[derive(Debug)]
pub struct GossipSocket {
    socket: UdpSocket,
    metrics: Arc<Metrics>,
}

impl GossipSocket {
    /// Bind the socket.
    ///
    /// # Errors
    ///
    /// Returns the cause if the address is taken.
    pub async fn bind(address: SocketAddr, metrics: Arc<Metrics>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self { socket, metrics })
    }

    /// Tell a peer which version is held. Loss is repaired by the next round.
    pub async fn tell(&self, peer: SocketAddr, held: Version, ask: bool) {
        let advert = Advert {
            revision: held.revision,
            digest: held.digest.0,
        };
        let datagram = if ask {
            Datagram::Ask { advert }
        } else {
            Datagram::Have { advert }
        };
        let bytes = encode_datagram(&datagram).expect("an advert fits a datagram");
        if self.socket.send_to(&bytes, peer).await.is_ok() {
            self.metrics.count(Counted::DatagramsSent);
            self.metrics
                .add(Counted::DatagramBytesSent, bytes.len() as u64);
        }
    }

    /// Wait for what a peer tells: who, which version, and whether it asks.
    pub async fn hear(&self) -> (SocketAddr, Version, bool) {
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // A refused datagram of ours is reported here; the next one is heard.
            let Ok((count, peer)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            self.metrics.count(Counted::DatagramsReceived);
            self.metrics
                .add(Counted::DatagramBytesReceived, count as u64);
            match decode_datagram(&buf[..count]) {
                Ok(Datagram::Have { advert }) => return (peer, version(advert), false),
                Ok(Datagram::Ask { advert }) => return (peer, version(advert), true),
                Err(e) => {
                    self.metrics.count(Counted::DatagramsMalformed);
                    Event::DatagramMalformed.log(format_args!("{peer}: {e}"));
                }
            }
        }
    }
}

const fn version(advert: Advert) -> Version {
    Version {
        revision: advert.revision,
        digest: Digest(advert.digest),
    }
}
