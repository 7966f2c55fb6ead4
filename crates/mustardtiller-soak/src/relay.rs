//! A relay for datagrams between daemons that drops or spoils some of them.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use smol::net::UdpSocket;

use mustardtiller_standin::Runner;

use crate::address::AddressBlock;

/// Largest datagram that is forwarded whole, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Forwards datagrams from one host's public address to another's private one.
///
/// A daemon sees its peer's public address as the sender, as it would without
/// the relay.
#[derive(Clone, Debug)]
pub struct Relay {
    loss_percent: Arc<AtomicU32>,
    spoil_percent: Arc<AtomicU32>,
}

impl Relay {
    /// Forward datagrams between the link addresses of the hosts.
    ///
    /// # Panics
    ///
    /// Panics if an address is taken.
    #[must_use]
    pub fn start(runner: &Runner, block: &AddressBlock, hosts: usize, port: u16) -> Self {
        let bind = |host| smol::block_on(UdpSocket::bind(block.public(host, port)));
        let sockets: Arc<Vec<UdpSocket>> = Arc::new(
            (0..hosts)
                .map(|host| bind(host).expect("the address is free"))
                .collect(),
        );
        let loss_percent = Arc::new(AtomicU32::new(0));
        let spoil_percent = Arc::new(AtomicU32::new(0));
        for host in 0..hosts {
            let private = block.private(host, port);
            let (sockets, loss_percent) = (Arc::clone(&sockets), Arc::clone(&loss_percent));
            let spoil_percent = Arc::clone(&spoil_percent);
            runner.spawn(async move {
                let mut buf = [0; MAX_DATAGRAM_BYTES];
                loop {
                    // On loopback, a refused datagram is reported by the next receive.
                    let Ok((count, from)) = sockets[host].recv_from(&mut buf).await else {
                        continue;
                    };
                    if count > 0 && fastrand::u32(..100) < spoil_percent.load(Ordering::Relaxed) {
                        buf[fastrand::usize(..count)] = fastrand::u8(..);
                    }
                    let sender = AddressBlock::host_of(from).filter(|sender| *sender < hosts);
                    if let Some(sender) = sender
                        && fastrand::u32(..100) >= loss_percent.load(Ordering::Relaxed)
                    {
                        // A failed send is a lost datagram, which daemons must cope with.
                        let _ = sockets[sender].send_to(&buf[..count], private).await;
                    }
                }
            });
        }
        Self {
            loss_percent,
            spoil_percent,
        }
    }

    /// Change one byte in a share of the datagrams from now on, in percent.
    pub fn set_spoil_percent(&self, percent: u32) {
        self.spoil_percent.store(percent, Ordering::Relaxed);
    }

    /// Drop a share of the datagrams from now on, in percent.
    pub fn set_loss_percent(&self, percent: u32) {
        self.loss_percent.store(percent, Ordering::Relaxed);
    }
}
