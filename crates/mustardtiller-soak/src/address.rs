//! Loopback addresses of one run.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;

/// Blocks of addresses that runs may take.
const BLOCKS: usize = 50_000;

/// Port at which a block is held.
const HOLD_PORT: u16 = 5_999;

/// A block of loopback addresses that no other run uses, as long as it is held.
#[derive(Debug)]
pub struct Block {
    second: u8,
    third: u8,
    _held: UdpSocket,
}

impl Block {
    /// Take a free block.
    ///
    /// # Panics
    ///
    /// Panics if none is free.
    #[must_use]
    pub fn take() -> Self {
        let start = std::process::id() as usize * 17;
        for step in 0..BLOCKS {
            let index = (start + step) % BLOCKS;
            let (second, third) = (11 + (index / 250) as u8, (index % 250) as u8 + 1);
            let hold = (Ipv4Addr::new(127, second, third, 254), HOLD_PORT);
            if let Ok(held) = UdpSocket::bind(hold) {
                return Self {
                    second,
                    third,
                    _held: held,
                };
            }
        }
        panic!("no block of addresses is free");
    }

    /// Return where the daemon of a host listens itself.
    #[must_use]
    pub fn own(&self, host: usize, port: u16) -> SocketAddr {
        self.at(host as u8 + 1, port)
    }

    /// Return where others reach the host, through what may harm the way.
    #[must_use]
    pub fn public(&self, host: usize, port: u16) -> SocketAddr {
        self.at(host as u8 + 101, port)
    }

    /// Return an address of the store's.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.at(253, 6_000)
    }

    /// Return the host that owns an address, if it is a host's own.
    #[must_use]
    pub fn host_of(address: SocketAddr) -> Option<usize> {
        match address {
            SocketAddr::V4(v4) => {
                let last = usize::from(v4.ip().octets()[3]);
                (1..=100).contains(&last).then(|| last - 1)
            }
            SocketAddr::V6(_) => None,
        }
    }

    const fn at(&self, last: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.second, self.third, last);
        SocketAddr::V4(std::net::SocketAddrV4::new(ip, port))
    }
}
