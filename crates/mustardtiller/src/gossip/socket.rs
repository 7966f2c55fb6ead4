//! The UDP socket beside the link listener.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::bounded;
use smol::net::UdpSocket;

use crate::events::Event;
use crate::metrics::CounterId;
use crate::metrics::Metrics;
use mustardtiller_core::Digest;
use mustardtiller_core::Version;
use mustardtiller_wire::Advert;
use mustardtiller_wire::Datagram;
use mustardtiller_wire::MAX_DATAGRAM_BYTES;
use mustardtiller_wire::RegistryUpdate;
use mustardtiller_wire::decode_datagram;
use mustardtiller_wire::encode_datagram;

/// Messages that wait for a controller; more are dropped and repaired later.
const MAX_WAITING: usize = 256;

/// What a peer says of the registered upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistryHeard {
    /// It tells what it knows.
    News(RegistryUpdate),
    /// It asks for ours.
    Asked,
}

/// What a peer says of configurations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigHeard {
    /// It holds a version, and perhaps asks for ours.
    Has {
        /// The version.
        version: Version,
        /// It wants an answer.
        wants_reply: bool,
    },
    /// It asks this daemon to read the platform for it.
    RequestPlatformRead {
        /// Hosts that may be asked in turn.
        hops: u8,
    },
}

/// A channel to one controller.
#[derive(Debug)]
struct Mailbox<T> {
    tx: Sender<T>,
    rx: Receiver<T>,
}

impl<T> Mailbox<T> {
    fn new() -> Self {
        let (tx, rx) = bounded(MAX_WAITING);
        Self { tx, rx }
    }
}

/// Sends and receives what daemons tell one another.
#[derive(Debug)]
pub struct GossipSocket {
    socket: UdpSocket,
    metrics: Arc<Metrics>,
    configs: Mailbox<(SocketAddr, ConfigHeard)>,
    registry: Mailbox<(SocketAddr, RegistryHeard)>,
}

impl GossipSocket {
    /// Bind the socket.
    ///
    /// # Errors
    ///
    /// Returns the cause if the address is taken.
    pub async fn bind(address: SocketAddr, metrics: Arc<Metrics>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self {
            socket,
            metrics,
            configs: Mailbox::new(),
            registry: Mailbox::new(),
        })
    }

    /// Tell a peer which version is held. Loss is repaired by the next round.
    pub async fn tell(&self, peer: SocketAddr, held: Version, ask: bool) {
        let advert = Advert {
            revision: held.revision,
            digest: held.digest.0,
        };
        let datagram = if ask {
            Datagram::Query { advert }
        } else {
            Datagram::Advertise { advert }
        };
        let bytes = encode_datagram(&datagram).expect("an advert fits a datagram");
        self.send(peer, &bytes).await;
    }

    /// Tell a peer what is known of the registered upstreams.
    ///
    /// A change too large for a datagram is left out, and the peer fetches it.
    pub async fn tell_registry(&self, peer: SocketAddr, update: &RegistryUpdate) {
        let datagram = Datagram::Registry {
            update: update.clone(),
        };
        let bytes = encode_datagram(&datagram).unwrap_or_else(|_| {
            let update = RegistryUpdate {
                changed: Vec::new(),
                removed: Vec::new(),
                ..update.clone()
            };
            encode_datagram(&Datagram::Registry { update }).expect("digests fit a datagram")
        });
        self.send(peer, &bytes).await;
    }

    /// Ask a peer what it knows of the registered upstreams.
    pub async fn ask_registry(&self, peer: SocketAddr) {
        let bytes =
            encode_datagram(&Datagram::RequestRegistry).expect("a question fits a datagram");
        self.send(peer, &bytes).await;
    }

    /// Ask a peer to read the platform for this daemon.
    pub async fn hand_over(&self, peer: SocketAddr, hops: u8) {
        let datagram = Datagram::RequestPlatformRead { hops };
        let bytes = encode_datagram(&datagram).expect("a question fits a datagram");
        self.send(peer, &bytes).await;
    }

    /// Wait for what a peer says of configurations.
    pub async fn hear(&self) -> (SocketAddr, ConfigHeard) {
        let heard = self.configs.rx.recv().await;
        heard.expect("the socket holds the sender")
    }

    /// Wait for what a peer says of the registered upstreams.
    pub async fn hear_registry(&self) -> (SocketAddr, RegistryHeard) {
        let heard = self.registry.rx.recv().await;
        heard.expect("the socket holds the sender")
    }

    /// Receive datagrams and hand them to the controllers.
    pub async fn run(&self) {
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // A refused datagram of ours is reported here; the next one is heard.
            let Ok((count, peer)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            self.metrics.count(CounterId::DatagramsReceived);
            self.metrics
                .add(CounterId::DatagramBytesReceived, count as u64);
            match decode_datagram(&buf[..count]) {
                Ok(datagram) => self.deliver(peer, datagram),
                Err(e) => {
                    self.metrics.count(CounterId::DatagramsMalformed);
                    Event::DatagramMalformed.log(format_args!("{peer}: {e}"));
                }
            }
        }
    }

    fn deliver(&self, peer: SocketAddr, datagram: Datagram) {
        let delivered = match datagram {
            Datagram::Advertise { advert } => self.deliver_advert(peer, advert, false),
            Datagram::Query { advert } => self.deliver_advert(peer, advert, true),
            Datagram::RequestPlatformRead { hops } => {
                let heard = (peer, ConfigHeard::RequestPlatformRead { hops });
                self.configs.tx.try_send(heard).is_ok()
            }
            Datagram::Registry { update } => {
                let heard = (peer, RegistryHeard::News(update));
                self.registry.tx.try_send(heard).is_ok()
            }
            Datagram::RequestRegistry => {
                let heard = (peer, RegistryHeard::Asked);
                self.registry.tx.try_send(heard).is_ok()
            }
        };
        if !delivered {
            self.metrics.count(CounterId::DatagramsDropped);
        }
    }

    fn deliver_advert(&self, peer: SocketAddr, advert: Advert, wants_reply: bool) -> bool {
        let version = Version {
            revision: advert.revision,
            digest: Digest(advert.digest),
        };
        let heard = (
            peer,
            ConfigHeard::Has {
                version,
                wants_reply,
            },
        );
        self.configs.tx.try_send(heard).is_ok()
    }

    async fn send(&self, peer: SocketAddr, bytes: &[u8]) {
        if self.socket.send_to(bytes, peer).await.is_ok() {
            self.metrics.count(CounterId::DatagramsSent);
            self.metrics
                .add(CounterId::DatagramBytesSent, bytes.len() as u64);
        }
    }
}
