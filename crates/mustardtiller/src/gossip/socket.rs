//! The UDP socket that sends and receives gossip, on the link's address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::bounded;
use smol::net::UdpSocket;

use crate::clock::Clock;
use crate::events::Event;
use crate::metrics::CounterId;
use crate::metrics::Metrics;
use mustardtiller_core::Digest;
use mustardtiller_core::Instant;
use mustardtiller_core::Version;
use mustardtiller_wire::Advert;
use mustardtiller_wire::Datagram;
use mustardtiller_wire::MAX_DATAGRAM_BYTES;
use mustardtiller_wire::RegistryUpdate;
use mustardtiller_wire::decode_datagram;
use mustardtiller_wire::encode_datagram;

/// Most messages queued for one controller.
///
/// Further ones are dropped; later gossip repairs the loss.
const MAX_QUEUED: usize = 256;

/// A peer's message about the registered upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistryMessage {
    /// An update of the peer's registry.
    Update(RegistryUpdate),
    /// A request for this daemon's registry.
    Requested,
}

/// A peer's message about configurations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigMessage {
    /// An advertisement of the version that the peer holds.
    Advertised {
        /// The version.
        version: Version,
        /// Whether the peer expects this daemon's version in reply.
        wants_reply: bool,
    },
    /// A request to read the platform on the peer's behalf.
    ReadRequested {
        /// How many more times the request may be passed on.
        hops: u8,
    },
}

/// A bounded channel to one controller.
#[derive(Debug)]
struct Mailbox<T> {
    tx: Sender<T>,
    rx: Receiver<T>,
}

impl<T> Mailbox<T> {
    fn new() -> Self {
        let (tx, rx) = bounded(MAX_QUEUED);
        Self { tx, rx }
    }
}

/// The UDP socket over which daemons gossip.
#[derive(Debug)]
pub struct GossipSocket {
    socket: UdpSocket,
    metrics: Arc<Metrics>,
    clock: Clock,
    /// When a peer's datagram last came, in microseconds.
    heard_micros: AtomicU64,
    configs: Mailbox<(SocketAddr, ConfigMessage)>,
    registry: Mailbox<(SocketAddr, RegistryMessage)>,
}

impl GossipSocket {
    /// Bind the socket.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        metrics: Arc<Metrics>,
        clock: Clock,
    ) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Self {
            socket,
            metrics,
            clock,
            heard_micros: AtomicU64::new(clock.now().as_micros()),
            configs: Mailbox::new(),
            registry: Mailbox::new(),
        })
    }

    /// Return when a peer was last heard, whatever it said.
    #[must_use]
    pub fn heard_at(&self) -> Instant {
        Instant::from_micros(self.heard_micros.load(Ordering::Relaxed))
    }

    /// Advertise the version held to a peer, asking for its own if `wants_reply`.
    ///
    /// A lost datagram is repaired by the next gossip round.
    pub async fn advertise(&self, peer: SocketAddr, held: Version, wants_reply: bool) {
        let advert = Advert {
            serial: held.serial,
            era: held.era,
            revision: held.revision,
            digest: held.digest.0,
        };
        let datagram = if wants_reply {
            Datagram::Query { advert }
        } else {
            Datagram::Advertise { advert }
        };
        let bytes = encode_datagram(&datagram).expect("an advert fits a datagram");
        self.send(peer, &bytes).await;
    }

    /// Send a peer an update of the registered upstreams.
    ///
    /// A change too large for a datagram is omitted: only the digests are sent,
    /// and the peer fetches the registry over a link.
    pub async fn send_registry(&self, peer: SocketAddr, update: &RegistryUpdate) {
        let datagram = Datagram::Registry {
            update: update.clone(),
        };
        let bytes = encode_datagram(&datagram).unwrap_or_else(|_| {
            let update = RegistryUpdate {
                changed: Vec::new(),
                removed: Vec::new(),
                ..update.clone()
            };
            encode_datagram(&Datagram::Registry { update }).expect("digests alone fit a datagram")
        });
        self.send(peer, &bytes).await;
    }

    /// Request a peer's registry.
    pub async fn request_registry(&self, peer: SocketAddr) {
        let bytes = encode_datagram(&Datagram::RequestRegistry).expect("a request fits a datagram");
        self.send(peer, &bytes).await;
    }

    /// Ask a peer to read the platform on this daemon's behalf.
    pub async fn delegate(&self, peer: SocketAddr, hops: u8) {
        let datagram = Datagram::RequestPlatformRead { hops };
        let bytes = encode_datagram(&datagram).expect("a request fits a datagram");
        self.send(peer, &bytes).await;
    }

    /// Wait for the next message about configurations.
    pub async fn recv_config(&self) -> (SocketAddr, ConfigMessage) {
        let message = self.configs.rx.recv().await;
        message.expect("the socket owns the sender, so the channel stays open")
    }

    /// Wait for the next message about the registered upstreams.
    pub async fn recv_registry(&self) -> (SocketAddr, RegistryMessage) {
        let message = self.registry.rx.recv().await;
        message.expect("the socket owns the sender, so the channel stays open")
    }

    /// Receive datagrams and queue them for the controllers.
    pub async fn run(&self) {
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // An ICMP error for a datagram sent earlier surfaces here; receiving goes on.
            let Ok((count, peer)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            self.metrics.count(CounterId::DatagramsReceived);
            self.metrics
                .add(CounterId::DatagramBytesReceived, count as u64);
            match decode_datagram(&buf[..count]) {
                Ok(datagram) => {
                    let now = self.clock.now();
                    self.heard_micros.store(now.as_micros(), Ordering::Relaxed);
                    self.deliver(peer, datagram);
                }
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
                let message = (peer, ConfigMessage::ReadRequested { hops });
                self.configs.tx.try_send(message).is_ok()
            }
            Datagram::Registry { update } => {
                let message = (peer, RegistryMessage::Update(update));
                self.registry.tx.try_send(message).is_ok()
            }
            Datagram::RequestRegistry => {
                let message = (peer, RegistryMessage::Requested);
                self.registry.tx.try_send(message).is_ok()
            }
        };
        if !delivered {
            self.metrics.count(CounterId::DatagramsDropped);
        }
    }

    fn deliver_advert(&self, peer: SocketAddr, advert: Advert, wants_reply: bool) -> bool {
        let version = Version {
            serial: advert.serial,
            era: advert.era,
            revision: advert.revision,
            digest: Digest(advert.digest),
        };
        let message = (
            peer,
            ConfigMessage::Advertised {
                version,
                wants_reply,
            },
        );
        self.configs.tx.try_send(message).is_ok()
    }

    async fn send(&self, peer: SocketAddr, bytes: &[u8]) {
        if self.socket.send_to(bytes, peer).await.is_ok() {
            self.metrics.count(CounterId::DatagramsSent);
            self.metrics
                .add(CounterId::DatagramBytesSent, bytes.len() as u64);
        }
    }
}
