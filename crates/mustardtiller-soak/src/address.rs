//! Loopback addresses of a run.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;

/// Number of address blocks that runs can reserve.
const BLOCK_COUNT: usize = 50_000;

/// Port that is bound to reserve a block.
const RESERVATION_PORT: u16 = 5_999;

/// A block of loopback addresses, reserved for one run until dropped.
#[derive(Debug)]
pub struct AddressBlock {
    second: u8,
    third: u8,
    _reservation: UdpSocket,
}

impl AddressBlock {
    /// Reserve a free block.
    ///
    /// # Panics
    ///
    /// Panics if none is free.
    #[must_use]
    pub fn reserve() -> Self {
        let start = std::process::id() as usize * 17;
        for step in 0..BLOCK_COUNT {
            let index = (start + step) % BLOCK_COUNT;
            let (second, third) = (11 + (index / 250) as u8, (index % 250) as u8 + 1);
            let reservation = (Ipv4Addr::new(127, second, third, 254), RESERVATION_PORT);
            if let Ok(socket) = UdpSocket::bind(reservation) {
                return Self {
                    second,
                    third,
                    _reservation: socket,
                };
            }
        }
        panic!("all blocks of loopback addresses are reserved");
    }

    /// Return the address that a process of the host itself listens on.
    #[must_use]
    pub fn private(&self, host: usize, port: u16) -> SocketAddr {
        self.at(host as u8 + 1, port)
    }

    /// Return an address of the host at which network faults apply.
    ///
    /// Other hosts reach this host through it, and the host's daemon reaches its
    /// upstream and the store through it.
    #[must_use]
    pub fn public(&self, host: usize, port: u16) -> SocketAddr {
        self.at(host as u8 + 101, port)
    }

    /// Return the address that the store listens on.
    #[must_use]
    pub fn store(&self) -> SocketAddr {
        self.at(253, 6_000)
    }

    /// Return the host whose private address this is, if any.
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
