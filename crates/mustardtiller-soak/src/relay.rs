//! Datagrams between daemons, some of which are lost.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use smol::net::UdpSocket;

use mustardtiller_standin::Runner;

use crate::address::Block;

/// Largest datagram that is passed on, in bytes.
const MAX_BYTES: usize = 2_048;

/// Passes datagrams from the public address of one host to the own of another.
///
/// A daemon sees its peer's public address as the sender, as it would without
/// anything on the way.
#[derive(Clone, Debug)]
pub struct Relay {
    lost_percent: Arc<AtomicU32>,
}

impl Relay {
    /// Pass datagrams on between the hosts' links.
    ///
    /// # Panics
    ///
    /// Panics if an address is taken.
    #[must_use]
    pub fn start(runner: &Runner, block: &Block, hosts: usize, port: u16) -> Self {
        let bound = |host| smol::block_on(UdpSocket::bind(block.public(host, port)));
        let sockets: Arc<Vec<UdpSocket>> = Arc::new(
            (0..hosts)
                .map(|host| bound(host).expect("the address is free"))
                .collect(),
        );
        let lost_percent = Arc::new(AtomicU32::new(0));
        for host in 0..hosts {
            let own = block.own(host, port);
            let (sockets, lost) = (Arc::clone(&sockets), Arc::clone(&lost_percent));
            runner.spawn(async move {
                let mut buf = [0; MAX_BYTES];
                loop {
                    // Loopback reports a refused datagram here; the next one is read.
                    let Ok((count, from)) = sockets[host].recv_from(&mut buf).await else {
                        continue;
                    };
                    let sender = Block::host_of(from).filter(|sender| *sender < hosts);
                    if let Some(sender) = sender
                        && fastrand::u32(..100) >= lost.load(Ordering::Relaxed)
                    {
                        // One that is not taken is lost, as datagrams are.
                        let _ = sockets[sender].send_to(&buf[..count], own).await;
                    }
                }
            });
        }
        Self { lost_percent }
    }

    /// Lose a share of the datagrams, in percent.
    pub fn lose(&self, percent: u32) {
        self.lost_percent.store(percent, Ordering::Relaxed);
    }
}
